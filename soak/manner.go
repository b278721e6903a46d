package soak

import (
	"net"
	"strings"
	"time"
)

// behavior is what distinguishes a caller from one that sends and reads at once on a persistent connection.
// Callers with a behavior other than the default exist only if the plan stops gateways or, for probes, restores the store.
type behavior string

// Behaviors of callers.
const (
	behaviorDefault        behavior = ""
	behaviorSlowBody       behavior = "body"  // sends request bodies slowly
	behaviorSlowRead       behavior = "read"  // reads large answers slowly
	behaviorNewConnections behavior = "fresh" // opens a connection for each request, also to a stopping gateway as long as that is in rotation
	behaviorLongStreams    behavior = "long"  // requests streams that last for seconds
	behaviorProbe          behavior = "probe" // sends lookups with routes and keys that were just added or dropped
)

// extraBehaviors are the behaviors of the additional callers of each gateway.
var extraBehaviors = []behavior{behaviorSlowBody, behaviorSlowBody, behaviorSlowRead, behaviorSlowRead, behaviorNewConnections, behaviorLongStreams, behaviorLongStreams}

const (
	probesPerGateway          = 4
	bodyChunks                = 4        // parts in which a slow body is sent
	maxBodyPause              = 400 * ms // before each part
	slowReadBodyRepeats       = 40000    // how often the body of a request whose answer is read slowly repeats the ID
	slowReadSize              = 16 << 10 // bytes read at once
	slowReadDelay             = 80 * ms  // before each read
	maxNewConnectionThinkTime = 200 * ms // between requests that each open a connection
	minLongStreamEvents       = 150
	maxLongStreamEvents       = 300
	longStreamTimeout         = 15 * time.Second
)

// applyBehavior adapts a drawn request to the behavior of the caller.
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

// writeRequest writes the head and the body of a request, the body in parts if the caller sends it slowly.
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

// requestBody returns the body of the request.
func (s *SentRequest) requestBody() string { return strings.Repeat(s.ID, max(1, s.BodyRepeats)) }

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowReadDelay)
	return c.Conn.Read(p[:min(len(p), slowReadSize)])
}

// wrapConn returns conn, or a connection that reads slowly from it if the caller is a slow reader.
func (c *caller) wrapConn(conn net.Conn) net.Conn {
	if c.behavior != behaviorSlowRead {
		return conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReadSize) // with a larger buffer the kernel would read ahead of the caller
	}
	return slowConn{conn}
}

// stopsGateways reports whether the plan tells gateways to stop.
func (p *Plan) stopsGateways() bool {
	counts := p.faultCounts()
	return counts[FaultGatewayRestart]+counts[FaultRollingRestart] > 0
}
