package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of a session and of its acknowledgements.
const (
	ackBytes         = 4                     // low 32 bits of a frame number, big-endian
	ackDelay         = 50 * time.Millisecond // a single acknowledgement covers the frames of this time
	maxRetainedBytes = 16 << 20              // unacknowledged frames beyond this end the connection and are dropped
	minRedialDelay   = 50 * time.Millisecond // doubles with each failed attempt
	maxRedialDelay   = time.Second
	readBufferBytes  = 16 << 10 // per incoming connection
)

// errNoAcknowledgement means that the peer left frames unacknowledged for too long, or too
// many of them.
var errNoAcknowledgement = errors.New("peer does not acknowledge frames")

// session sends messages to one peer, over one connection at a time. It keeps each
// frame until the peer has acknowledged it and sends it again on the next connection,
// so that a broken or silent connection loses no message while both processes live.
type session struct {
	hub  *Hub
	peer netip.AddrPort

	mu            sync.Mutex
	queue         []Message     // not sent yet
	retained      [][]byte      // bodies of frames that were sent and not acknowledged, in order
	retainedBytes int           // size of the retained bodies
	acked         uint64        // number of the last acknowledged frame
	boot          uint64        // boot of the peer to which the frame numbers belong, 0 before the first connection
	lastProgress  time.Time     // when frames were last acknowledged, or sent with none outstanding
	overflowed    bool          // maxRetainedBytes was exceeded; the next connection drops all messages
	wake          chan struct{} // tells sendFrames that messages are queued
	done          chan struct{} // closed when run has ended
}

// newSession returns a session that is started by run.
func newSession(hub *Hub, peer netip.AddrPort) *session {
	return &session{hub: hub, peer: peer, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// send queues a message and wakes sendFrames.
func (s *session) send(m Message) {
	s.mu.Lock()
	s.queue = append(s.queue, m)
	s.mu.Unlock()
	s.notify()
}

// notify wakes sendFrames, now or when it waits next.
func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run connects to the peer, again and again, until the context ends. It closes done
// when it returns.
func (s *session) run(ctx context.Context) {
	defer close(s.done)
	delay := minRedialDelay
	for ctx.Err() == nil {
		connected, err := s.connect(ctx)
		if connected {
			delay = minRedialDelay
		}
		if ctx.Err() != nil {
			return
		}
		s.hub.events.Down(s.peer, errors.Is(err, syscall.ECONNREFUSED))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// connect opens a connection and sends frames until it fails. It reports whether the
// handshake succeeded.
func (s *session) connect(ctx context.Context) (bool, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.hub.dialAddress(s.peer).String())
	if err != nil {
		return false, err
	}
	defer conn.Close()
	nonce, err := newNonce()
	if err != nil {
		return false, err
	}
	self := hello{Version: protocolVersion, Address: s.hub.config.Address, Boot: s.hub.config.Boot, Nonce: nonce}
	fresh := false
	answer, err := dialHandshake(conn, s.hub.config.Key, self, func(boot, received uint64) uint64 {
		var start uint64
		start, fresh = s.resume(boot, received)
		return start
	})
	if err != nil {
		return false, err
	}
	s.hub.events.Up(s.peer, answer.Boot, fresh)
	return true, s.sendFrames(ctx, conn)
}

// resume drops the frames that the peer has received, and returns the number of the
// frame to resume after. If the peer is a new process, too much was retained or the
// number is implausible, it drops all messages and returns true. It also returns true on
// the first connection, but keeps the messages queued before it.
func (s *session) resume(boot, received uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.acked + uint64(len(s.retained))
	if s.boot == 0 {
		s.boot, s.acked = boot, received
		return received, true
	}
	if boot != s.boot || s.overflowed || received < s.acked || received > last {
		s.boot, s.acked = boot, received
		s.retained, s.retainedBytes, s.queue, s.overflowed = nil, 0, nil, false
		return received, true
	}
	s.dropAcknowledged(received)
	return s.acked, false
}

// dropAcknowledged drops retained frames up to a number. The caller holds the lock.
func (s *session) dropAcknowledged(upTo uint64) {
	for s.acked < upTo && len(s.retained) > 0 {
		s.retainedBytes -= len(s.retained[0])
		s.retained = s.retained[1:]
		s.acked++
	}
	s.lastProgress = time.Now()
}

// sendFrames writes the retained frames again and then queued messages until the connection
// fails or the peer stops acknowledging.
func (s *session) sendFrames(ctx context.Context, conn net.Conn) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	acks := make(chan error, 1)
	go func() { acks <- s.readAcks(conn) }()
	context.AfterFunc(ctx, func() { conn.Close() })

	s.mu.Lock()
	s.lastProgress = time.Now()
	again := append([][]byte(nil), s.retained...)
	s.mu.Unlock()
	err := s.writeFrames(conn, again)
	ticker := time.NewTicker(s.hub.config.AckTimeout / 4)
	defer ticker.Stop()
	for err == nil {
		err = s.flush(conn)
		if err != nil {
			break
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case err = <-acks:
			conn.Close()
			return err
		case <-s.wake:
		case <-ticker.C:
			err = s.checkProgress()
		}
	}
	conn.Close()
	<-acks
	return err
}

// flush sends all queued messages as a single frame.
func (s *session) flush(conn net.Conn) error {
	s.mu.Lock()
	messages := s.queue
	s.queue = nil
	if len(messages) == 0 {
		s.mu.Unlock()
		return nil
	}
	body, sizes, err := encode(messages)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.hub.countSent(messages, sizes)
	if len(s.retained) == 0 {
		s.lastProgress = time.Now()
	}
	s.retained = append(s.retained, body)
	s.retainedBytes += len(body)
	if s.retainedBytes > maxRetainedBytes {
		s.overflowed = true
	}
	s.mu.Unlock()
	return s.writeFrames(conn, [][]byte{body})
}

// writeFrames writes a frame for each body.
func (s *session) writeFrames(conn net.Conn, bodies [][]byte) error {
	for _, body := range bodies {
		if err := conn.SetWriteDeadline(time.Now().Add(s.hub.config.AckTimeout)); err != nil {
			return err
		}
		if err := writeFrame(conn, body); err != nil {
			return err
		}
		s.hub.sent.Add(uint64(lengthBytes + len(body)))
	}
	return nil
}

// checkProgress returns errNoAcknowledgement if the peer left frames unacknowledged for
// too long or too many are retained.
func (s *session) checkProgress() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overflowed || len(s.retained) > 0 && time.Since(s.lastProgress) > s.hub.config.AckTimeout {
		return errNoAcknowledgement
	}
	return nil
}

// readAcks reads acknowledgements and drops the acknowledged frames until the
// connection fails.
func (s *session) readAcks(conn net.Conn) error {
	rd := bufio.NewReader(conn)
	var ack [ackBytes]byte
	for {
		if _, err := io.ReadFull(rd, ack[:]); err != nil {
			return err
		}
		s.hub.received.Add(ackBytes)
		s.mu.Lock()
		low := binary.BigEndian.Uint32(ack[:])
		s.dropAcknowledged(s.acked + uint64(low-uint32(s.acked)))
		s.mu.Unlock()
	}
}
