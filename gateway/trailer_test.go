package gateway_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// A line behind the last chunk of an answer must not become a header of the caller's answer, also if its name is invalid.
func TestTrailersAreNotPassedOn(t *testing.T) {
	for _, path := range headPaths {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			t.Parallel()
			var trailer atomic.Value
			script := func(a *arrival) bool {
				head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n" + sealHeader + "Transfer-Encoding: chunked\r\n"
				if a.streams() {
					head += "Content-Type: text/event-stream\r\n"
				}
				body := wantBody(path, "r1")
				a.write(fmt.Sprintf("%s\r\n%x\r\n%s\r\n0\r\n%s\r\n", head, len(body), body, trailer.Load()))
				return true
			}
			w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", "plain", script), newScriptedTarget(t, "b", "model", script))
			for _, line := range []string{"X Odd: 1\r\n", "XOdd : 1\r\n", "XOdd: 1\r\n", "A: 1\r\n XOdd: 1\r\n"} {
				trailer.Store(line)
				all := w.rawAnswer(path)
				require.NotContains(t, strings.ToLower(all), "odd")
				require.Contains(t, all, wantBody(path, "r1"))
			}
		})
	}
}
