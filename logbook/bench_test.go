package logbook_test

import (
	"context"
	"io"
	"testing"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/logbook"
)

// BenchmarkLine measures the writing of a line as long as that of an answered request.
func BenchmarkLine(b *testing.B) {
	w := logbook.NewWriter(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	done := w.Run(ctx)
	log := zerolog.New(w).With().Timestamp().Str("host", "host1").Logger()
	b.ReportAllocs()
	for n := range b.N {
		log.Info().Str("event", "answered").Str("request", "ede2eaa410b0dd3d").Str("team", "team1").
			Str("route", "route1").Str("service", "model").Str("target", "i-c1ca576a01").
			Int("sends", 1).Int("prompt", n).Int("unread", n).Int("queue", n).Float64("expected", 12.34).
			Float64("limit", 82.5).Float64("ahead", 41.7).Str("standing", "beyond").Float64("waited", 248.6).
			Uint64("revision", 7).Float64("age", 812.4).Int("status", 200).Str("reason", "").
			Float64("first", 231.5).Float64("took", 1830.2).Str("last", "76").Send()
	}
	cancel()
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}
