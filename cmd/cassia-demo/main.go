// Command cassia-demo runs a whole fleet in one process over loopback, sends load
// to it and prints the service that each team received.
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

// options holds the command-line flags.
type options struct {
	Seconds  int    `long:"seconds" default:"10" description:"duration of the load in seconds"`
	JSON     bool   `long:"json" description:"print the measurements as one line of JSON at the end"`
	Policy   string `long:"policy" default:"fair" description:"dispatch policy: fair, estimate, elapsed, fifo or robin"`
	Alone    bool   `long:"alone" description:"let each entry host dispatch independently of the others (baseline)"`
	LogLevel string `long:"level" default:"disabled" description:"lowest level of lines to log"`
}

// Step times of the stand-in engines, longer than the defaults, so that one machine
// can run all of them.
const (
	stepBase  = 8 * time.Millisecond   // of a step with an empty batch
	stepSlope = 300 * time.Microsecond // for each running request
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

// run starts the fleet, sends load to it and prints the result.
func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, err := program.NewLogger(os.Stderr, o.LogLevel)
	if err != nil {
		return err
	}
	config := fleet.NewConfig()
	config.Teams = fleet.DemoTeams()
	config.Policy, config.WithoutPeers, config.Log = o.Policy, o.Alone, log
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
