package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of a Hub.
type Config struct {
	Address    netip.AddrPort                    // address that peers use for this host
	Boot       uint64                            // start time of this process in Unix milliseconds
	Key        []byte                            // key that all peers share and prove in the handshake
	AckTimeout time.Duration                     // longest time that sent frames may stay unacknowledged
	Routes     map[netip.AddrPort]netip.AddrPort // addresses to dial in place of a peer's own
}

// Events are the callbacks of a Hub. They are called from several goroutines;
// Received is called for the frames of one peer in order.
type Events struct {
	// Received delivers the messages of one frame.
	Received func(peer netip.AddrPort, boot uint64, messages []Message)
	// Up reports that a session was connected. fresh means that delivery starts
	// over: the peer may lack messages that were sent before.
	Up func(peer netip.AddrPort, boot uint64, fresh bool)
	// Down reports that a connection attempt failed or a connection ended. refused
	// means that the peer's host refused the connection, as no process listens.
	Down func(peer netip.AddrPort, refused bool)
	// Rejected reports an incoming connection that failed the handshake or sent
	// a frame that is malformed or too large.
	Rejected func(remote netip.AddrPort, err error)
}

// Hub sends messages to all peers and receives theirs, over one outgoing session and
// one incoming connection per peer.
type Hub struct {
	config     Config
	events     Events
	listener   net.Listener
	sent       atomic.Uint64 // bytes
	received   atomic.Uint64 // bytes
	sentByKind [kindLimit]trafficCounter

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	cancels  map[netip.AddrPort]context.CancelFunc
	inbound  map[netip.AddrPort]*inbound
	ctx      context.Context
}

// trafficCounter counts sent messages of one kind and their bytes.
type trafficCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Traffic is the number and size of the messages of one kind that were sent.
type Traffic struct {
	Kind     Kind
	Messages uint64
	Bytes    uint64
}

// Traffic returns the messages sent by kind, without kinds that were never sent.
func (h *Hub) Traffic() []Traffic {
	var list []Traffic
	for kind := range h.sentByKind {
		t := &h.sentByKind[kind]
		if t.messages.Load() > 0 {
			list = append(list, Traffic{Kind: Kind(kind), Messages: t.messages.Load(), Bytes: t.bytes.Load()})
		}
	}
	return list
}

// countSent adds messages of the given encoded sizes to the counters of their kinds.
func (h *Hub) countSent(messages []Message, sizes []int) {
	for i, m := range messages {
		t := &h.sentByKind[m.Kind()]
		t.messages.Add(1)
		t.bytes.Add(uint64(sizes[i]))
	}
}

// inbound is the state of receiving from one peer. It outlives connections, so that
// a frame which is sent again is delivered only once.
type inbound struct {
	mu           sync.Mutex
	boot         uint64 // start time of the peer's process
	lastReceived uint64 // number of the last frame received from this boot
	conn         net.Conn
	ackScheduled bool // an acknowledgement is about to be sent
}

// NewHub returns a Hub that accepts connections from peers on the listener once Run is called.
func NewHub(config Config, events Events, listener net.Listener) *Hub {
	return &Hub{
		config:   config,
		events:   events,
		listener: listener,
		sessions: map[netip.AddrPort]*session{},
		cancels:  map[netip.AddrPort]context.CancelFunc{},
		inbound:  map[netip.AddrPort]*inbound{},
	}
}

// Sent returns the bytes written to peers, without TCP and IP headers.
func (h *Hub) Sent() uint64 { return h.sent.Load() }

// Received returns the bytes read from peers, without TCP and IP headers.
func (h *Hub) Received() uint64 { return h.received.Load() }

// Run accepts connections from peers until the context ends. It closes the returned
// channel when all connections have ended.
func (h *Hub) Run(ctx context.Context) <-chan struct{} {
	h.mu.Lock()
	h.ctx = ctx
	h.mu.Unlock()
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { h.listener.Close() })
	go func() {
		defer close(done)
		var serving sync.WaitGroup
		for {
			conn, err := h.listener.Accept()
			if err != nil {
				break
			}
			serving.Go(func() { h.serve(ctx, conn) })
		}
		serving.Wait()
		for _, s := range h.allSessions() {
			<-s.done
		}
	}()
	return done
}

// allSessions returns the sessions with all peers.
func (h *Hub) allSessions() []*session {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*session, 0, len(h.sessions))
	for _, s := range h.sessions {
		list = append(list, s)
	}
	return list
}

// Connect starts a session with a peer if there is none.
func (h *Hub) Connect(peer netip.AddrPort) { h.sessionFor(peer) }

// Send queues a message for a peer and starts a session if there is none. The message
// is dropped if the hub does not run.
func (h *Hub) Send(peer netip.AddrPort, m Message) {
	if s := h.sessionFor(peer); s != nil {
		s.send(m)
	}
}

