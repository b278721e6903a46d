package gateway

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// An event that arrives in pieces is returned once it is complete, and an oversized one is an error.
func TestEventIsReturnedOnceComplete(t *testing.T) {
	var e eventParser
	whole, ok := e.feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	require.True(t, ok)
	require.Equal(t, "id: 1\ndata: a\n\n", string(whole))
	require.Equal(t, "1", e.lastID)
	whole, ok = e.feed([]byte("ta: b\n"))
	require.True(t, ok)
	require.Empty(t, whole)
	whole, _ = e.feed([]byte("\n"))
	require.Equal(t, "id: 2\ndata: b\n\n", string(whole))
	require.Equal(t, "2", e.lastID)
	_, ok = e.feed(bytes.Repeat([]byte("x"), maxEventBytes+1))
	require.False(t, ok)
}

// Only the next higher number follows an event ID, unless there is no ID yet.
func TestDirectlyFollowsAcceptsOnlyNextNumber(t *testing.T) {
	require.True(t, directlyFollows("3", []byte("id: 4\n\n")))
	require.False(t, directlyFollows("3", []byte("id: 5\n\n")))
	require.False(t, directlyFollows("3", []byte("id: 3\n\n")))
	require.False(t, directlyFollows("x", []byte("id: 4\n\n")))
	require.False(t, directlyFollows("3", []byte("data: 4\n\n")))
	require.True(t, directlyFollows("", []byte("data\n\n")))
}

// Blocks without a number are skipped, and too many bytes of them end the stream.
func TestBlocksWithoutNumberAreSkipped(t *testing.T) {
	var e eventParser
	whole, ok := e.feed([]byte("\n\n: comment\n\ndata: z\n\nid: 7\ndata: a\n\nid: x\n\n"))
	require.True(t, ok)
	require.Equal(t, "id: 7\ndata: a\n\n", string(whole))
	require.Equal(t, "7", e.lastID)
	for range maxEventBytes / 2 {
		if whole, ok = e.feed(eventEnd); !ok {
			break
		}
		require.Empty(t, whole)
	}
	require.False(t, ok)
}

// The largest event number has no successor: the number does not wrap around.
func TestLargestEventNumberHasNoSuccessor(t *testing.T) {
	const most = "18446744073709551615"
	require.False(t, directlyFollows(most, []byte("id: 0\n\n")))
	require.False(t, directlyFollows(most, []byte("id: 18446744073709551616\n\n")))
	require.True(t, directlyFollows("18446744073709551614", []byte("id: "+most+"\n\n")))
	require.False(t, directlyFollows("3", []byte("id: -4\n\n")))
}

// A block that is malformed or out of order ends the stream; the events before it are returned.
func TestInvalidBlockEndsStream(t *testing.T) {
	const first = "id: 7\ndata: a\n\n"
	for name, c := range map[string]struct {
		text string
		good bool
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
			var e eventParser
			whole, ok := e.feed([]byte(first + c.text))
			require.Equal(t, c.good, ok)
			require.True(t, bytes.HasPrefix(whole, []byte(first)))
			if !c.good {
				require.Equal(t, first, string(whole))
				_, ok = e.feed([]byte("id: 20\n\n"))
				require.False(t, ok, "events after an invalid block were accepted")
			}
		})
	}
}

// The events and the remaining bytes do not depend on how the stream is split into reads.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var e, uncut eventParser
		var all []byte
		want, _ := uncut.feed(stream)
		for chunk := range chunks(stream, int(size)+1) {
			whole, _ := e.feed(chunk)
			require.True(t, len(whole) == 0 || bytes.HasSuffix(whole, eventEnd))
			all = append(all, whole...)
		}
		require.Equal(t, string(want), string(all))
		require.Equal(t, string(uncut.partial), string(e.partial))
	})
}

// chunks splits a stream into pieces of a size.
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
