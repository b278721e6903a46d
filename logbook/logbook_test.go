package logbook_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

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
		log.Info().Str("text", strings.Repeat("x", 100)).Send()
	}
	dropped := book.Dropped()
	require.NotZero(t, dropped)
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
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 300 {
		_, err := book.Write(line)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, <-book.Run(ctx))
	kept := strings.Count(out.String(), "x\n")
	require.Equal(t, uint64(300-kept), book.Dropped())
	require.Contains(t, out.String(), `"event":"lines-dropped"`)
}
