package soak

import (
	"net"
	"strings"
	"time"
)

// behavior is what a caller does beside keeping its connection. Callers with one are there where
// gateways are told to stop.
type behavior string

// Manners of callers.
const (
	behaviorDefault        behavior = ""
	behaviorSlowBody       behavior = "body"  // sends its body slowly
	behaviorSlowRead       behavior = "read"  // reads a large answer slowly
	behaviorNewConnections behavior = "fresh" // opens a connection for each request, at a gateway that stops too while it is in rotation
	behaviorLongStreams    behavior = "long"  // asks for streams that last for seconds
)

// extraBehaviors are those of the callers of a gateway.
var extraBehaviors = []behavior{behaviorSlowBody, behaviorSlowBody, behaviorSlowRead, behaviorSlowRead, behaviorNewConnections, behaviorLongStreams, behaviorLongStreams}

const (
	bodyChunks                = 4                // of a body that is sent slowly
	maxBodyPause              = 400 * ms         // at most, before a piece
	slowReadBodyRepeats       = 40000            // of the identity, in the body of a request whose answer is read slowly
	slowReadSize              = 16 << 10         // bytes of an answer that are read at once
	slowReadDelay             = 80 * ms          // before each piece
	maxNewConnectionThinkTime = 200 * ms         // at most, between requests on new connections
	minLongStreamEvents       = 150              // events of a long stream
	maxLongStreamEvents       = 300              // the same
	longStreamTimeout         = 15 * time.Second // of a long stream
)

// applyBehavior changes what a caller has drawn to its manner.
func (c *caller) applyBehavior(s *SentRequest) {
	switch c.behavior {
	case behaviorSlowRead:
		s.Kind, s.ExpectedEvents, s.BodyRepeats = RequestLookup, 0, slowReadBodyRepeats
		if c.rng.IntN(2) == 0 {
			s.Kind = RequestOrder
		}
	case behaviorLongStreams:
		s.Kind, s.ExpectedEvents = RequestStream, minLongStreamEvents+c.rng.IntN(maxLongStreamEvents-minLongStreamEvents)
		if c.rng.IntN(3) == 0 {
			s.Kind = RequestOnceStream
		}
		s.Timeout = longStreamTimeout
	}
}

// writeRequest writes a head and a body, the body in pieces if the caller sends it slowly.
func (c *caller) writeRequest(head, body string) error {
	if c.behavior != behaviorSlowBody {
		_, err := c.conn.Write([]byte(head + body))
		return err
	}
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return err
	}
	for n := range bodyChunks {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxBodyPause))))
		if _, err := c.conn.Write([]byte(body[n*len(body)/bodyChunks : (n+1)*len(body)/bodyChunks])); err != nil {
			return err
		}
	}
	return nil
}

// requestBody returns the body of a request.
func (s *SentRequest) requestBody() string { return strings.Repeat(s.ID, max(1, s.BodyRepeats)) }

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowReadDelay)
	return c.Conn.Read(p[:min(len(p), slowReadSize)])
}

// wrapConn returns a connection as the caller uses it.
func (c *caller) wrapConn(conn net.Conn) net.Conn {
	if c.behavior != behaviorSlowRead {
		return conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReadSize) // without it the kernel reads ahead
	}
	return slowConn{conn}
}

// stopsGateways returns whether gateways are told to stop in a plan.
func (p *Plan) stopsGateways() bool {
	counts := p.faultCounts()
	return counts[FaultGatewayRestart]+counts[FaultRollingRestart] > 0
}
