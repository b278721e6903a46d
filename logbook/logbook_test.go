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

// blocked is a reader of the log that never reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// A reader that stops holds up nobody: lines are dropped and counted, those about
// failures last.
func TestWritingNeverBlocks(t *testing.T) {
	out := blocked{release: make(chan struct{})}
	book := logbook.NewBook(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := book.Run(ctx)
	log := zerolog.New(book)
	for range 10000 {
		log.Info().Str("event", "answered").Str("text", strings.Repeat("x", 100)).Send()
	}
	dropped := book.Dropped()
	require.NotZero(t, dropped["answered"])
	require.Len(t, dropped, 1)
	log.Warn().Msg("failed")
	require.Equal(t, dropped, book.Dropped(), "a line about a failure still has room")
	close(out.release)
	cancel()
	require.NoError(t, <-done)
}

// Dropped lines are told of in the log, and nothing is lost otherwise.
func TestDroppedLinesAreTold(t *testing.T) {
	var out bytes.Buffer
	book := logbook.NewBook(&out)
	line := []byte(`{"event":"answered","text":"` + strings.Repeat("x", 1000) + "\"}\n")
	for range 300 {
		_, err := book.Write(line)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, <-book.Run(ctx))
	kept := strings.Count(out.String(), "x\"}\n")
	require.Equal(t, map[string]uint64{"answered": uint64(300 - kept)}, book.Dropped())
	require.Contains(t, out.String(), fmt.Sprintf(`"event":"lines-dropped","count":%d,"total":{"answered":%d}`, 300-kept, 300-kept))
}

// broken is an output that can't be written to.
type broken struct{ writes int }

func (b *broken) Write([]byte) (int, error) {
	b.writes++
	return 0, io.ErrClosedPipe
}

// A batch that can't be written is counted, and a line about it is kept.
func TestLostBatchIsCounted(t *testing.T) {
	book := logbook.NewBook(&broken{})
	ctx, cancel := context.WithCancel(context.Background())
	done := book.Run(ctx)
	_, err := book.Write([]byte("{}\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return book.Dropped()["lines-lost"] > 0 }, 10*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-done, io.ErrClosedPipe)
}

// Events beyond a number are counted together, so that the counts stay bounded.
func TestCountsAreBounded(t *testing.T) {
	book := logbook.NewBook(io.Discard)
	for n := range 2000 {
		_, err := fmt.Fprintf(book, `{"event":"event%d","text":%q}`, n, strings.Repeat("x", 1000))
		require.NoError(t, err)
	}
	require.Len(t, book.Dropped(), 65)
	require.NotZero(t, book.Dropped()["other"])
}

// pieces keeps what is written at once.
type pieces struct{ sizes []int }

func (p *pieces) Write(b []byte) (int, error) {
	if b[len(b)-1] != '\n' {
		return 0, io.ErrShortWrite
	}
	p.sizes = append(p.sizes, len(b))
	return len(b), nil
}

// Collectors of the output cut large writes: a batch is written in pieces that end at a line.
func TestLargeBatchesAreWrittenInPieces(t *testing.T) {
	var out pieces
	book := logbook.NewBook(&out)
	for n := range 100 {
		_, err := fmt.Fprintf(book, "{\"text\":%q}\n", strings.Repeat("x", 17*n))
		require.NoError(t, err)
	}
	_, err := fmt.Fprintf(book, "{\"text\":%q}\n", strings.Repeat("x", 5000))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, <-book.Run(ctx))
	longest := out.sizes[len(out.sizes)-1]
	require.Greater(t, longest, 5000, "a long line stays whole")
	require.Less(t, longest, 6000)
	for _, size := range out.sizes[:len(out.sizes)-1] {
		require.LessOrEqual(t, size, 3000)
	}
}
