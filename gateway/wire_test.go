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
)

// echoTarget answers with the body of the request, or with a stream of three events if the path begins with
// /stream/.
func echoTarget(a *arrival) bool {
	if strings.HasPrefix(string(a.request.RequestURI()), "/stream/") {
		a.begin()
		for n := 1; n <= 3; n++ {
			a.events(n, n)
			time.Sleep(20 * time.Millisecond)
		}
		a.end()
		return true
	}
	if a.request.Header.IsHead() {
		fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: s\r\nContent-Length: 5\r\n\r\n", a.header("X-Attempt-Id"))
		return true
	}
	a.answer(fasthttp.StatusOK, "got "+string(a.request.Body()))
	return true
}

// orderHead is the start of a request's head, to be continued with further header fields.
const orderHead = "POST /order/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n"

// Guards against lost requests: whichever valid framing a caller uses, its request is
// answered, and so is the next one on the connection.
func TestAllRequestFramingsAreAnswered(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", echoTarget), newScriptedTarget(t, "b", "model", echoTarget))
	next := "GET /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\n\r\n"
	for _, c := range []struct {
		name, request string
		want          []string
	}{
		{"chunked body", orderHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", []string{"got abcde"}},
		{"chunked body with trailer", orderHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n", []string{"got ab"}},
		{"request after a stream", "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n", []string{wantEvents(3)}},
		{"three requests after a stream", "POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n" +
			orderHead + "Content-Length: 1\r\n\r\na" + orderHead + "Content-Length: 1\r\n\r\nb", []string{wantEvents(3), "got a", "got b"}},
		{"empty line before the request", "\r\n" + orderHead + "Content-Length: 1\r\n\r\na", []string{"got a"}},
		{"request after one without a route", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", []string{"no-route"}},
	} {
		rd := bufio.NewReader(w.dial(c.request + next))
		for _, want := range append(c.want, "got ") {
			r := readResult(rd)
			require.NoError(t, r.err, c.name)
			require.Equal(t, want, r.body, c.name)
		}
	}
}

// A caller that sends Expect: 100-continue gets the interim answer, and its final answer after
// the body.
func TestExpectContinueGetsInterimAndFinalAnswer(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", echoTarget))
	conn := w.dial(orderHead + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	rd := bufio.NewReader(conn)
	interim, err := rd.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, interim, "100 Continue")
	_, err = rd.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(conn, "body")
	require.NoError(t, err)
	require.Equal(t, "got body", readResult(rd).body)
}

// An answer to HEAD has no body, and the next request on the connection is answered.
func TestConnectionIsReusedAfterHEAD(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", echoTarget))
	conn := w.dial("HEAD /lookup/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\n\r\n")
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	rd := bufio.NewReader(conn)
	var head fasthttp.Response
	head.SkipBody = true
	require.NoError(t, head.Read(rd))
	require.Equal(t, fasthttp.StatusOK, head.StatusCode())
	require.Equal(t, "s", string(head.Header.Peek("X-Replica-Seal")))
	sendGet(t, conn, "/lookup/x", "r2")
	require.Equal(t, "got ", readResult(rd).body)
}

// A caller whose request is refused before it was sent in full gets the refusal: the rest of
// its bytes must not reset the connection before the refusal has arrived.
func TestRefusalReachesCallerThatKeepsSending(t *testing.T) {
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", echoTarget))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"too large":  {orderHead + "Content-Length: 100000000\r\n\r\n", fasthttp.StatusRequestEntityTooLarge},
		"long head":  {orderHead + "X-Long: ", fasthttp.StatusBadRequest},
		"no HTTP":    {"x\r\n\r\n", fasthttp.StatusBadRequest},
		"bad chunks": {orderHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", fasthttp.StatusBadRequest},
	} {
		for range 20 {
			conn := w.dial(c.text)
			for range 32 {
				if _, err := conn.Write(filler32K()); err != nil {
					break
				}
			}
			require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			r := readResult(bufio.NewReader(conn))
			require.NoError(t, r.err, name)
			require.Equal(t, c.status, r.status, name)
		}
	}
}

// filler32K returns 32 KiB of body.
func filler32K() []byte { return []byte(strings.Repeat("a", 32<<10)) }
