package mesh

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/wire"
)

// QueryTimeout is the longest time that a query takes between hosts that have processor
// time.
const QueryTimeout = 400 * time.Millisecond

// ErrAnswer means that a host gave no answer to a query that can be used.
var ErrAnswer = errors.New("no usable answer of a peer")

// Responder answers the queries of other hosts.
type Responder struct {
	listener net.Listener
	answer   func(q *wire.Query) *wire.Reply
}

// NewResponder returns a Responder that listens at an address and answers once Run
// is called.
func NewResponder(address netip.AddrPort, answer func(q *wire.Query) *wire.Reply) (*Responder, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Responder{listener: l, answer: answer}, nil
}

// Run answers until the context ends and reports its end on the channel.
func (r *Responder) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			conn, err := r.listener.Accept()
			if err != nil {
				pause(ctx, readPause)
				continue
			}
			go r.serve(conn)
		}
	}()
	return done
}

// serve answers one query. It ends by itself within the time of a query.
func (r *Responder) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(QueryTimeout)); err != nil {
		return
	}
	q, err := wire.ReadQuery(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = wire.WriteMessage(conn, r.answer(q)) // the asker turns to another host
}

// Ask sends a query to a host and returns its answer, which has to come within a time and before
// the context ends. The error is ErrAnswer.
func Ask(ctx context.Context, host netip.AddrPort, q *wire.Query, limit time.Duration) (*wire.Reply, error) {
	end := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", host.String())
	if err != nil {
		return nil, errors.Wrapf(ErrAnswer, "%s: %v", host, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(end); err != nil {
		return nil, errors.Wrapf(ErrAnswer, "%s: %v", host, err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // fails if it is closed already
	if err := wire.WriteMessage(conn, q); err != nil {
		return nil, errors.Wrapf(ErrAnswer, "%s: %v", host, err)
	}
	m, err := wire.ReadMessage(bufio.NewReader(conn))
	if err != nil {
		return nil, errors.Wrapf(ErrAnswer, "%s: %v", host, err)
	}
	reply, ok := m.(*wire.Reply)
	if !ok {
		return nil, errors.Wrapf(ErrAnswer, "%s: message of kind %s", host, m.Kind())
	}
	return reply, nil
}
