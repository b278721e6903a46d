package gateway

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// The parser returns an event that arrives in several reads only once it is complete, and rejects an event
// of more than maxEventBytes.
func TestEventIsReturnedOnceComplete(t *testing.T) {
	var parser eventParser
	events, ok := parser.feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	require.True(t, ok)
	require.Equal(t, "id: 1\ndata: a\n\n", string(events))
	require.Equal(t, "1", parser.lastID)
	events, ok = parser.feed([]byte("ta: b\n"))
	require.True(t, ok)
	require.Empty(t, events)
	events, _ = parser.feed([]byte("\n"))
	require.Equal(t, "id: 2\ndata: b\n\n", string(events))
	require.Equal(t, "2", parser.lastID)
	_, ok = parser.feed(bytes.Repeat([]byte("x"), maxEventBytes+1))
	require.False(t, ok)
}

// A resumed stream may continue only with the event whose number is one higher than that of the last
// event, so that no event is lost or repeated. Without an earlier event, any event may follow.
func TestDirectlyFollowsAcceptsOnlyNextNumber(t *testing.T) {
	require.True(t, directlyFollows("3", []byte("id: 4\n\n")))
	require.False(t, directlyFollows("3", []byte("id: 5\n\n")))
	require.False(t, directlyFollows("3", []byte("id: 3\n\n")))
	require.False(t, directlyFollows("x", []byte("id: 4\n\n")))
	require.False(t, directlyFollows("3", []byte("data: 4\n\n")))
	require.True(t, directlyFollows("", []byte("data\n\n")))
}

// The parser skips blocks without an event number, such as comments. If they amount to too many bytes
// without an event between them, it ends the stream.
func TestBlocksWithoutNumberAreSkipped(t *testing.T) {
	var parser eventParser
	events, ok := parser.feed([]byte("\n\n: comment\n\ndata: z\n\nid: 7\ndata: a\n\nid: x\n\n"))
	require.True(t, ok)
	require.Equal(t, "id: 7\ndata: a\n\n", string(events))
	require.Equal(t, "7", parser.lastID)
	for range maxEventBytes / 2 {
		if events, ok = parser.feed(eventEnd); !ok {
			break
		}
		require.Empty(t, events)
	}
	require.False(t, ok)
}

// No event follows the one with the largest 64-bit number: the number must not wrap around to 0.
func TestLargestEventNumberHasNoSuccessor(t *testing.T) {
	const maxNumber = "18446744073709551615"
	require.False(t, directlyFollows(maxNumber, []byte("id: 0\n\n")))
	require.False(t, directlyFollows(maxNumber, []byte("id: 18446744073709551616\n\n")))
	require.True(t, directlyFollows("18446744073709551614", []byte("id: "+maxNumber+"\n\n")))
	require.False(t, directlyFollows("3", []byte("id: -4\n\n")))
}

// A target that fails in the middle of a stream may write an error text or repeat events. A block that is
// malformed, or whose number is not higher than the last one, ends the stream. The parser returns the
// events before it and accepts none after it.
func TestInvalidBlockEndsStream(t *testing.T) {
	const first = "id: 7\ndata: a\n\n"
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"next number":                     {"id: 8\ndata: id: 3\n\n", true},
		"higher number after a gap":       {"id: 10\n\n", true},
		"unknown field before the number": {"x-weight-versions: 3\nid: 8\ndata: b\n\n", true},
		"field without a value":           {"id: 8\ndata\n\n", true},
		"comment":                         {": HTTP/1.1 200 OK\n\n", true},
		"number in the data":              {"data: x\ndata: id: 3\nid: 8\n\n", true},
		"same event again":                {first, false},
		"lower number":                    {"id: 6\n\n", false},
		"two events without a blank line": {"id: 8\ndata: b\nid: 9\n\n", false},
		"number repeated in one event":    {"id: 8\nid: 8\n\n", false},
		"plain text":                      {"bad thing\n\n", false},
		"plain text before an event":      {"bad thing\nid: 8\n\n", false},
		"JSON":                            {"{\"error\":1}\n\n", false},
		"HTTP head":                       {"HTTP/1.1 500 X\r\nid: 8\r\n\r\nbad\n\n", false},
		"HTTP head within data":           {"id: 8\ndata: bHTTP/1.1 500 X\r\nA: b\r\n\r\nbad\n\n", false},
		"CRLF line ends":                  {"id: 8\r\ndata: b\r\n\r\nid: 9\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var parser eventParser
			events, ok := parser.feed([]byte(first + c.text))
			require.Equal(t, c.valid, ok)
			require.True(t, bytes.HasPrefix(events, []byte(first)))
			if !c.valid {
				require.Equal(t, first, string(events))
				_, ok = parser.feed([]byte("id: 20\n\n"))
				require.False(t, ok, "events after an invalid block were accepted")
			}
		})
	}
}

// Whatever reads a stream is split into, the parser returns the same events and keeps the same
// incomplete rest.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var parser, unsplit eventParser
		var all []byte
		want, _ := unsplit.feed(stream)
		for chunk := range chunks(stream, int(size)+1) {
			events, _ := parser.feed(chunk)
			require.True(t, len(events) == 0 || bytes.HasSuffix(events, eventEnd))
			all = append(all, events...)
		}
		require.Equal(t, string(want), string(all))
		require.Equal(t, string(unsplit.partial), string(parser.partial))
	})
}

// chunks iterates over pieces of a stream of size bytes each; the last one may be shorter.
func chunks(stream []byte, size int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(stream) > 0 {
			n := min(size, len(stream))
			if !yield(stream[:n]) {
				return
			}
			stream = stream[n:]
		}
	}
}
