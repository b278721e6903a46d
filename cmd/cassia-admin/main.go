// Command cassia-admin serves the administration API.
package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute"
	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/program"
)

func main() {
	s := admin.NewSettings()
	serve := func(ctx context.Context, log zerolog.Logger) error {
		a, err := cassiachute.NewAdmin(s, cassiachute.WithLog(log))
		if err != nil {
			return err
		}
		return a.Run(ctx)
	}
	server := program.Server{Settings: &s, Check: s.Check, LogLevel: func() string { return s.LogLevel }, Serve: serve}
	os.Exit(server.Main(os.Args[1:]))
}
