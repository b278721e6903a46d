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

// servedRequest is a request as the test gateway read it.
type servedRequest struct {
	conn     int           // number of its connection, from 0
	length   int           // of the body
	duration time.Duration // from the end of the head to the last byte
}

// newTestCaller returns a caller whose only gateway is a test server in rotation, a channel with the requests
// that the server reads, and a channel that makes the server close the connection after its next answer.
func newTestCaller(t *testing.T, m behavior) (*caller, chan servedRequest, chan bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	received, closing := make(chan servedRequest, 16), make(chan bool, 1)
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go echoRequests(conn, n, received, closing)
		}
	}()
	g := &gateway{listenAddress: netip.MustParseAddrPort(l.Addr().String()), healthy: true}
	f := &fleet{gateways: []*gateway{g}, config: operator.FirstConfig()}
	c := &caller{name: "c1", behavior: m, fleet: f, rng: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(c.close)
	return c, received, closing
}

// echoRequests answers each request of a connection with the body of the request.
func echoRequests(conn net.Conn, n int, received chan servedRequest, closing chan bool) {
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
		received <- servedRequest{conn: n, length: len(body), duration: time.Since(began)}
		if answer.Write(conn) != nil || answer.Close {
			return
		}
	}
}

// A caller keeps using its connection to a gateway that left the rotation until an answer closes the
// connection, and then opens no other connection to that gateway.
func TestCallerKeepsConnectionToGatewayOutOfRotation(t *testing.T) {
	c, received, closing := newTestCaller(t, behaviorDefault)
	require.True(t, c.roundTrip().Complete)
	c.fleet.gateways[0].healthy = false
	require.True(t, c.roundTrip().Complete)
	closing <- true
	require.True(t, c.roundTrip().Complete)
	require.Nil(t, c.roundTrip())
	for range 3 {
		require.Zero(t, (<-received).conn)
	}
	require.Empty(t, received)
}

// A caller that opens a connection for each request does so only while the gateway is in rotation.
func TestNewConnectionsOnlyWhileGatewayIsInRotation(t *testing.T) {
	c, received, _ := newTestCaller(t, behaviorNewConnections)
	for n := range 3 {
		require.True(t, c.roundTrip().Complete)
		require.Equal(t, n, (<-received).conn)
	}
	c.fleet.gateways[0].healthy = false
	require.Nil(t, c.roundTrip())
}

// A caller can send a body slowly. Its request counts as sent with the last byte.
func TestSlowBodyCountsAsSentWithLastByte(t *testing.T) {
	c, received, _ := newTestCaller(t, behaviorSlowBody)
	s := c.roundTrip()
	require.True(t, s.Complete)
	got := <-received
	require.Greater(t, got.duration, 50*ms)
	require.GreaterOrEqual(t, s.SentAt.Sub(s.StartedAt), got.duration-50*ms)
}

// A caller can read a large answer slowly and gets all of it.
func TestLargeAnswerIsReadSlowly(t *testing.T) {
	c, received, _ := newTestCaller(t, behaviorSlowRead)
	s := c.roundTrip()
	require.True(t, s.Complete)
	require.Equal(t, s.requestBody(), s.Body)
	require.Len(t, s.requestBody(), (<-received).length)
	require.Greater(t, s.DoneAt.Sub(s.SentAt), 800*ms)
}

// Callers with long streams draw only streams, which last for seconds.
func TestLongStreamCallersDrawLongStreams(t *testing.T) {
	c, _, _ := newTestCaller(t, behaviorLongStreams)
	s := c.drawRequest()
	require.Contains(t, []RequestKind{RequestStream, RequestOnceStream}, s.Kind)
	require.GreaterOrEqual(t, s.ExpectedEvents, minLongStreamEvents)
}

// Callers with special behaviors exist only if the plan stops gateways.
func TestExtraCallersOnlyInPlansWithStops(t *testing.T) {
	for fault, more := range map[FaultKind]int{FaultAnswerPause: 0, FaultGatewayRestart: len(extraBehaviors), FaultRollingRestart: len(extraBehaviors)} {
		f := &fleet{plan: NewPlan(1, 2, time.Minute, []FaultKind{fault}), gateways: make([]*gateway, 2)}
		require.Len(t, newCallers(f), 2*(callersPerGateway+more))
	}
}
