package gateway

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsAreTakenWhole(t *testing.T) {
	var e events
	whole, ok := e.take([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	require.True(t, ok)
	require.Equal(t, "id: 1\ndata: a\n\n", string(whole))
	require.Equal(t, "1", e.last)
	whole, ok = e.take([]byte("ta: b\n"))
	require.True(t, ok)
	require.Empty(t, whole)
	whole, _ = e.take([]byte("\n"))
	require.Equal(t, "id: 2\ndata: b\n\n", string(whole))
	require.Equal(t, "2", e.last)
	_, ok = e.take(bytes.Repeat([]byte("x"), maxEventBytes+1))
	require.False(t, ok)
}

func TestFollows(t *testing.T) {
	require.True(t, follows("3", []byte("id: 4\n\n")))
	require.False(t, follows("3", []byte("id: 5\n\n")))
	require.False(t, follows("3", []byte("id: 3\n\n")))
	require.False(t, follows("x", []byte("id: 4\n\n")))
	require.False(t, follows("3", []byte("data: 4\n\n")))
	require.True(t, follows("", []byte("data\n\n")))
}

// What has no number is left out, and too much of it ends the stream.
func TestWhatIsNoEventIsLeftOut(t *testing.T) {
	var e events
	whole, ok := e.take([]byte("\n\n: comment\n\ndata: z\n\nid: 7\ndata: a\n\nid: x\n\n"))
	require.True(t, ok)
	require.Equal(t, "id: 7\ndata: a\n\n", string(whole))
	require.Equal(t, "7", e.last)
	for range maxEventBytes / 2 {
		if whole, ok = e.take(eventEnd); !ok {
			break
		}
		require.Empty(t, whole)
	}
	require.False(t, ok)
}

// However the stream is cut, the same events come whole and the same bytes are left.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var e, uncut events
		var all []byte
		want, _ := uncut.take(stream)
		for chunk := range chunks(stream, int(size)+1) {
			whole, _ := e.take(chunk)
			require.True(t, len(whole) == 0 || bytes.HasSuffix(whole, eventEnd))
			all = append(all, whole...)
		}
		require.Equal(t, string(want), string(all))
		require.Equal(t, string(uncut.rest), string(e.rest))
	})
}

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
