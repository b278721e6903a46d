package held

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const (
	testMemory = 8 // MiB, an eighth of which may be held
	testLimit  = testMemory << 20 / 8
	floodHeld  = (testLimit - (testLimit/2 - FreeBytes)) / (testLimit/10 - FreeBytes) // answers of a flood beside a large one
)

// newCountedAnswer returns an answer of a target, and how often it was asked to close its connection.
func newCountedAnswer(b *Budget, target string) (*Answer, *int) {
	closed := new(int)
	return b.NewAnswer(target, func() { *closed++ }), closed
}

// A target that floods the host with large answers loses the largest of them. The answers of others go on, though one
// of them is larger than each of the flood.
func TestFloodOfOneTargetEndsItsOwnAnswers(t *testing.T) {
	b := NewBudget(testMemory)
	large, largeClosed := newCountedAnswer(b, "calm")
	require.True(t, large.Resize(testLimit/2))
	var flood []*Answer
	lost := 0
	for range 20 {
		a, _ := newCountedAnswer(b, "flood")
		flood = append(flood, a)
		if !a.Resize(testLimit / 10) {
			lost++
		}
	}
	for _, a := range flood {
		if a.GivenUp() {
			lost++
		}
	}
	require.Equal(t, len(flood)-floodHeld, lost)
	require.Zero(t, *largeClosed)
	require.False(t, large.GivenUp())
	used, limit := b.Used()
	require.LessOrEqual(t, used, limit)
	for _, a := range append(flood, large) {
		a.Release()
	}
	used, _ = b.Used()
	require.Zero(t, used)
}

// An answer that is complete is on its way to the caller: it still counts, but others are given up before it.
func TestCompleteAnswerIsNotGivenUp(t *testing.T) {
	b := NewBudget(testMemory)
	complete, closed := newCountedAnswer(b, "a")
	require.True(t, complete.Resize(testLimit))
	complete.Complete()
	next, _ := newCountedAnswer(b, "b")
	require.False(t, next.Resize(testLimit/2))
	require.Zero(t, *closed)
	require.False(t, complete.GivenUp())

	body := NewBody(bytes.Repeat([]byte("x"), 10), complete, func() {})
	read, err := io.ReadAll(body)
	require.NoError(t, err)
	require.Len(t, read, 10)
	require.NoError(t, body.Close())
	require.True(t, next.Resize(testLimit/2), "what was written is free again")
}

// An answer that was given up for others is no answer, though its body came to an end.
func TestAnswerThatWasGivenUpIsNotRead(t *testing.T) {
	b := NewBudget(testMemory)
	a, closed := newCountedAnswer(b, "flood")
	reader := readerFunc(func(p []byte) (int, error) {
		other, _ := newCountedAnswer(b, "calm")
		other.Resize(testLimit / 2)
		return 0, io.EOF
	})
	require.True(t, a.Resize(testLimit))
	body, err := a.ReadAll(reader, testLimit)
	require.ErrorIs(t, err, ErrTooLarge)
	require.Nil(t, body)
	require.Equal(t, 1, *closed)
}

// Answers up to the limit are read whole, however their bytes arrive; one more byte is too many.
func TestLimitOfAnAnswerIsExact(t *testing.T) {
	for _, size := range []int{0, 1, minChunk - 1, minChunk, minChunk + 1, FreeBytes, 100_000} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, wrap := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.HalfReader, iotest.OneByteReader} {
			b := NewBudget(testMemory)
			a, _ := newCountedAnswer(b, "a")
			body, err := a.ReadAll(wrap(bytes.NewReader(want)), size)
			require.NoError(t, err, size)
			require.Equal(t, want, append([]byte{}, body...), size)

			a, _ = newCountedAnswer(b, "a")
			_, err = a.ReadAll(wrap(bytes.NewReader(append(want, 'x'))), size)
			require.ErrorIs(t, err, ErrTooLarge, size)
		}
	}
}

// An answer that breaks off has the error of its body, not an end.
func TestAnswerThatBreaksOffHasTheErrorOfItsBody(t *testing.T) {
	a, _ := newCountedAnswer(NewBudget(testMemory), "a")
	_, err := a.ReadAll(io.MultiReader(bytes.NewReader([]byte("x")), iotest.ErrReader(io.ErrUnexpectedEOF)), 10)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A host whose memory is not known has a bound as well.
func TestBudgetWithoutKnownMemoryHasABound(t *testing.T) {
	for memory, want := range map[float64]int64{0: defaultMemory << 20 / 8, 64: 8 << 20, 1e12: 1<<31*mebibyte/8 - mebibyte/8} {
		_, limit := NewBudget(memory).Used()
		require.Equal(t, want, limit, memory)
	}
}

// readerFunc is a function that reads like an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
