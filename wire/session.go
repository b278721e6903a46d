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

const (
	ackBytes         = 4
	ackDelay         = 50 * time.Millisecond
	maxRetainedBytes = 16 << 20
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = time.Second
	readBufferBytes  = 16 << 10
)

// errSilent means that the peer left frames unacknowledged for too long.
var errSilent = errors.New("peer does not acknowledge")

// session sends messages to one peer. It keeps each frame until the peer has
// acknowledged it, so that a broken or silent connection loses nothing while
// both processes live.
type session struct {
	hub  *Hub
	peer netip.AddrPort

	mu       sync.Mutex
	queue    []Message
	retained [][]byte // frames sent and not acknowledged
	bytes    int      // size of the retained frames
	acked    uint64   // number of the last acknowledged frame
	boot     uint64   // boot of the peer that the numbers belong to
	since    time.Time
	overflow bool // too much is retained; the next connection starts afresh
	wake     chan struct{}
	done     chan struct{}
}

func newSession(hub *Hub, peer netip.AddrPort) *session {
	return &session{hub: hub, peer: peer, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// send queues a message.
func (s *session) send(m Message) {
	s.mu.Lock()
	s.queue = append(s.queue, m)
	s.mu.Unlock()
	s.poke()
}

func (s *session) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run dials the peer until the context ends and reports its end on done.
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

// connect opens one connection and uses it until it fails.
func (s *session) connect(ctx context.Context) (bool, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.hub.route(s.peer).String())
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
	answer, err := offer(conn, s.hub.config.Key, self, func(boot, got uint64) uint64 {
		var start uint64
		start, fresh = s.resume(boot, got)
		return start
	})
	if err != nil {
		return false, err
	}
	s.hub.events.Up(s.peer, answer.Boot, fresh)
	return true, s.pump(ctx, conn)
}

// resume drops the frames that the peer has, or all if the peer is a new
// process, and returns the number to start after. Messages that were queued
// before the first connection are kept.
func (s *session) resume(boot, got uint64) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.acked + uint64(len(s.retained))
	if s.boot == 0 {
		s.boot, s.acked = boot, got
		return got, true
	}
	if boot != s.boot || s.overflow || got < s.acked || got > last {
		s.boot, s.acked = boot, got
		s.retained, s.bytes, s.queue, s.overflow = nil, 0, nil, false
		return got, true
	}
	s.release(got)
	return s.acked, false
}

// release drops frames up to a number. The caller holds the lock.
func (s *session) release(upTo uint64) {
	for s.acked < upTo && len(s.retained) > 0 {
		s.bytes -= len(s.retained[0])
		s.retained = s.retained[1:]
		s.acked++
	}
	s.since = time.Now()
}

// pump writes frames until the connection fails.
func (s *session) pump(ctx context.Context, conn net.Conn) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	acks := make(chan error, 1)
	go func() { acks <- s.readAcks(conn) }()
	context.AfterFunc(ctx, func() { conn.Close() })

	s.mu.Lock()
	s.since = time.Now()
	again := append([][]byte(nil), s.retained...)
	s.mu.Unlock()
	err := s.write(conn, again)
	ticker := time.NewTicker(s.hub.config.Silence / 4)
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
			err = s.checkSilence()
		}
	}
	conn.Close()
	<-acks
	return err
}

// flush sends all queued messages as one frame.
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
	s.hub.count(messages, sizes)
	if len(s.retained) == 0 {
		s.since = time.Now()
	}
	s.retained = append(s.retained, body)
	s.bytes += len(body)
	if s.bytes > maxRetainedBytes {
		s.overflow = true
	}
	s.mu.Unlock()
	return s.write(conn, [][]byte{body})
}

func (s *session) write(conn net.Conn, bodies [][]byte) error {
	for _, body := range bodies {
		if err := conn.SetWriteDeadline(time.Now().Add(s.hub.config.Silence)); err != nil {
			return err
		}
		if err := writeFrame(conn, body); err != nil {
			return err
		}
		s.hub.sent.Add(uint64(lengthBytes + len(body)))
	}
	return nil
}

func (s *session) checkSilence() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overflow || len(s.retained) > 0 && time.Since(s.since) > s.hub.config.Silence {
		return errSilent
	}
	return nil
}

// readAcks takes acknowledgements until the connection fails.
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
		s.release(s.acked + uint64(low-uint32(s.acked)))
		s.mu.Unlock()
	}
}
