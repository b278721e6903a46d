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

// QueryTimeout is the longest time that a query takes between hosts that are
// not short of processor time.
const QueryTimeout = 400 * time.Millisecond

// ErrNoAnswer means that a peer gave no usable answer to a query.
var ErrNoAnswer = errors.New("no usable answer from peer")

// Responder answers the queries of other hosts over TCP, one query for each
// connection.
type Responder struct {
	listener net.Listener
	answer   func(q *wire.Query) *wire.Reply
}

// NewResponder returns a Responder that listens at an address and calls answer
// for each query. It accepts nothing before Run is called.
func NewResponder(address netip.AddrPort, answer func(q *wire.Query) *wire.Reply) (*Responder, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	return &Responder{listener: l, answer: answer}, nil
}

// Run accepts connections in a goroutine until the context ends. The returned
// channel is closed when the goroutine has ended; queries that are being
// answered may outlast it by up to QueryTimeout.
func (r *Responder) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			conn, err := r.listener.Accept()
			if err != nil {
				sleep(ctx, errorDelay)
				continue
			}
			go r.serve(conn)
		}
	}()
	return done
}

// serve answers the query of one connection within QueryTimeout and closes the
// connection.
func (r *Responder) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(QueryTimeout)); err != nil {
		return
	}
	q, err := wire.ReadQuery(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_ = wire.WriteMessage(conn, r.answer(q)) // on an error the peer queries another host
}

// Ask sends a query to a host and returns its answer. The answer has to arrive
// within limit and before the context ends. The error is ErrNoAnswer.
func Ask(ctx context.Context, host netip.AddrPort, q *wire.Query, limit time.Duration) (*wire.Reply, error) {
	end := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", host.String())
	if err != nil {
		return nil, errors.Wrapf(ErrNoAnswer, "%s: %v", host, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(end); err != nil {
		return nil, errors.Wrapf(ErrNoAnswer, "%s: %v", host, err)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // a second Close only returns an error
	if err := wire.WriteMessage(conn, q); err != nil {
		return nil, errors.Wrapf(ErrNoAnswer, "%s: %v", host, err)
	}
	m, err := wire.ReadMessage(bufio.NewReader(conn))
	if err != nil {
		return nil, errors.Wrapf(ErrNoAnswer, "%s: %v", host, err)
	}
	reply, ok := m.(*wire.Reply)
	if !ok {
		return nil, errors.Wrapf(ErrNoAnswer, "%s: unexpected message of kind %s", host, m.Kind())
	}
	return reply, nil
}
