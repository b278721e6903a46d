// Command cassia-soak injects faults into gateways that run as processes, and checks
// after each run whether the gateways kept every rule that package soak defines.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/soak"
)

// options holds the command-line flags.
type options struct {
	program.VersionFlag

	Seed     uint64        `long:"seed" default:"1" description:"seed of the first run"`
	Seeds    int           `long:"seeds" default:"1" description:"number of runs; each uses the next seed"`
	Hosts    int           `long:"hosts" default:"3" description:"number of gateways"`
	Duration time.Duration `long:"for" default:"30s" description:"duration of a run"`
	Faults   string        `long:"faults" value-name:"A,B" description:"kinds of faults to inject; all if not given"`
	Program  string        `long:"program" value-name:"FILE" description:"gateway executable to test; built from source if not given"`
	Quiet    bool          `long:"quiet" description:"do not print the faults as they are injected"`
}

// errUnknownFault means that --faults names a kind of fault that does not exist.
var errUnknownFault = errors.New("unknown kind of fault")

// selectedFaults returns the kinds of faults that --faults names, or all kinds.
func (o *options) selectedFaults() ([]soak.FaultKind, error) {
	if o.Faults == "" {
		return soak.FaultKinds(), nil
	}
	var faults []soak.FaultKind
	for name := range strings.SplitSeq(o.Faults, ",") {
		if !slices.Contains(soak.FaultKinds(), soak.FaultKind(name)) {
			return nil, errors.Wrapf(errUnknownFault, "%q, of %v", name, soak.FaultKinds())
		}
		faults = append(faults, soak.FaultKind(name))
	}
	return faults, nil
}

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	failedRuns, err := runSeeds(ctx, &o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || failedRuns > 0 {
		os.Exit(program.ExitFailed)
	}
}

// runSeeds does one run for each seed and returns the number of runs that broke a rule.
func runSeeds(ctx context.Context, o *options) (int, error) {
	faults, err := o.selectedFaults()
	if err != nil {
		return 0, err
	}
	path := o.Program
	if path == "" {
		dir, err := os.MkdirTemp("", "cassia-soak-")
		if err != nil {
			return 0, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a leftover temporary directory is harmless
		if path, err = soak.Build(ctx, dir); err != nil {
			return 0, err
		}
	}
	progress := io.Writer(os.Stdout)
	if o.Quiet {
		progress = io.Discard
	}
	failedRuns := 0
	for n := range o.Seeds {
		plan := soak.NewPlan(o.Seed+uint64(n), o.Hosts, o.Duration, faults)
		fmt.Printf("seed %d: %d hosts, %v, %v, %d faults\n", plan.Seed, o.Hosts, o.Duration, faults, len(plan.Faults))
		r, err := soak.Run(ctx, plan, path, progress)
		if err != nil {
			return failedRuns, err
		}
		r.Print(os.Stdout)
		if r.BrokenRules() > 0 {
			failedRuns++
		}
	}
	if o.Seeds > 1 {
		fmt.Printf("%d seeds, %d broke a rule\n", o.Seeds, failedRuns)
	}
	return failedRuns, nil
}
