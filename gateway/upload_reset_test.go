package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// partBytes is the size of the part of a body that a target sends before it breaks off.
const partBytes = 500

// writePart writes the head of an answer without a length, and a part of its body that a caller could take for the whole.
func (a *arrival) writePart() {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + a.header("X-Attempt-Id") + "\r\n" + sealHeader
	part := strings.Repeat("p", partBytes)
	if a.streams() {
		head += "Content-Type: text/event-stream\r\n"
		part = wantEvents(3) + "id: 4\ndata: " + part
	}
	a.write(head + "\r\n" + part)
}

// A target answers a long upload at once with 200 and without a length, sends part of the body and resets or closes the
// connection while it has not read the whole upload. The caller must not get that part as a complete answer, nor a
// promise that the request has not run.
func TestPartOfEarlyAnswerToUploadIsNotTakenAsComplete(t *testing.T) {
	for _, path := range headPaths {
		for _, end := range []string{"reset", "closed"} {
			for _, read := range []int64{0, requestBodyBytes / 6, requestBodyBytes / 2} {
				for _, pause := range []time.Duration{0, stepPause, 10 * stepPause} {
					t.Run(fmt.Sprintf("%s %s %d %s", strings.Trim(path, "/x"), end, read, pause), func(t *testing.T) {
						t.Parallel()
						script := func(a *arrival, body io.Reader) bool {
							a.writePart()
							_, _ = io.CopyN(io.Discard, body, read)
							time.Sleep(pause)
							if end == "reset" {
								a.reset()
							}
							return false
						}
						a, b := newEarlyTarget(t, "a", "plain", script), newEarlyTarget(t, "b", "model", script)
						w := newTestEnvWith(t, keepKeysValid, a.scriptedTarget, b.scriptedTarget)
						r, sent := result{}, 0
						for n, limit := 0, time.Now().Add(waitTimeout); sent == 0 && time.Now().Before(limit); n++ {
							id := fmt.Sprint("r", n)
							r = w.sendSlowly(call{path: path, id: id}, false, func() {})
							sent = a.sent(id) + b.sent(id)
						}
						require.Positive(t, sent, "no request reached a target")
						if r.err != nil {
							return // the caller's connection broke off, so the answer is not complete
						}
						require.NotEqual(t, fasthttp.StatusOK, r.status, "%d bytes", len(r.body))
						require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status)
						require.Empty(t, r.header.Peek("X-Replica-Seal"))
					})
				}
			}
		}
	}
}
