// Package mesh carries news between the gateways of the fleet in datagrams. Each
// one holds all that the sender has to tell, so a lost one is made good by the
// next, and a host that is cut off or gone blocks nobody.
package mesh

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/wire"
)

const (
	maxDatagramBytes = 60 << 10
	readPause        = 50 * time.Millisecond // after a failed read
)

// ErrTooLarge means that news do not fit a datagram.
var ErrTooLarge = errors.New("news too large for a datagram")

// Events are the calls that a Socket makes.
type Events struct {
	// Received hands over news of a host.
	Received func(from netip.AddrPort, news *wire.News)
	// Message hands over a message of a host that is not news. It may be nil.
	Message func(from netip.AddrPort, m wire.Message)
	// Rejected tells of a datagram that is not well-formed.
	Rejected func(from netip.AddrPort, err error)
	// Took tells when the work for a datagram began, once it is over. It may be nil.
	Took func(began time.Time)
}

// Socket sends and receives news.
type Socket struct {
	conn   *net.UDPConn
	events Events
}

// NewSocket returns a Socket that listens at an address and receives once Run is
// called.
func NewSocket(address netip.AddrPort, events Events) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Socket{conn: conn, events: events}, nil
}

// Address returns the address that the socket listens at.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run receives until the context ends and reports its end on the channel.
func (s *Socket) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	go func() {
		defer close(done)
		buf := make([]byte, maxDatagramBytes)
		for ctx.Err() == nil {
			n, from, err := s.conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				pause(ctx, readPause)
				continue
			}
			s.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}()
	return done
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// take hands over the news in a datagram.
func (s *Socket) take(from netip.AddrPort, body []byte) {
	if s.events.Took != nil {
		defer s.events.Took(time.Now())
	}
	messages, err := wire.Decode(body)
	if err != nil {
		s.events.Rejected(from, err)
		return
	}
	for _, m := range messages {
		switch news, ok := m.(*wire.News); {
		case ok:
			s.events.Received(from, news)
		case s.events.Message != nil:
			s.events.Message(from, m)
		}
	}
}

// Post sends a message to one host. It may be lost on the way.
func (s *Socket) Post(to netip.AddrPort, m wire.Message) error {
	body, err := datagram(m)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(body, to)
	return err
}

// Send sends news to hosts. A host that can't be reached is left out; the first
// error is returned.
func (s *Socket) Send(news *wire.News, hosts []netip.AddrPort) error {
	body, err := datagram(news)
	if err != nil {
		return err
	}
	var first error
	for _, to := range hosts {
		if _, err := s.conn.WriteToUDPAddrPort(body, to); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// datagram returns the bytes of a message. The error is ErrTooLarge, or that of its encoding.
func datagram(m wire.Message) ([]byte, error) {
	body, err := wire.Encode([]wire.Message{m})
	if err == nil && len(body) > maxDatagramBytes {
		err = ErrTooLarge
	}
	return body, err
}
