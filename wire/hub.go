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

// Config configures a Hub.
type Config struct {
	Address netip.AddrPort                    // address that peers use for this host
	Boot    uint64                            // start time of this process in Unix milliseconds
	Key     []byte                            // shared key that peers prove
	Silence time.Duration                     // longest time without an acknowledgement
	Routes  map[netip.AddrPort]netip.AddrPort // addresses to dial in place of a peer's own
}

// Events are the calls that a Hub makes. They come from several goroutines;
// calls about one peer's messages come in order.
type Events struct {
	// Received hands over the messages of one frame.
	Received func(peer netip.AddrPort, boot uint64, messages []Message)
	// Up tells that messages can be sent. fresh means that the peer has none of
	// the messages that were sent before.
	Up func(peer netip.AddrPort, boot uint64, fresh bool)
	// Down tells that a connection attempt failed or a connection ended. refused
	// means that the peer's host is there and no process listens.
	Down func(peer netip.AddrPort, refused bool)
	// Rejected tells of a connection that did not pass the handshake or sent a
	// malformed frame.
	Rejected func(remote netip.AddrPort, err error)
}

// Hub holds the sessions with all peers.
type Hub struct {
	config   Config
	events   Events
	listener net.Listener
	sent     atomic.Uint64
	received atomic.Uint64
	kinds    [kindLimit]traffic

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session
	stops    map[netip.AddrPort]context.CancelFunc
	inbound  map[netip.AddrPort]*inbound
	ctx      context.Context
}

// traffic counts the messages of one kind that were sent.
type traffic struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// Traffic is what was sent of one kind of message.
type Traffic struct {
	Kind     Kind
	Messages uint64
	Bytes    uint64
}

// Traffic returns what was sent of each kind, without the kinds never sent.
func (h *Hub) Traffic() []Traffic {
	var list []Traffic
	for kind := range h.kinds {
		t := &h.kinds[kind]
		if t.messages.Load() > 0 {
			list = append(list, Traffic{Kind: Kind(kind), Messages: t.messages.Load(), Bytes: t.bytes.Load()})
		}
	}
	return list
}

func (h *Hub) count(messages []Message, sizes []int) {
	for i, m := range messages {
		t := &h.kinds[m.Kind()]
		t.messages.Add(1)
		t.bytes.Add(uint64(sizes[i]))
	}
}

// inbound is the receiving side of one peer.
type inbound struct {
	mu   sync.Mutex
	boot uint64
	got  uint64
	conn net.Conn
	due  bool // an acknowledgement is due
}

// NewHub returns a Hub that accepts peers on the listener once Run is called.
func NewHub(config Config, events Events, listener net.Listener) *Hub {
	return &Hub{
		config:   config,
		events:   events,
		listener: listener,
		sessions: map[netip.AddrPort]*session{},
		stops:    map[netip.AddrPort]context.CancelFunc{},
		inbound:  map[netip.AddrPort]*inbound{},
	}
}

// Sent returns the bytes written to peers, without TCP and IP headers.
func (h *Hub) Sent() uint64 { return h.sent.Load() }

// Received returns the bytes read from peers, without TCP and IP headers.
func (h *Hub) Received() uint64 { return h.received.Load() }

// Run accepts peers until the context ends and reports its end on the channel.
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
		for _, s := range h.all() {
			<-s.done
		}
	}()
	return done
}

func (h *Hub) all() []*session {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*session, 0, len(h.sessions))
	for _, s := range h.sessions {
		list = append(list, s)
	}
	return list
}

// Connect starts a session with a peer, if there is none.
func (h *Hub) Connect(peer netip.AddrPort) { h.session(peer) }

// Send queues a message for a peer and starts a session if there is none.
func (h *Hub) Send(peer netip.AddrPort, m Message) {
	if s := h.session(peer); s != nil {
		s.send(m)
	}
}

// Forget ends the session with a peer.
func (h *Hub) Forget(peer netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stop, ok := h.stops[peer]; ok {
		stop()
		delete(h.stops, peer)
		delete(h.sessions, peer)
	}
	if in := h.inbound[peer]; in != nil && in.idle() {
		delete(h.inbound, peer)
	}
}

// Drain waits until all queued messages are acknowledged or the context ends.
func (h *Hub) Drain(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for h.pending() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Hub) pending() bool {
	for _, s := range h.all() {
		s.mu.Lock()
		busy := len(s.queue)+len(s.retained) > 0
		s.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

func (h *Hub) session(peer netip.AddrPort) *session {
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
	h.stops[peer] = stop
	go s.run(ctx)
	return s
}

func (h *Hub) route(peer netip.AddrPort) netip.AddrPort {
	if via, ok := h.config.Routes[peer]; ok {
		return via
	}
	return peer
}

// serve receives from one connection until it fails.
func (h *Hub) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	peer, start, err := accept(conn, h.config.Key, h.config.Boot, h.got)
	if err != nil {
		h.reject(conn, err)
		return
	}
	in := h.admit(peer, conn)
	defer in.leave(conn)
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
		if !in.take(h, conn, peer, number, messages) {
			return
		}
	}
}

func (h *Hub) reject(conn net.Conn, err error) {
	remote, parseErr := netip.ParseAddrPort(conn.RemoteAddr().String())
	if parseErr == nil {
		h.events.Rejected(remote, err)
	}
}

// got returns the number of the last frame from a boot of a peer.
func (h *Hub) got(peer hello) uint64 {
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
	return in.got
}

// admit makes the connection the peer's only one.
func (h *Hub) admit(peer hello, conn net.Conn) *inbound {
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
		in.got = 0
	}
	return in
}

// idle returns whether no connection of the peer is open.
func (in *inbound) idle() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.conn == nil
}

// leave notes that a connection has ended.
func (in *inbound) leave(conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn == conn {
		in.conn = nil
	}
}

// take hands over the messages of a frame once and has it acknowledged. It returns
// false if the connection is no longer the peer's own.
func (in *inbound) take(h *Hub, conn net.Conn, peer hello, number uint64, messages []Message) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn != conn || number > in.got+1 {
		return false
	}
	if number == in.got+1 {
		in.got = number
		h.events.Received(peer.Address, peer.Boot, messages)
	}
	if !in.due {
		in.due = true
		time.AfterFunc(ackDelay, func() { in.acknowledge(h, conn) })
	}
	return true
}

// acknowledge tells the peer how many frames have come. One acknowledgement
// serves all frames of a short time.
func (in *inbound) acknowledge(h *Hub, conn net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.due = false
	if in.conn != conn {
		return
	}
	var ack [ackBytes]byte
	binary.BigEndian.PutUint32(ack[:], uint32(in.got))
	if err := conn.SetWriteDeadline(time.Now().Add(h.config.Silence)); err != nil {
		return
	}
	if _, err := conn.Write(ack[:]); err == nil {
		h.sent.Add(ackBytes)
	}
}
