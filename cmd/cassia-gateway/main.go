// Command cassia-gateway serves callers on the users' platform.
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
	heapGrowth    = 200  // percent between collections
	memoryPart    = 0.75 // of the limit that the heap may use before it is collected harder
	mebibyte      = 1 << 20
	defaultMemory = 256                   // MiB
	flushTime     = 50 * time.Millisecond // for the last lines of the log, if nobody reads it
)

func main() {
	s := gateway.NewSettings()
	common := &program.Common{}
	server := program.Server{Common: common, Load: &s, Check: s.Check, Level: func() string { return s.LogLevel }}
	server.Serve = func(ctx context.Context, log zerolog.Logger) error {
		limit(&s)
		book := logbook.NewBook(os.Stdout)
		writing, stop := context.WithCancel(context.Background())
		written := book.Run(writing)
		err := serve(ctx, s, common.Settings, cassiachute.WithLog(log.Output(book)), cassiachute.WithDropped(book.Dropped))
		stop()
		select {
		case writeErr := <-written:
			return cmp.Or(err, writeErr)
		case <-time.After(flushTime):
			return err
		}
	}
	if proceed, code := program.Parse(common, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	os.Exit(server.Run())
}

// serve runs a gateway and reloads its settings file until the context ends.
func serve(ctx context.Context, s gateway.Settings, path string, options ...cassiachute.Option) error {
	g, err := cassiachute.NewGateway(s, options...)
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(context.Background())
	reloading := program.Reload{
		Path: path,
		Apply: func(body []byte) error {
			next := gateway.NewSettings()
			if err := settings.Parse(body, &next); err != nil {
				return err
			}
			return g.Reload(next)
		},
		Done: g.LogReload,
	}.Run(watching)
	err = g.Run(ctx)
	stop()
	<-reloading
	return err
}

// limit fits the runtime to the host.
func limit(s *gateway.Settings) {
	runtime.GOMAXPROCS(max(1, int(s.Cores.Or(1))))
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryPart * s.Memory.Or(defaultMemory) * mebibyte))
}
