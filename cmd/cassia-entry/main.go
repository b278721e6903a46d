// Command cassia-entry runs one entry host, which accepts the requests of callers
// and sends them to targets.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/program"
)

func main() {
	s := entry.NewSettings()
	run := func(ctx context.Context, log zerolog.Logger) error {
		e, err := cassiachute.NewEntry(s, cassiachute.WithLog(log))
		if err != nil {
			return err
		}
		return e.Run(ctx)
	}
	server := program.Server{Settings: &s, Check: s.Check, LogLevel: func() string { return s.Level }, Serve: run}
	os.Exit(server.Main(os.Args[1:]))
}
