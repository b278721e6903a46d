package logbook_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/logbook"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// An output that blocks must not block those who log: lines are dropped and counted,
// and the reserve of the buffer still takes lines about failures.
func TestWritingNeverBlocks(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	w := logbook.NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	log := zerolog.New(w)
	for range 10000 {
		log.Info().Str("event", "answered").Str("text", strings.Repeat("x", 100)).Send()
	}
	dropped := w.Dropped()
	require.NotZero(t, dropped["answered"])
	require.Len(t, dropped, 1)
	log.Warn().Msg("failed")
	require.Equal(t, dropped, w.Dropped(), "the line of level warn is not dropped")
	close(out.release)
	cancel()
	require.NoError(t, <-done)
}

// The log reports the number of dropped lines, and every other line is written.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	w := logbook.NewWriter(&out)
	line := []byte(`{"event":"answered","text":"` + strings.Repeat("x", 1000) + "\"}\n")
	for range 300 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, <-w.Run(ctx))
	kept := strings.Count(out.String(), "x\"}\n")
	require.Equal(t, map[string]uint64{"answered": uint64(300 - kept)}, w.Dropped())
	require.Contains(t, out.String(), fmt.Sprintf(`"event":"lines-dropped","count":%d,"total":{"answered":%d}`, 300-kept, 300-kept))
}

// failingWriter is an output on which every write fails.
type failingWriter struct{ writes int }

func (b *failingWriter) Write([]byte) (int, error) {
	b.writes++
	return 0, io.ErrClosedPipe
}

// A batch that can't be written is counted, and a line that reports it is buffered, so
// that the last flush has a line to write and returns the error.
func TestFailedWriteIsCounted(t *testing.T) {
	w := logbook.NewWriter(&failingWriter{})
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	_, err := w.Write([]byte("{}\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return w.Dropped()["lines-lost"] > 0 }, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, io.ErrClosedPipe)
}

// Events beyond a maximum number are counted together, so that the memory of the counts
// stays bounded.
func TestNumberOfCountedEventsIsBounded(t *testing.T) {
	w := logbook.NewWriter(io.Discard)
	for n := range 2000 {
		_, err := fmt.Fprintf(w, `{"event":"event%d","text":%q}`, n, strings.Repeat("x", 1000))
		require.NoError(t, err)
	}
	require.Len(t, w.Dropped(), 65)
	require.NotZero(t, w.Dropped()["other"])
}

// sizeRecorder records the size of each write.
type sizeRecorder struct{ sizes []int }

func (p *sizeRecorder) Write(b []byte) (int, error) {
	if b[len(b)-1] != '\n' {
		return 0, io.ErrShortWrite
	}
	p.sizes = append(p.sizes, len(b))
	return len(b), nil
}

// Log collectors split large writes anywhere, so a batch is written in several writes,
// each of which ends at the end of a line.
func TestLargeBatchesAreSplitAtLineEnds(t *testing.T) {
	var out sizeRecorder
	w := logbook.NewWriter(&out)
	for n := range 100 {
		_, err := fmt.Fprintf(w, "{\"text\":%q}\n", strings.Repeat("x", 17*n))
		require.NoError(t, err)
	}
	_, err := fmt.Fprintf(w, "{\"text\":%q}\n", strings.Repeat("x", 5000))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, <-w.Run(ctx))
	longest := out.sizes[len(out.sizes)-1]
	require.Greater(t, longest, 5000, "a line longer than the maximum is written whole")
	require.Less(t, longest, 6000)
	for _, size := range out.sizes[:len(out.sizes)-1] {
		require.LessOrEqual(t, size, 3000)
	}
}
