// Package mesh exchanges messages between the gateways of the fleet over UDP,
// and queries over TCP. Each state report holds the whole state of its
// sender, so the next one makes up for a lost one, and a host that is
// cut off or gone delays nobody.
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
	maxDatagramBytes = 60 << 10              // largest datagram that is sent or accepted
	errorDelay       = 50 * time.Millisecond // after a failed read or accept
)

// ErrTooLarge means that a message does not fit into a datagram.
var ErrTooLarge = errors.New("message too large for a datagram")

// Events are the callbacks of a Socket. All run in the goroutine that receives.
type Events struct {
	// HostStateReceived is called with the state report of a host.
	HostStateReceived func(from netip.AddrPort, state *wire.HostState)
	// MessageReceived is called with any other message of a host. It may be nil.
	MessageReceived func(from netip.AddrPort, m wire.Message)
	// Rejected is called for a datagram that is malformed.
	Rejected func(from netip.AddrPort, err error)
	// DatagramHandled is called when a datagram has been handled, with the time at which its
	// handling began. It may be nil.
	DatagramHandled func(began time.Time)
}

// Socket sends and receives messages in UDP datagrams.
type Socket struct {
	conn   *net.UDPConn
	events Events
}

// NewSocket returns a Socket bound to an address. It receives nothing before
// Run is called.
func NewSocket(address netip.AddrPort, events Events) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Socket{conn: conn, events: events}, nil
}

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Run receives datagrams in a goroutine until the context ends. The returned
// channel is closed when the goroutine has ended.
func (s *Socket) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	go func() {
		defer close(done)
		buf := make([]byte, maxDatagramBytes)
		for ctx.Err() == nil {
			n, from, err := s.conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				sleep(ctx, errorDelay)
				continue
			}
			s.handleDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}()
	return done
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// handleDatagram decodes a datagram and passes its messages to the callbacks.
func (s *Socket) handleDatagram(from netip.AddrPort, body []byte) {
	if s.events.DatagramHandled != nil {
		defer s.events.DatagramHandled(time.Now())
	}
	messages, err := wire.Decode(body)
	if err != nil {
		s.events.Rejected(from, err)
		return
	}
	for _, m := range messages {
		switch state, ok := m.(*wire.HostState); {
		case ok:
			s.events.HostStateReceived(from, state)
		case s.events.MessageReceived != nil:
			s.events.MessageReceived(from, m)
		}
	}
}

// SendTo sends a message to one host in a datagram, which may be lost on the way.
func (s *Socket) SendTo(to netip.AddrPort, m wire.Message) error {
	body, err := encodeDatagram(m)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(body, to)
	return err
}

// Send sends a message to several hosts. A failure to send to one host does not keep
// it from the others; the first error is returned.
func (s *Socket) Send(m wire.Message, hosts []netip.AddrPort) error {
	body, err := encodeDatagram(m)
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

// encodeDatagram returns the encoded bytes of a message. The error is
// ErrTooLarge or that of the encoding.
func encodeDatagram(m wire.Message) ([]byte, error) {
	body, err := wire.Encode([]wire.Message{m})
	if err == nil && len(body) > maxDatagramBytes {
		err = ErrTooLarge
	}
	return body, err
}
