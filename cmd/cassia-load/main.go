// Command cassia-load sends load from a JSON plan and prints the measurements.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cassiachute/cassiachute/experiment"
	"github.com/cassiachute/cassiachute/load"
	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

// options holds the command-line flags.
type options struct {
	program.VersionFlag

	Plan    string   `long:"plan" value-name:"FILE" description:"plan of the load (JSON)"`
	Measure string   `long:"measure" choice:"latency" choice:"change" choice:"memory" description:"start a fleet in this process and measure the latency that it adds, the time until a configuration change takes effect, or the memory of open requests"`
	Plot    string   `long:"plot" value-name:"DIRECTORY" description:"write plots of the runs in the files named by --run"`
	Runs    []string `long:"run" value-name:"NAME=FILE" description:"output file of a run to plot; its last line holds the measurements as JSON"`
	Check   bool     `long:"check" description:"check the plan and exit"`
	JSON    bool     `long:"json" description:"print the measurements as one line of JSON at the end"`
}

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	if o.Measure != "" || o.Plot != "" {
		if err := runWithoutPlan(o); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(program.ExitFailed)
		}
		return
	}
	var plan load.Plan
	err := settings.Load(o.Plan, &plan)
	if err == nil {
		err = plan.Check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(program.ExitInvalid)
	}
	if o.Check {
		fmt.Println("the plan is in order")
		return
	}
	if err := run(plan, o.JSON); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(program.ExitFailed)
	}
}

// runWithoutPlan runs a measurement of --measure, or plots runs for --plot. Neither
// needs a plan.
func runWithoutPlan(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch o.Measure {
	case "latency":
		return experiment.AddedLatency(ctx, os.Stdout)
	case "memory":
		return experiment.RequestMemory(ctx, os.Stdout)
	case "change":
		return experiment.ConfigurationDelay(ctx, os.Stdout)
	default:
		return plotRuns(o)
	}
}

// plotRuns reads the measurements of the runs that --run names and plots them.
func plotRuns(o options) error {
	var runs []experiment.Run
	for _, argument := range o.Runs {
		name, path, _ := strings.Cut(argument, "=")
		body, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines := strings.Split(strings.TrimSpace(string(body)), "\n")
		var m load.Report
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &m); err != nil {
			return err
		}
		runs = append(runs, experiment.Run{Name: name, Report: &m})
	}
	return experiment.PlotRuns(o.Plot, runs)
}

// run sends the load of a plan and prints the measurements.
func run(plan load.Plan, asJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return load.Execute(ctx, plan, asJSON, os.Stdout, os.Stderr)
}
