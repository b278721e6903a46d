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

// servedRequest is a request as a scripted gateway read it.
type servedRequest struct {
	conn     int           // number of its connection
	length   int           // of its body
	duration time.Duration // from its head to its last byte
}

// newTestCaller returns a caller of a scripted gateway that is in rotation, what that reads, and where
// it learns that the next answer closes the connection.
func newTestCaller(t *testing.T, m behavior) (*caller, chan servedRequest, chan bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	seen, closing := make(chan servedRequest, 16), make(chan bool, 1)
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go echoRequests(conn, n, seen, closing)
		}
	}()
	g := &gateway{listenAddress: netip.MustParseAddrPort(l.Addr().String()), healthy: true}
	f := &fleet{gateways: []*gateway{g}, config: operator.First()}
	c := &caller{name: "c1", behavior: m, fleet: f, rng: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(c.close)
	return c, seen, closing
}

// echoRequests answers the requests of a connection with their own bodies.
func echoRequests(conn net.Conn, n int, seen chan servedRequest, closing chan bool) {
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
		seen <- servedRequest{conn: n, length: len(body), duration: time.Since(began)}
		if answer.Write(conn) != nil || answer.Close {
			return
		}
	}
}

// A caller goes on on its connection to a gateway that left the rotation until it is told that
// the connection closes, and opens no other one there.
func TestCallerKeepsItsConnectionOutOfRotation(t *testing.T) {
	c, seen, closing := newTestCaller(t, behaviorDefault)
	require.True(t, c.roundTrip().Complete)
	c.fleet.gateways[0].healthy = false
	require.True(t, c.roundTrip().Complete)
	closing <- true
	require.True(t, c.roundTrip().Complete)
	require.Nil(t, c.roundTrip())
	for range 3 {
		require.Zero(t, (<-seen).conn)
	}
	require.Empty(t, seen)
}

// A caller that opens a connection for each request does so while the gateway is in rotation.
func TestFreshCallerOpensConnectionsUntilTheGatewayIsOut(t *testing.T) {
	c, seen, _ := newTestCaller(t, behaviorNewConnections)
	for n := range 3 {
		require.True(t, c.roundTrip().Complete)
		require.Equal(t, n, (<-seen).conn)
	}
	c.fleet.gateways[0].healthy = false
	require.Nil(t, c.roundTrip())
}

// A body comes slowly, and its request counts as sent with the last byte.
func TestSlowBody(t *testing.T) {
	c, seen, _ := newTestCaller(t, behaviorSlowBody)
	s := c.roundTrip()
	require.True(t, s.Complete)
	got := <-seen
	require.Greater(t, got.duration, 50*ms)
	require.GreaterOrEqual(t, s.SentAt.Sub(s.StartedAt), got.duration-50*ms)
}

// A large answer is read slowly, and as a whole.
func TestSlowReader(t *testing.T) {
	c, seen, _ := newTestCaller(t, behaviorSlowRead)
	s := c.roundTrip()
	require.True(t, s.Complete)
	require.Equal(t, s.requestBody(), s.Body)
	require.Len(t, s.requestBody(), (<-seen).length)
	require.Greater(t, s.DoneAt.Sub(s.SentAt), 800*ms)
}

// The streams of some callers last for seconds.
func TestLongStreams(t *testing.T) {
	c, _, _ := newTestCaller(t, behaviorLongStreams)
	s, _ := c.drawRequest()
	require.Contains(t, []RequestKind{RequestStream, RequestOnceStream}, s.Kind)
	require.GreaterOrEqual(t, s.ExpectedEvents, minLongStreamEvents)
}

// Callers with manners are there only where gateways are told to stop.
func TestMannersWhereGatewaysStop(t *testing.T) {
	for fault, more := range map[Fault]int{FaultAnswerPause: 0, FaultGatewayRestart: len(extraBehaviors), FaultRollingRestart: len(extraBehaviors)} {
		f := &fleet{plan: Draw(1, 2, time.Minute, []Fault{fault}), gateways: make([]*gateway, 2)}
		require.Len(t, newCallers(f), 2*(callersPerGateway+more))
	}
}
