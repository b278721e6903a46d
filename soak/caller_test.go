package soak

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/operator"
	"github.com/cassiachute/cassiachute/standin/target"
)

// served is a request as a scripted gateway read it.
type served struct {
	conn   int           // number of its connection
	length int           // of its body
	took   time.Duration // from its head to its last byte
}

// callerOf returns a caller of a scripted gateway that is in rotation, what that reads, and where
// it learns that the next answer closes the connection.
func callerOf(t *testing.T, m manner) (*caller, chan served, chan bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	seen, closing := make(chan served, 16), make(chan bool, 1)
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(conn, n, seen, closing)
		}
	}()
	g := &gateway{listen: netip.MustParseAddrPort(l.Addr().String()), in: true}
	f := &fleet{gateways: []*gateway{g}, doc: operator.First()}
	c := &caller{name: "c1", manner: m, fleet: f, rng: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(c.close)
	return c, seen, closing
}

// answerAll answers the requests of a connection with their own bodies.
func answerAll(conn net.Conn, n int, seen chan served, closing chan bool) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		began := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := http.Response{
			StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
			Header: http.Header{target.HeaderAttempt: r.Header[target.HeaderAttempt]}, Body: io.NopCloser(bytes.NewReader(body)),
		}
		select {
		case answer.Close = <-closing:
		default:
		}
		seen <- served{conn: n, length: len(body), took: time.Since(began)}
		if answer.Write(conn) != nil || answer.Close {
			return
		}
	}
}

// A caller goes on on its connection to a gateway that left the rotation until it is told that
// the connection closes, and opens no other one there.
func TestCallerKeepsItsConnectionOutOfRotation(t *testing.T) {
	c, seen, closing := callerOf(t, mannerNone)
	require.True(t, c.request().Whole)
	c.fleet.gateways[0].in = false
	require.True(t, c.request().Whole)
	closing <- true
	require.True(t, c.request().Whole)
	require.Nil(t, c.request())
	for range 3 {
		require.Zero(t, (<-seen).conn)
	}
	require.Empty(t, seen)
}

// A caller that opens a connection for each request does so while the gateway is in rotation.
func TestFreshCallerOpensConnectionsUntilTheGatewayIsOut(t *testing.T) {
	c, seen, _ := callerOf(t, mannerFresh)
	for n := range 3 {
		require.True(t, c.request().Whole)
		require.Equal(t, n, (<-seen).conn)
	}
	c.fleet.gateways[0].in = false
	require.Nil(t, c.request())
}

// A body comes slowly, and its request counts as sent with the last byte.
func TestSlowBody(t *testing.T) {
	c, seen, _ := callerOf(t, mannerBody)
	s := c.request()
	require.True(t, s.Whole)
	got := <-seen
	require.Greater(t, got.took, 50*ms)
	require.GreaterOrEqual(t, s.Sent.Sub(s.Began), got.took-50*ms)
}

// A large answer is read slowly, and as a whole.
func TestSlowReader(t *testing.T) {
	c, seen, _ := callerOf(t, mannerRead)
	s := c.request()
	require.True(t, s.Whole)
	require.Equal(t, s.text(), s.Body)
	require.Len(t, s.text(), (<-seen).length)
	require.Greater(t, s.Done.Sub(s.Sent), 800*ms)
}

// The streams of some callers last for seconds.
func TestLongStreams(t *testing.T) {
	c, _, _ := callerOf(t, mannerLong)
	s, _ := c.draw()
	require.Contains(t, []Kind{KindStream, KindOnce}, s.Kind)
	require.GreaterOrEqual(t, s.Events, longLeast)
}

// Callers with manners are there only where gateways are told to stop.
func TestMannersWhereGatewaysStop(t *testing.T) {
	for fault, more := range map[Fault]int{FaultPause: 0, FaultTerm: len(manners), FaultRoll: len(manners)} {
		f := &fleet{plan: Draw(1, 2, time.Minute, []Fault{fault}), gateways: make([]*gateway, 2)}
		require.Len(t, newCallers(f), 2*(callersEach+more))
	}
}
