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

	"github.com/cassiachute/cassiachute/platform"
)

// earlyBytes is the most of a request that is read when its connection is accepted.
const earlyBytes = 8 << 10

// shedder refuses requests on new connections while its host is short of processor time. The
// server would take many times as long for each. It serves one listener, one connection at a
// time, so that its buffers are used again.
type shedder struct {
	gateway  *Gateway
	listener syscall.RawConn
	buf      []byte
	src      bytes.Reader
	rd       *bufio.Reader
	head     fasthttp.RequestHeader
	response fasthttp.Response
	wr       *bufio.Writer
}

func newShedder(g *Gateway, listener syscall.RawConn) *shedder {
	return &shedder{
		gateway: g, listener: listener, buf: make([]byte, earlyBytes), rd: bufio.NewReader(nil), wr: bufio.NewWriter(nil),
	}
}

// next answers the requests on connections that wait to be accepted, while the host is late. It
// returns a connection that the server is to go on with, nil if none waits.
func (s *shedder) next() (net.Conn, []byte) {
	for s.gateway.core.short(time.Now()) {
		c, ok := acceptNow(s.listener)
		if !ok {
			return nil, nil
		}
		read := c.readNow(s.buf)
		if s.refuses(c, read) {
			c.close()
			continue
		}
		return c.adopt(), slices.Clone(read)
	}
	return nil, nil
}

// refuses answers a request that this host does not take. It returns false if the server is to
// go on with its connection.
func (s *shedder) refuses(c socket, request []byte) bool {
	g := s.gateway
	defer g.record.times.addSince(activityAdmit, time.Now())
	if !s.whole(request) {
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
	if err == nil { // else the caller left
		g.record.refused(c.caller, &s.head, &call, team, p)
	}
	return true
}

// admit returns the problem of a request that this host does not take. The server goes on with
// one whose handling is at fault.
func (s *shedder) admit() (call platform.Call, team string, p *problem) {
	defer func() {
		if fault := recover(); fault != nil {
			s.gateway.record.panicked(call.ID, fault, debug.Stack())
			p = nil
		}
	}()
	call = platform.DecodeCall(&s.head)
	_, team, p = s.gateway.admit(&s.head, &call)
	return call, team, p
}

// whole reads the head of a request, and returns whether some bytes are this request and no
// more.
func (s *shedder) whole(request []byte) bool {
	if len(request) == 0 {
		return false
	}
	s.src.Reset(request)
	s.rd.Reset(&s.src)
	if err := s.head.Read(s.rd); err != nil {
		return false // the server answers it, or reads on
	}
	length := s.head.ContentLength()
	chunked := length == -1
	return !chunked && s.rd.Buffered()+s.src.Len() == max(0, length)
}

// short returns whether this host may refuse requests for want of processor time.
func (c *core) short(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lag.Short(now)
}
