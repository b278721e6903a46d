package gateway

import (
	"bufio"
	"bytes"
	"net"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/platform"
)

// maxEarlyBytes limits how much of a request is read when its connection is accepted.
const maxEarlyBytes = 8 << 10

// shedder refuses requests on new connections while its host is short of processor time, before the HTTP
// server sees them. The server would need many times as long for each refusal. A shedder serves one listener
// and handles one connection at a time, so that its buffers are reused.
type shedder struct {
	gateway  *Gateway
	listener syscall.RawConn
	buf      []byte
	src      bytes.Reader
	rd       *bufio.Reader
	head     fasthttp.RequestHeader
	body     []byte // of the request whose head was read
	response fasthttp.Response
	wr       *bufio.Writer
}

// newShedder returns a shedder for the connections of a listener.
func newShedder(g *Gateway, listener syscall.RawConn) *shedder {
	return &shedder{
		gateway: g, listener: listener, buf: make([]byte, maxEarlyBytes), rd: bufio.NewReader(nil), wr: bufio.NewWriter(nil),
	}
}

// next accepts waiting connections and refuses their requests while the host is short of processor time. It
// returns a connection that the server has to handle with the bytes read from it, or nil if none waits.
func (s *shedder) next() (net.Conn, []byte) {
	for s.gateway.core.mayRefuse(time.Now()) {
		c, ok := tryAccept(s.listener)
		if !ok {
			return nil, nil
		}
		read := c.tryRead(s.buf)
		if s.refuse(c, read) {
			c.close()
			continue
		}
		return c.netConn(), slices.Clone(read)
	}
	return nil, nil
}

// refuse answers a request that this host does not admit. It returns false if the server has to handle the
// connection.
func (s *shedder) refuse(c socket, request []byte) bool {
	g := s.gateway
	defer g.record.times.addSince(activityAdmit, time.Now())
	if !s.readWhole(request) {
		return false
	}
	call, team, p := s.admit()
	if p == nil {
		return false
	}
	g.servedSinceUsage.Add(1)
	p.write(&s.response, call.ID)
	s.response.SetConnectionClose()
	s.wr.Reset(c)
	err := s.response.Write(s.wr)
	if err == nil {
		err = s.wr.Flush()
	}
	if err == nil { // otherwise the caller is gone
		g.record.refused(c.caller, &s.head, &call, team, p)
	}
	return true
}

// admit returns the problem with which a request is refused, or nil if it is admitted. After a panic it
// returns nil, and the server handles the request.
func (s *shedder) admit() (call platform.Call, team string, p *problem) {
	defer func() {
		if fault := recover(); fault != nil {
			s.gateway.record.panicked(call.ID, fault, debug.Stack())
			p = nil
		}
	}()
	call = platform.DecodeCall(&s.head)
	_, team, p = s.gateway.admit(&s.head, held.Chunks{s.body}, &call)
	return call, team, p
}

// readWhole parses the head of a request, and returns whether the bytes are exactly one complete request.
func (s *shedder) readWhole(request []byte) bool {
	if len(request) == 0 {
		return false
	}
	s.src.Reset(request)
	s.rd.Reset(&s.src)
	if err := s.head.Read(s.rd); err != nil {
		return false // the server rejects it, or reads the rest
	}
	length := s.head.ContentLength()
	chunked := length == -1
	if chunked || s.rd.Buffered()+s.src.Len() != max(0, length) {
		return false
	}
	s.body = request[len(request)-max(0, length):]
	return true
}

// mayRefuse returns whether this host may currently refuse requests because it is short of processor time.
func (c *core) mayRefuse(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.MayRefuse(now)
}
