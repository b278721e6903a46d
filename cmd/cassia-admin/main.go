// Command cassia-admin is the administration API.
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
	var common program.Common
	if proceed, code := program.Parse(&common, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	s := admin.NewSettings()
	os.Exit(program.Server{
		Common: &common,
		Load:   &s,
		Check:  s.Check,
		Level:  func() string { return s.Level },
		Serve: func(ctx context.Context, log zerolog.Logger) error {
			a, err := cassiachute.NewAdmin(s, cassiachute.WithLog(log))
			if err != nil {
				return err
			}
			return a.Run(ctx)
		},
	}.Run())
}