// Forget ends the session with a peer. Its receiving state is kept while the peer is
// connected.
func (h *Hub) Forget(peer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stop, ok := h.cancels[peer]; ok {
		stop()
		delete(h.cancels, peer)
		delete(h.sessions, peer)
	}
	if in := h.inbound[peer]; in != nil && in.disconnected() {
		delete(h.inbound, peer)
	}
}

// Drain waits until all sent and queued messages are acknowledged or the context ends.
func (h *Hub) Drain(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for h.hasPending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasPending reports whether any message is queued or unacknowledged.
func (h *Hub) hasPending() bool {
	for _, s := range h.allSessions() {
		s.mu.Lock()
		busy := len(s.queue)+len(s.retained) > 0
		s.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

// sessionFor returns the session with a peer and starts it if there is none. It
// returns nil if the hub does not run.
func (h *Hub) sessionFor(peer netip.AddrPort) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.sessions[peer]; ok {
		return s
	}
	if h.ctx == nil || h.ctx.Err() != nil {
		return nil
	}
	ctx, stop := context.WithCancel(h.ctx)
	s := newSession(h, peer)
	h.sessions[peer] = s
	h.cancels[peer] = stop
	go s.run(ctx)
	return s
}

// dialAddress returns the address to dial for a peer.
func (h *Hub) dialAddress(peer netip.AddrPort) netip.AddrPort {
	if via, ok := h.config.Routes[peer]; ok {
		return via
	}
	return peer
}

// serve receives frames from an incoming connection until it ends. A frame with messages
// that can't be decoded is reported as rejected and acknowledged like any other.
func (h *Hub) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	peer, start, err := acceptHandshake(conn, h.config.Key, h.config.Boot, h.lastReceived)
	if err != nil {
		h.reject(conn, err)
		return
	}
	in := h.replaceInbound(peer, conn)
	defer in.detach(conn)
	rd := bufio.NewReaderSize(conn, readBufferBytes)
	for number := start + 1; ; number++ {
		body, err := readFrame(rd, MaxFrameBytes)
		if err != nil {
			if errors.Is(err, ErrFrameTooLarge) {
				h.reject(conn, err)
			}
			return
		}
		h.received.Add(uint64(lengthBytes + len(body)))
		messages, err := Decode(body)
		if err != nil {
			h.reject(conn, err)
		}
		if !in.deliver(h, conn, peer, number, messages) {
			return
		}
	}
}

// reject reports a connection and the reason of its rejection. It does not close it.
func (h *Hub) reject(conn net.Conn, err error) {
	remote, parseErr := netip.ParseAddrPort(conn.RemoteAddr().String())
	if parseErr == nil {
		h.events.Rejected(remote, err)
	}
}

// lastReceived returns the number of the last frame received from a boot of a peer.
func (h *Hub) lastReceived(peer hello) uint64 {
	h.mu.Lock()
	in := h.inbound[peer.Address]
	h.mu.Unlock()
	if in == nil {
		return 0
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.boot != peer.Boot {
		return 0
	}
	return in.lastReceived
}

// replaceInbound makes the connection the peer's only incoming one and closes the one
// before.
func (h *Hub) replaceInbound(peer hello, conn net.Conn) *inbound {
	h.mu.Lock()
	in := h.inbound[peer.Address]
	if in == nil {
		in = &inbound{}
		h.inbound[peer.Address] = in
	}
	h.mu.Unlock()
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn != nil {
		in.conn.Close()
	}
	in.conn = conn
	if in.boot != peer.Boot {
		in.boot = peer.Boot
		in.lastReceived = 0
	}
	return in
}

// disconnected reports whether the peer has no open incoming connection.
func (in *inbound) disconnected() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.conn == nil
}

// detach forgets a connection that has ended, unless another replaced it already.
func (in *inbound) detach(conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn == conn {
		in.conn = nil
	}
}

// deliver passes the messages of a frame to Events.Received, unless the frame was received
// before, and schedules its acknowledgement. It returns false if the connection was
// replaced or a frame is missing before this one.
func (in *inbound) deliver(h *Hub, conn net.Conn, peer hello, number uint64, messages []Message) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn != conn || number > in.lastReceived+1 {
		return false
	}
	if number == in.lastReceived+1 {
		in.lastReceived = number
		h.events.Received(peer.Address, peer.Boot, messages)
	}
	if !in.ackScheduled {
		in.ackScheduled = true
		time.AfterFunc(ackDelay, func() { in.acknowledge(h, conn) })
	}
	return true
}

// acknowledge sends the number of the last received frame to the peer. A single
// acknowledgement covers all frames received within ackDelay.
func (in *inbound) acknowledge(h *Hub, conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ackScheduled = false
	if in.conn != conn {
		return
	}
	var ack [ackBytes]byte
	binary.BigEndian.PutUint32(ack[:], uint32(in.lastReceived))
	if err := conn.SetWriteDeadline(time.Now().Add(h.config.AckTimeout)); err != nil {
		return
	}
	if _, err := conn.Write(ack[:]); err == nil {
		h.sent.Add(ackBytes)
	}
}
