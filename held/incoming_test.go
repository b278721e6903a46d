package held

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	bodyLimit    = 1 << 20               // of the body of a request
	callersLimit = testLimit * 3 / 4     // of all bodies
	sixBodies    = callersLimit / 6      // counted bytes of a body, six of which fill the room of callers
	bodySize     = sixBodies + FreeBytes // bytes of such a body
	longStall    = 2 * stallTime
)

// testClock is the time of a Budget that a test sets.
type testClock struct{ now time.Time }

// newTestBudget returns a Budget with a clock that the test sets.
func newTestBudget() (*Budget, *testClock) {
	b, c := NewBudget(testMemory), &testClock{now: time.Unix(1000, 0)}
	b.now = func() time.Time { return c.now }
	return b, c
}

// newTestBody returns an Incoming and how often its read was interrupted.
func newTestBody(b *Budget) (*Incoming, *int) {
	interrupted := new(int)
	return b.NewIncoming(func() { *interrupted++ }), interrupted
}

// A caller that announces a large body and sends nothing must not take room: only what has arrived counts.
func TestBodyCountsAsItArrives(t *testing.T) {
	b, _ := newTestBudget()
	i, _ := newTestBody(b)
	require.ErrorIs(t, i.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), bodySize, bodyLimit), io.ErrUnexpectedEOF)
	require.Zero(t, b.Received())
	body := io.MultiReader(strings.NewReader(strings.Repeat("b", 100_000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	require.ErrorIs(t, i.ReadAll(body, bodySize, bodyLimit), io.ErrUnexpectedEOF)
	require.Less(t, b.Received(), int64(2*100_000+maxChunk))
	i.Release()
	require.Zero(t, b.Received())
	used, _ := b.Used()
	require.Zero(t, used)
}

// A body within the limit must not lose bytes or be refused, and one over it must not be accepted, however its bytes
// arrive and whether or not its length is announced.
func TestBodyIsReadUpToTheLimit(t *testing.T) {
	for _, size := range []int{1, firstChunk - 1, firstChunk, FreeBytes, FreeBytes + 1, 500_000} {
		want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, wrap := range []func(io.Reader) io.Reader{iotest.DataErrReader, iotest.HalfReader, iotest.OneByteReader} {
			for _, length := range []int{size, -1} {
				b, _ := newTestBudget()
				i, _ := newTestBody(b)
				require.NoError(t, i.ReadAll(wrap(bytes.NewReader(want)), length, size), size)
				whole, err := i.Join(1)
				require.NoError(t, err)
				require.Equal(t, want, whole, size)
				i.Release()
				require.Zero(t, b.Received())

				i, _ = newTestBody(b)
				tooLong := length + 1
				if length < 0 {
					tooLong = length
				}
				require.ErrorIs(t, i.ReadAll(wrap(bytes.NewReader(append(want, 'x'))), tooLong, size), ErrBodyTooLarge, size)
			}
		}
	}
}

// A body that ends before its announced length must not be taken for whole.
func TestShortBodyIsNotWhole(t *testing.T) {
	b, _ := newTestBudget()
	i, _ := newTestBody(b)
	require.ErrorIs(t, i.ReadAll(strings.NewReader("abc"), 4, bodyLimit), io.ErrUnexpectedEOF)
}

// Callers that stop within their bodies must not keep others out: the one that stopped first loses its room.
func TestStalledBodyIsEvictedFirst(t *testing.T) {
	b, clock := newTestBudget()
	var bodies []*Incoming
	var interrupted []*int
	for range 6 {
		i, n := newTestBody(b)
		require.True(t, i.resize(bodySize))
		bodies, interrupted = append(bodies, i), append(interrupted, n)
		clock.now = clock.now.Add(stallTime / 10)
	}
	next, _ := newTestBody(b)
	require.False(t, next.resize(bodySize), "all make progress")
	clock.now = clock.now.Add(longStall)
	for _, i := range bodies[1:] {
		i.observeProgress(progressBytes)
	}
	require.True(t, next.resize(bodySize))
	for n, count := range interrupted {
		require.Equal(t, n == 0, *count == 1, n)
	}
	require.False(t, bodies[0].resize(bodySize), "it stays evicted")
	require.ErrorIs(t, bodies[0].finish(), ErrNoRoom)
}

// A few bytes now and then are no progress, or a caller could keep its room for as long as it likes.
func TestTrickleIsNoProgress(t *testing.T) {
	b, clock := newTestBudget()
	i, interrupted := newTestBody(b)
	require.True(t, i.resize(callersLimit+FreeBytes))
	for range 20 {
		clock.now = clock.now.Add(stallTime / 10)
		i.observeProgress(3)
	}
	next, _ := newTestBody(b)
	require.True(t, next.resize(bodySize))
	require.Equal(t, 1, *interrupted)
}

// A request that a target may already run must not lose its body.
func TestCompleteBodyIsNotEvicted(t *testing.T) {
	b, clock := newTestBudget()
	i, interrupted := newTestBody(b)
	require.True(t, i.resize(callersLimit+FreeBytes))
	require.NoError(t, i.finish())
	clock.now = clock.now.Add(longStall)
	next, _ := newTestBody(b)
	require.ErrorIs(t, next.ReadAll(strings.NewReader(""), bodySize, bodyLimit), ErrNoRoom)
	a, _ := newCountedAnswer(b, "target")
	require.False(t, a.Resize(testLimit))
	require.Zero(t, *interrupted)
}

// Bodies of callers must leave room for answers of targets, which have run their requests.
func TestBodiesLeaveRoomForAnswers(t *testing.T) {
	b, clock := newTestBudget()
	for range 20 {
		i, _ := newTestBody(b)
		i.resize(bodySize)
	}
	a, _ := newCountedAnswer(b, "target")
	require.True(t, a.Resize(testLimit/4))
	require.False(t, a.Resize(testLimit))
	clock.now = clock.now.Add(longStall)
	a, _ = newCountedAnswer(b, "target")
	require.True(t, a.Resize(testLimit), "stalled bodies give up their room for an answer")
}

// A caller that reads nothing of its answer must not keep the room that others need.
func TestAnswerThatNobodyReadsIsGivenUp(t *testing.T) {
	b, clock := newTestBudget()
	var dropped [2]int
	var bodies []Body
	for n := range dropped {
		a, _ := newCountedAnswer(b, "target")
		require.True(t, a.Resize(testLimit/2))
		a.Complete()
		bodies = append(bodies, NewBody([]byte("answer"), a, func() { dropped[n]++ }))
	}
	clock.now = clock.now.Add(2 * unreadTime)
	_, err := bodies[1].Read(make([]byte, 1))
	require.NoError(t, err)
	next, _ := newTestBody(b)
	require.True(t, next.resize(bodySize))
	require.Equal(t, [2]int{1, 0}, dropped)
	require.NoError(t, bodies[0].Close())
	require.NoError(t, bodies[1].Close())
	next.Release()
	used, _ := b.Used()
	require.Zero(t, used)
}
