// Command cassia-gateway serves callers on the users' platform.
package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute"
	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/logbook"
	"github.com/cassiachute/cassiachute/program"
)

const (
	heapGrowth    = 200  // percent between collections
	memoryPart    = 0.75 // of the limit that the heap may use before it is collected harder
	mebibyte      = 1 << 20
	defaultMemory = 256 // MiB
)

func main() {
	s := gateway.NewSettings()
	run := func(ctx context.Context, log zerolog.Logger) error {
		limit(&s)
		book := logbook.NewBook(os.Stdout)
		writing, stop := context.WithCancel(context.Background())
		written := book.Run(writing)
		g, err := cassiachute.NewGateway(s, cassiachute.WithLog(log.Output(book)))
		if err == nil {
			err = g.Run(ctx)
		}
		stop()
		if writeErr := <-written; writeErr != nil && err == nil {
			return writeErr
		}
		return err
	}
	server := program.Server{Load: &s, Check: s.Check, Level: func() string { return s.Level }, Serve: run}
	os.Exit(server.Main(os.Args[1:]))
}

// limit fits the runtime to the host.
func limit(s *gateway.Settings) {
	runtime.GOMAXPROCS(max(1, int(s.Cores.Or(1))))
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(memoryPart * s.Memory.Or(defaultMemory) * mebibyte))
}
