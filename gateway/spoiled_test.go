package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// spoiledEvents are what a faulty target writes in place of event n of a stream of lastEvent events.
var spoiledEvents = map[string]func(n int) string{
	"letters in place of the number":   func(n int) string { return fmt.Sprintf("xyzzy\ndata: %d\n\n", n) },
	"no number":                        func(n int) string { return fmt.Sprintf("data: %d\n\n", n) },
	"a number that is none":            func(n int) string { return fmt.Sprintf("id: x\ndata: %d\n\n", n) },
	"number and data in one line":      func(n int) string { return fmt.Sprintf("id: %d data: %d\n\n", n, n) },
	"letters over number and data":     func(n int) string { return fmt.Sprintf("ixyzzydata: %d\n\n", n) },
	"a higher number":                  func(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n+3, n) },
	"the number of the next event":     func(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n) },
	"no event, but letters at the end": func(n int) string { return map[bool]string{true: "xyzzy\n\n"}[n == lastEvent] },
}

// lastEvent is the number of events in the streams of these tests.
const lastEvent = 4

// newSpoilingEnv returns a testEnv whose host has seen enough sound streams to know how they are numbered. The first
// target that is asked for request r1 writes spoiled in place of event n. All others, also those that resume r1, are sound.
func newSpoilingEnv(t *testing.T, n int, spoiled string) *testEnv {
	t.Helper()
	sound := func(a *arrival) bool { return a.streamWith(0, "") }
	faulty := firstThenRest(func(a *arrival) bool { return a.streamWith(n, spoiled) }, sound)
	script := func(a *arrival) bool {
		if a.header("X-Attempt-Id") == "r1" {
			return faulty(a)
		}
		return sound(a)
	}
	w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	for warm := range 5 {
		require.Equal(t, wantEvents(lastEvent), w.do(call{path: "/stream/x", key: "key1", id: fmt.Sprint("warm", warm)}).body)
	}
	return w
}

// streamWith answers with the events after the last one that the caller has, and with a text in place of event n.
func (a *arrival) streamWith(n int, text string) bool {
	last := 0
	if header := a.header("Last-Event-Id"); header != "" {
		_, _ = fmt.Sscan(header, &last) // what is no number counts as none
	}
	a.begin()
	for number := last + 1; number <= lastEvent; number++ {
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
		if number == n {
			event = text
		}
		if event != "" {
			a.chunk(event)
		}
	}
	a.end()
	return true
}

// A stream with a spoiled event must not end as complete without it: it is resumed after the last sure event, or cut if it
// may not be resumed.
func TestSpoiledEventIsNotLeftOut(t *testing.T) {
	for name, spoil := range spoiledEvents {
		for n := 1; n <= lastEvent; n++ {
			t.Run(fmt.Sprintf("%s, event %d", name, n), func(t *testing.T) {
				t.Parallel()
				w := newSpoilingEnv(t, n, spoil(n))
				r := w.do(call{path: "/stream/x", key: "key1", id: "r1"})
				require.NoError(t, r.err, w.logs)
				require.Equal(t, wantEvents(lastEvent), r.body, w.logs)
				w = newSpoilingEnv(t, n, spoil(n))
				all := w.rawAnswer("/once/x")
				require.False(t, strings.Contains(all, "200 OK") && strings.HasSuffix(all, "0\r\n\r\n"), "looks complete: %q", all)
				require.False(t, strings.Contains(all, fmt.Sprintf("data: %d", n)), "%q", all)
			})
		}
	}
}

// A stream that the caller itself resumes is treated like any other.
func TestSpoiledEventOfResumedStreamIsNotLeftOut(t *testing.T) {
	for name, spoil := range spoiledEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSpoilingEnv(t, 3, spoil(3))
			r := readAll(t, w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nLast-Event-Id: 1\r\nContent-Length: 0\r\n\r\n"))
			require.NoError(t, r.err, w.logs)
			require.Equal(t, strings.TrimPrefix(wantEvents(lastEvent), wantEvents(1)), r.body, w.logs)
		})
	}
}

// On a host that does not know yet how a service numbers its events, a number that is too high is passed on. A later one
// contradicts it, and the stream must not be resumed after it: what lies between would be missing.
func TestStreamIsNotResumedAfterContradictedNumber(t *testing.T) {
	passed := make(chan struct{})
	script := firstThenRest(func(a *arrival) bool {
		a.begin()
		a.events(1, 1)
		a.chunk("id: 9\ndata: 2\n\n")
		<-passed
		a.events(3, lastEvent)
		a.end()
		return true
	}, func(a *arrival) bool { return a.streamWith(0, "") })
	w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", "model", script), newScriptedTarget(t, "b", "model", script))
	rd := bufio.NewReader(w.dial("POST /stream/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nX-Key: key1\r\nContent-Length: 0\r\n\r\n"))
	for line := ""; line != "id: 9\n"; {
		var err error
		line, err = rd.ReadString('\n')
		require.NoError(t, err, w.logs)
	}
	close(passed)
	rest, _ := io.ReadAll(rd) // a reset is a valid way to cut a stream
	require.False(t, strings.HasSuffix(string(rest), "0\r\n\r\n"), "looks complete: %q\n%s", rest, w.logs)
	require.NotContains(t, string(rest), "id: ")
	require.Equal(t, 1, w.requestsSeen())
}

// What sound targets may write besides plain events is no fault: each stream comes whole from its first target.
func TestSoundStreamsPass(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"comments and empty blocks": {
			": hello\n\nid: 1\ndata: 1\n\n\n\n: comment\n\nid: 2\ndata: 2\n\n: bye\n\n",
			"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n",
		},
		"odd empty lines": {
			"\nid: 1\ndata: 1\n\n\nid: 2\ndata: 2\n\n\n",
			"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n",
		},
		"version line":       {text: "id: 1\ndata: 1\n\nx-weight-versions: 7\nid: 2\ndata: 2\n\n"},
		"several data lines": {text: "id: 1\ndata: 1\ndata: one\n\nid: 2\ndata: 2\ndata: two\n\n"},
		"event without data": {text: "id: 1\n\nid: 2\ndata: 2\n\nid: 3\n\n"},
		"comment in an event": {
			text: ": first\nid: 1\ndata: 1\n\nid: 2\n: second\ndata: 2\n\n",
		},
		"numbers with gaps": {text: "id: 10\ndata: 1\n\nid: 20\ndata: 2\n\nid: 35\ndata: 3\n\n"},
		"numbers from 0":    {text: "id: 0\ndata: 1\n\nid: 1\ndata: 2\n\n"},
	} {
		for _, size := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s, %d bytes at once", name, size), func(t *testing.T) {
				t.Parallel()
				script := func(a *arrival) bool {
					a.begin()
					for text := c.text; text != ""; text = text[min(size, len(text)):] {
						a.chunk(text[:min(size, len(text))])
					}
					a.end()
					return true
				}
				w := newTestEnvWith(t, keepKeysValid, newScriptedTarget(t, "a", "model", script))
				for _, path := range []string{"/stream/x", "/once/x"} {
					for n := range 6 {
						r := w.do(call{path: path, key: "key1", id: fmt.Sprint("r", n)})
						require.NoError(t, r.err, w.logs)
						want := c.want
						if want == "" {
							want = c.text
						}
						require.Equal(t, want, r.body, w.logs)
					}
				}
				require.Equal(t, 12, w.requestsSeen())
			})
		}
	}
}
