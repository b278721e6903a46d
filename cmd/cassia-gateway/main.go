// Command cassia-gateway runs one gateway, which serves callers on the users'
// platform.
package main

import (
	"cmp"
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute"
	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/logbook"
	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	gcPercent        = 200  // growth of the heap between collections, in percent
	memoryFraction   = 0.75 // share of the host's memory beyond which the garbage collector works harder
	mebibyte         = 1 << 20
	defaultMemoryMiB = 256                   // if the settings name no memory
	logFlushTimeout  = 50 * time.Millisecond // the process exits without its last log lines if nobody reads them
)

func main() {
	s := gateway.NewSettings()
	commonFlags := &program.CommonFlags{}
	server := program.Server{CommonFlags: commonFlags, Settings: &s, Check: s.Check, LogLevel: func() string { return s.LogLevel }}
	server.Serve = func(ctx context.Context, log zerolog.Logger) error {
		configureRuntime(&s)
		logWriter := logbook.NewWriter(os.Stdout)
		logCtx, stop := context.WithCancel(context.Background())
		logDone := logWriter.Run(logCtx)
		err := serve(ctx, s, commonFlags.Settings, cassiachute.WithLog(log.Output(logWriter)), cassiachute.WithDroppedLines(logWriter.Dropped))
		stop()
		select {
		case writeErr := <-logDone:
			return cmp.Or(err, writeErr)
		case <-time.After(logFlushTimeout):
			return err
		}
	}
	if proceed, code := program.Parse(commonFlags, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	os.Exit(server.Run())
}

// serve runs a gateway and reloads its settings file until ctx is cancelled.
func serve(ctx context.Context, s gateway.Settings, path string, options ...cassiachute.Option) error {
	g, err := cassiachute.NewGateway(s, options...)
	if err != nil {
		return err
	}
	reloadCtx, stop := context.WithCancel(context.Background())
	reloadDone := program.Reloader{
		Path: path,
		Apply: func(body []byte) error {
			next := gateway.NewSettings()
			if err := settings.Parse(body, &next); err != nil {
				return err
			}
			return g.Reload(next)
		},
		Report: g.LogReload,
	}.Run(reloadCtx)
	err = g.Run(ctx)
	stop()
	<-reloadDone
	return err
}

// configureRuntime sets the number of threads and the limits of the garbage collector
// from the host's cores and memory.
func configureRuntime(s *gateway.Settings) {
	runtime.GOMAXPROCS(max(1, int(s.Cores.Or(1))))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryFraction * s.Memory.Or(defaultMemoryMiB) * mebibyte))
}
