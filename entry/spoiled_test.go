package entry_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
)

// TestSpoiledModelEventIsNotLeftOut guards against an answer that looks complete without a token: a target overwrites the
// first bytes of an event, and the line, which is no data any more, was passed over. The stream has to be resumed before
// that token.
func TestSpoiledModelEventIsNotLeftOut(t *testing.T) {
	const positions = 8 // in the event, from its field name to its JSON
	whole := events(0)
	services := map[string]string{}
	for n := range len(whole) * positions {
		services[fmt.Sprint("s", n)] = catalog.KindModel
	}
	f := newFixture(t, services, func(received *targetRequest) bool {
		var n int
		_, _ = fmt.Sscanf(gjson.GetBytes(received.request.Body(), "model").String(), "s%d", &n) // the test sends nothing else
		text := events(int(gjson.GetBytes(received.request.Body(), "resume").Int()))
		if received.number == 1 {
			event, at := text[n/positions], n%positions
			text[n/positions] = event[:at] + "xyzzy" + event[at+5:]
		}
		body := strings.Join(text, "")
		received.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return true
	})
	for n := range len(whole) * positions {
		t.Run(fmt.Sprintf("event %d from byte %d on", n/positions, n%positions), func(t *testing.T) {
			t.Parallel()
			for _, stream := range []bool{true, false} {
				id := fmt.Sprint("r", n, stream)
				r := f.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", fmt.Sprintf(`{"model":"s%d","prompt":"p","stream":%v}`, n, stream))
				require.Equal(t, fasthttp.StatusOK, r.status)
				require.True(t, r.complete, r.body)
				text := gjson.Get(r.body, "choices.0.text").String()
				if stream {
					text = streamedText(r.body)
				}
				require.Equal(t, streamedText(strings.Join(whole, "")), text)
			}
		})
	}
}

// streamedText returns the text of all events of a stream.
func streamedText(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text.WriteString(gjson.Get(data, "choices.0.text").String())
		}
	}
	return text.String()
}

// TestSoundModelStreamPasses checks that what targets may write besides data is no fault: comments, empty blocks, other
// fields of the event stream format, and fields that it does not know beside data.
func TestSoundModelStreamPasses(t *testing.T) {
	f := newFixture(t, map[string]string{"s0": catalog.KindModel}, func(received *targetRequest) bool {
		body := ": hello\n\n\n" + strings.Join(events(0)[:1], "") + "event: ping\nretry: 10\n\nid: 1\nx-version: 2\n" + strings.Join(events(0)[1:], "")
		received.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		return true
	})
	r := f.doRequest(fasthttp.MethodPost, "/v1/completions", "r1", "", `{"model":"s0","prompt":"p","stream":true}`)
	require.Equal(t, fasthttp.StatusOK, r.status)
	require.True(t, r.complete)
	require.Equal(t, streamedText(strings.Join(events(0), "")), streamedText(r.body))
	require.Equal(t, 1, f.receiveCount("r1"))
}
