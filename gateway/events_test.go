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
// event, so that no event is lost or repeated. Without an earlier event, any event may follow. A service that is known
// to leave gaps may leave one there as well.
func TestContinuationBeginsWithNextNumber(t *testing.T) {
	for _, c := range []struct {
		last, text string
		numbering  numbering
		valid      bool
	}{
		{last: "3", text: "id: 4\n\n", valid: true},
		{last: "3", text: "id: 5\n\n"},
		{last: "3", text: "id: 5\n\n", numbering: numberingConsecutive},
		{last: "3", text: "id: 5\n\n", numbering: numberingGapped, valid: true},
		{last: "3", text: "id: 3\n\n"},
		{last: "3", text: "id: 3\n\n", numbering: numberingGapped},
		{last: "3", text: "data: 4\n\n"},
		{last: "0", text: "id: 0\n\n"},
		{last: "x", text: "id: 4\n\n", valid: true},
		{last: "", text: "id: 4\n\n", valid: true},
	} {
		e := newEventParser(c.numbering, c.last, true)
		events, ok := e.feed([]byte(c.text))
		require.Equal(t, c.valid, ok, c)
		require.Equal(t, c.valid, len(events) > 0, c)
	}
}

// Where events are known to be numbered without gaps, one that is missing or has a wrong number ends the stream, so that
// the events before it can be resumed after the last sure one. Elsewhere a gap is passed on, since the protocol
// promises increasing numbers only.
func TestGapIsInvalidWhereNumbersAreConsecutive(t *testing.T) {
	for text, valid := range map[string]bool{
		"id: 1\n\nid: 2\n\nid: 3\n\n": true,
		"id: 0\n\nid: 1\n\nid: 2\n\n": true,
		"id: 1\n\nid: 3\n\n":          false,
		"id: 2\n\nid: 3\n\n":          false,
		"id: 1\n\nid: 2\n\nid: 9\n\n": false,
	} {
		for _, n := range []numbering{numberingUnknown, numberingConsecutive, numberingGapped} {
			e := newEventParser(n, "", true)
			_, ok := e.feed([]byte(text))
			require.Equal(t, valid || n != numberingConsecutive, ok, "%q %v", text, n)
			require.Equal(t, !valid, e.gap, "%q %v", text, n)
		}
	}
}

// After a gap that was accepted, a lower number shows that one of the two is wrong, and nothing tells which.
func TestLowerNumberBehindGapIsUncertain(t *testing.T) {
	e := newEventParser(numberingUnknown, "", true)
	_, ok := e.feed([]byte("id: 4\n\nid: 8\n\nid: 6\n\n"))
	require.False(t, ok)
	require.True(t, e.uncertain)
	e = newEventParser(numberingUnknown, "", true)
	_, ok = e.feed([]byte("id: 1\n\nid: 2\n\nid: 2\n\n"))
	require.False(t, ok)
	require.False(t, e.uncertain)
}

// The parser skips blocks without an event, such as comments. If they amount to too many bytes
// without an event between them, it ends the stream.
func TestBlocksWithoutEventAreSkipped(t *testing.T) {
	var parser eventParser
	events, ok := parser.feed([]byte("\n\n: comment\n\nretry: 500\n\nid: 7\ndata: a\n\nevent: ping\n: comment\n\n"))
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

// An event whose number or first bytes are spoiled must not be left out as if it were a comment: the stream would look
// complete without it.
func TestEventWithoutNumberIsInvalid(t *testing.T) {
	const event = "id: 8\ndata: piece8\n\n"
	blocks := []string{"data: z\n\n", "id: x\n\n", "id:\ndata: z\n\n", "id: +8\ndata: z\n\n", "x-weight-versions: 3\n\n"}
	for at := range len("id: 8\n") {
		blocks = append(blocks, event[:at]+"xyzzy"+event[at+5:])
	}
	for _, block := range blocks {
		var parser eventParser
		events, ok := parser.feed([]byte("id: 7\ndata: a\n\n" + block + "id: 9\n\n"))
		require.False(t, ok, "%q", block)
		require.Equal(t, "id: 7\ndata: a\n\n", string(events))
	}
}

// No event follows the one with the largest 64-bit number: the number must not wrap around to 0.
func TestLargestEventNumberHasNoSuccessor(t *testing.T) {
	const maxNumber = "18446744073709551615"
	require.False(t, mayFollow(maxNumber, "id: 0\n\n"))
	require.False(t, mayFollow(maxNumber, "id: 18446744073709551616\n\n"))
	require.True(t, mayFollow("18446744073709551614", "id: "+maxNumber+"\n\n"))
	require.False(t, mayFollow("3", "id: -4\n\n"))
}

// mayFollow returns whether an answer that continues a stream may begin with a block.
func mayFollow(last, block string) bool {
	e := newEventParser(numberingConsecutive, last, true)
	_, ok := e.feed([]byte(block))
	return ok
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
	f.Add([]byte("id: 1\n\n\n"), uint8(0))
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
