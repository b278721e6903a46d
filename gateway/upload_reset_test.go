package gateway_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
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

// earlyPart describes how a target answers an upload before it has read it.
type earlyPart struct {
	end   string        // what then happens to the connection: reset or closed
	read  int64         // bytes of the upload that are read before that
	pause time.Duration // between the answer and the end
}

// write writes the answer and ends the connection.
func (p earlyPart) write(a *arrival, body io.Reader) bool {
	a.writePart()
	_, _ = io.CopyN(io.Discard, body, p.read)
	time.Sleep(p.pause)
	if p.end == "reset" {
		a.reset()
	}
	return false
}

// earlyParts returns all combinations of what an earlyPart describes.
func earlyParts() (list []earlyPart) {
	for _, end := range []string{"reset", "closed"} {
		for _, read := range []int64{0, requestBodyBytes / 6, requestBodyBytes / 2} {
			for _, pause := range []time.Duration{0, stepPause, 10 * stepPause} {
				list = append(list, earlyPart{end, read, pause})
			}
		}
	}
	return list
}

// A target answers a long upload at once with 200 and without a length, sends part of the body and resets or closes the
// connection while it has not read the whole upload. The caller must not get that part as a complete answer, nor a
// promise that the request has not run.
func TestPartOfEarlyAnswerToUploadIsNotTakenAsComplete(t *testing.T) {
	for _, path := range headPaths {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			var part atomic.Pointer[earlyPart]
			script := func(a *arrival, body io.Reader) bool { return part.Load().write(a, body) }
			var early []*earlyTarget
			var targets []*scriptedTarget
			for n := range oddHeadTargets {
				early = append(early, newEarlyTarget(t, fmt.Sprint("p", n), "plain", script), newEarlyTarget(t, fmt.Sprint("m", n), "model", script))
			}
			for _, e := range early {
				targets = append(targets, e.scriptedTarget)
			}
			w := newTestEnvWith(t, keepKeysValid, targets...)
			for n, p := range earlyParts() {
				part.Store(&p)
				r, sent := result{}, 0
				for try, limit := 0, time.Now().Add(waitTimeout); sent == 0 && time.Now().Before(limit); try++ {
					id := fmt.Sprintf("r%d-%d", n, try)
					r = w.sendSlowly(call{path: path, id: id}, false, func() {})
					for _, e := range early {
						sent += e.sent(id)
					}
				}
				require.Positive(t, sent, "no request reached a target")
				if r.err != nil {
					continue // the caller's connection broke off, so the answer is not complete
				}
				require.NotEqual(t, fasthttp.StatusOK, r.status, "%+v: %d bytes", p, len(r.body))
				require.NotEqual(t, fasthttp.StatusServiceUnavailable, r.status)
				require.Empty(t, r.header.Peek("X-Replica-Seal"))
			}
		})
	}
}
