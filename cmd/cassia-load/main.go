// Command cassia-load sends load from a JSON plan and prints the measures.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cassiachute/cassiachute/load"
	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

// options are the flags.
type options struct {
	Plan    string `long:"plan" required:"yes" value-name:"FILE" description:"plan of the load (JSON)"`
	Check   bool   `long:"check" description:"check the plan and exit"`
	JSON    bool   `long:"json" description:"print the measures as one line of JSON at the end"`
	Version bool   `long:"version" description:"print the version and exit"`
}

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	if o.Version {
		fmt.Println(program.Version())
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

func run(plan load.Plan, asJSON bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	r, err := load.New(plan)
	if err != nil {
		return err
	}
	m, err := r.Do(ctx, func(p load.Progress) {
		fmt.Fprintf(os.Stderr, "%3.0f s  sent %d  answered %d  refused %d\n",
			p.Elapsed.Seconds(), p.Sent, p.Answered, p.Refused)
	})
	if err != nil {
		return err
	}
	m.WriteText(os.Stdout)
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(m)
	}
	return nil
}
