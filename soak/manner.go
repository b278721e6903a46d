package soak

import (
	"net"
	"strings"
	"time"
)

// manner is what a caller does beside keeping its connection. Callers with one are there where
// gateways are told to stop.
type manner string

// Manners of callers.
const (
	mannerNone  manner = ""
	mannerBody  manner = "body"  // sends its body slowly
	mannerRead  manner = "read"  // reads a large answer slowly
	mannerFresh manner = "fresh" // opens a connection for each request, at a gateway that stops too while it is in rotation
	mannerLong  manner = "long"  // asks for streams that last for seconds
)

// manners are those of the callers of a gateway.
var manners = []manner{mannerBody, mannerBody, mannerRead, mannerRead, mannerFresh, mannerLong, mannerLong}

const (
	bodyPieces = 4                // of a body that is sent slowly
	bodyPause  = 400 * ms         // at most, before a piece
	readCopies = 40000            // of the identity, in the body of a request whose answer is read slowly
	readPiece  = 16 << 10         // bytes of an answer that are read at once
	readPause  = 80 * ms          // before each piece
	freshThink = 200 * ms         // at most, between requests on new connections
	longLeast  = 150              // events of a long stream
	longMost   = 300              // the same
	longLimit  = 15 * time.Second // of a long stream
)

// adapt changes what a caller has drawn to its manner.
func (c *caller) adapt(s *Seen) {
	switch c.manner {
	case mannerRead:
		s.Kind, s.Events, s.Copies = KindLookup, 0, readCopies
		if c.rng.IntN(2) == 0 {
			s.Kind = KindOrder
		}
	case mannerLong:
		s.Kind, s.Events = KindStream, longLeast+c.rng.IntN(longMost-longLeast)
		if c.rng.IntN(3) == 0 {
			s.Kind = KindOnce
		}
		s.Limit = longLimit
	}
}

// send writes a head and a body, the body in pieces if the caller sends it slowly.
func (c *caller) send(head, body string) error {
	if c.manner != mannerBody {
		_, err := c.conn.Write([]byte(head + body))
		return err
	}
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return err
	}
	for n := range bodyPieces {
		time.Sleep(time.Duration(c.rng.Int64N(int64(bodyPause))))
		if _, err := c.conn.Write([]byte(body[n*len(body)/bodyPieces : (n+1)*len(body)/bodyPieces])); err != nil {
			return err
		}
	}
	return nil
}

// text returns the body of a request.
func (s *Seen) text() string { return strings.Repeat(s.ID, max(1, s.Copies)) }

// slowConn is a connection that is read slowly.
type slowConn struct{ net.Conn }

// Read implements net.Conn.
func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return c.Conn.Read(p[:min(len(p), readPiece)])
}

// slowed returns a connection as the caller uses it.
func (c *caller) slowed(conn net.Conn) net.Conn {
	if c.manner != mannerRead {
		return conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readPiece) // without it the kernel reads ahead
	}
	return slowConn{conn}
}

// stops returns whether gateways are told to stop in a plan.
func (p *Plan) stops() bool {
	counts := p.counts()
	return counts[FaultTerm]+counts[FaultRoll] > 0
}
