package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	smallMemory = 8       // MiB of a host that holds 768 KiB of bodies
	heldBody    = 512_000 // bytes of a body that fits once
)

// limitToSmallMemory sets the memory of a small host in the settings of a gateway.
func limitToSmallMemory(s *gateway.Settings) {
	keepKeysValid(s)
	s.Memory = settings.OptionalNumber(smallMemory)
}

// newSizeTarget returns a target that answers with the size of the body.
func newSizeTarget(t *testing.T) *scriptedTarget {
	return newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		a.answer(fasthttp.StatusOK, fmt.Sprint(len(a.request.Body())))
		return true
	})
}

// bodyHead returns the head of an order with more header lines.
func bodyHead(id, lines string) string {
	return fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\n%s\r\n", id, lines)
}

// readResponse reads one answer within a few seconds.
func readResponse(t *testing.T, rd *bufio.Reader) *fasthttp.Response {
	t.Helper()
	response := &fasthttp.Response{}
	require.NoError(t, response.Read(rd))
	return response
}

// A body that the host can't hold must be refused as not run, and the caller must be able to read so although it still
// sends: a connection that is closed with unread bytes is reset, and the answer is lost.
func TestBodyWithoutRoomIsRefusedAndNotRun(t *testing.T) {
	w := newTestEnvWith(t, limitToSmallMemory, newSizeTarget(t))
	conn := w.dial(bodyHead("r1", "Content-Length: 2000000\r\n"))
	_, err := io.WriteString(conn, strings.Repeat("b", 2_000_000))
	require.NoError(t, err)
	response := readResponse(t, bufio.NewReader(conn))
	require.Equal(t, fasthttp.StatusServiceUnavailable, response.StatusCode())
	require.NotEmpty(t, response.Header.Peek(fasthttp.HeaderRetryAfter))
	require.Equal(t, "no-room", string(response.Body()))
	require.True(t, response.ConnectionClose())
	require.Empty(t, w.targets[0].received())
	require.Contains(t, w.logs.String(), `"event":"body-refused"`)
	r := w.do(call{path: "/order/x", id: "r2", body: strings.Repeat("b", heldBody)})
	require.NoError(t, r.err)
	require.Equal(t, fmt.Sprint(heldBody), r.body, "a body that fits is served")
}

// A caller that stops within its body must not keep out one that sends all of it. The one that stopped is told that
// its request has not run.
func TestStalledBodyGivesUpItsRoom(t *testing.T) {
	w := newTestEnvWith(t, limitToSmallMemory, newSizeTarget(t))
	stalled := w.dial(bodyHead("r1", fmt.Sprintf("Content-Length: %d\r\n", heldBody)) + strings.Repeat("b", heldBody-1))
	w.waitUntil(func() bool { return w.heldMetric() > heldBody/2 })
	w.waitUntil(func() bool {
		r := w.do(call{path: "/order/x", id: "r2", body: strings.Repeat("b", heldBody)})
		return r.err == nil && r.status == fasthttp.StatusOK
	})
	require.Equal(t, fasthttp.StatusServiceUnavailable, readResponse(t, bufio.NewReader(stalled)).StatusCode())
	w.waitUntil(func() bool { return w.heldMetric() == 0 })
	for _, a := range w.targets[0].received() {
		require.NotEqual(t, "r1", a.header("X-Attempt-Id"))
	}
}

// The body of a request must be consumed exactly, or the next request on its connection would begin within it. That
// holds for all sizes about those of the buffers, with a length and in chunks, and for requests that come at once.
func TestRequestsAfterBodiesOnKeptConnectionAreServed(t *testing.T) {
	w := newTestEnv(t, newSizeTarget(t))
	sizes := []int{0, 1, 8 << 10, 8<<10 + 1, 16 << 10, 16<<10 + 1, 100_000, 300_000}
	var text strings.Builder
	for n, size := range sizes {
		body := strings.Repeat("b", size)
		text.WriteString(bodyHead(fmt.Sprint("d", n), fmt.Sprintf("Content-Length: %d\r\n", size)) + body)
		text.WriteString(bodyHead(fmt.Sprint("c", n), "Transfer-Encoding: chunked\r\n"))
		if size > 0 {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", size, body)
		}
		text.WriteString("0\r\n\r\n")
	}
	conn := w.dial("")
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, text.String())
		sent <- err
	}()
	rd := bufio.NewReader(conn)
	for _, size := range sizes {
		for range 2 {
			response := readResponse(t, rd)
			require.Equal(t, fasthttp.StatusOK, response.StatusCode(), size)
			require.Equal(t, fmt.Sprint(size), string(response.Body()))
		}
	}
	require.NoError(t, <-sent)
}

// A caller that waits for leave to send its body must get it, or the refusal in its place.
func TestExpectedBodyIsServedOrRefused(t *testing.T) {
	w := newTestEnv(t, newSizeTarget(t))
	w.configure(func(d *configDocument) { d.Limits.MaxBody = heldBody })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	conn := w.dial(bodyHead("r1", fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", heldBody)))
	rd := bufio.NewReader(conn)
	line, err := rd.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, " 100 ")
	_, err = rd.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(conn, strings.Repeat("b", heldBody))
	require.NoError(t, err)
	require.Equal(t, fmt.Sprint(heldBody), string(readResponse(t, rd).Body()))
	conn = w.dial(bodyHead("r2", fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", heldBody+1)))
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, readResponse(t, bufio.NewReader(conn)).StatusCode())
}

// A chunked body over the limit of the configuration must be refused, though its length is not announced.
func TestChunkedBodyBeyondTheLimitIsRefused(t *testing.T) {
	w := newTestEnv(t, newSizeTarget(t))
	w.configure(func(d *configDocument) { d.Limits.MaxBody = heldBody })
	w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
	conn := w.dial(bodyHead("r1", "Transfer-Encoding: chunked\r\n"))
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(5*time.Second)))
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", heldBody+1, strings.Repeat("b", heldBody+1))
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusRequestEntityTooLarge, readResponse(t, bufio.NewReader(conn)).StatusCode())
	require.Empty(t, w.targets[0].received())
}
