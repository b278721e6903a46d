// Command cassia-demo runs the whole path in one process over loopback and
// prints what each team got.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cassiachute/cassiachute/fleet"
	"github.com/cassiachute/cassiachute/load"
	"github.com/cassiachute/cassiachute/program"
)

// options are the flags.
type options struct {
	Seconds int    `long:"seconds" default:"10" description:"time of the load"`
	JSON    bool   `long:"json" description:"print the measures as one line of JSON at the end"`
	Policy  string `long:"policy" default:"fair" description:"dispatch policy: fair, estimate, elapsed, fifo or robin"`
	Alone   bool   `long:"alone" description:"let each entry host dispatch on its own (baseline)"`
	Level   string `long:"level" default:"disabled" description:"least level of log lines"`
}

// stepTime slows the engines so that one machine carries them all.
const (
	stepBase  = 8 * time.Millisecond
	stepSlope = 300 * time.Microsecond
)

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(program.ExitFailed)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := program.NewLog(os.Stderr, o.Level)
	if err != nil {
		return err
	}
	config := fleet.NewConfig()
	config.Teams = fleet.DemoTeams()
	config.Policy, config.Alone, config.Log = o.Policy, o.Alone, log
	config.Engine.Base, config.Engine.Slope = stepBase, stepSlope
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return err
	}
	defer f.Stop()
	fmt.Printf("%d entry hosts in %d places, %d targets, policy %s\n",
		len(f.Entries), config.Places, len(f.Targets), o.Policy)
	return load.Execute(ctx, f.Plan(time.Duration(o.Seconds)*time.Second), o.JSON, os.Stdout, os.Stderr)
}
