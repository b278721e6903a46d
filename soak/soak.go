// Package soak plays faults against gateways that run as processes, and judges from what
// callers and targets saw alone. A seed decides all that is drawn.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callersPerGateway    = 20 // of a gateway
	startTimeout         = 30 * time.Second
	gatewayPackage       = "github.com/cassiachute/cassiachute/cmd/cassia-gateway"
	maxPrintedViolations = 5 // of the cases of a rule
)

// Build builds the gateway in a folder and returns its path.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "cassia-gateway")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, gatewayPackage).CombinedOutput()
	return path, errors.Wrap(err, string(out))
}

// Verdict is how a rule was kept.
type Verdict struct {
	Rule       string
	Violations []string // that broke it
}

// Report is the outcome of a run.
type Report struct {
	Plan       Plan
	Verdicts   []Verdict
	Requests   int
	Served     int // whole answers with a success
	Refused    int
	Incomplete int // answers that are not whole, excused ones too
	Excused    int // not whole or failed, and not judged as that
	Stops      int // planned ends of processes
	Killed     int // of these, processes that were still there at the end of their grace
	Stalls     int // times that the machine held the soak up; requests of these moments are excused
	Dir        string
}

// Broken returns how many rules were broken.
func (r *Report) Broken() int {
	count := 0
	for _, v := range r.Verdicts {
		if len(v.Violations) > 0 {
			count++
		}
	}
	return count
}

// Print writes the outcome.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d faults, %d requests, %d served, %d refused, %d not whole, %d excused, held up %d times\n",
		r.Plan.Seed, len(r.Plan.Events), r.Requests, r.Served, r.Refused, r.Incomplete, r.Excused, r.Stalls)
	fmt.Fprintf(w, "  faults %v, %d processes told to stop, %d killed\n", r.Plan.faultCounts(), r.Stops, r.Killed)
	for _, v := range r.Verdicts {
		outcome := "kept"
		if len(v.Violations) > 0 {
			outcome = fmt.Sprintf("BROKEN %d times", len(v.Violations))
		}
		fmt.Fprintf(w, "  %-8s %s\n", v.Rule, outcome)
		for _, line := range v.Violations[:min(maxPrintedViolations, len(v.Violations))] {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	if r.Broken() > 0 {
		fmt.Fprintf(w, "  logs: %s\n", r.Dir)
	}
}

// Run plays a plan against a program and tells the faults as they are played. The logs of a
// run that broke a rule are kept.
func Run(ctx context.Context, p Plan, path string, progress io.Writer) (*Report, error) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("cassia-soak-%d-", p.Seed))
	if err != nil {
		return nil, err
	}
	f := newFleet(p, progress)
	if err = f.startStandIns(ctx, path, dir); err == nil {
		err = f.runPlan(ctx)
	}
	f.stop()
	if err != nil {
		return nil, errors.Wrapf(err, "logs in %s", dir)
	}
	r := evaluate(p, f.view())
	r.Dir = dir
	if r.Broken() > 0 {
		return r, f.writeReport(r)
	}
	return r, os.RemoveAll(dir)
}

// writeReport writes the plan and all cases beside the logs.
func (f *fleet) writeReport(r *Report) error {
	var out strings.Builder
	for _, e := range r.Plan.Events {
		fmt.Fprintln(&out, e)
	}
	for _, v := range r.Verdicts {
		for _, line := range v.Violations {
			fmt.Fprintln(&out, v.Rule, line)
		}
	}
	return os.WriteFile(filepath.Join(r.Dir, "report.txt"), []byte(out.String()), 0o600)
}

// evaluate judges what was seen.
func evaluate(p Plan, v *View) *Report {
	v.buildIndex()
	r := &Report{Plan: p, Requests: len(v.Requests), Stalls: v.Stalls}
	for _, s := range v.Requests {
		if (!s.Complete || s.Status >= 500 && s.Status != 503) && v.excused(&s) {
			r.Excused++
		}
		switch {
		case !s.Complete:
			r.Incomplete++
		case s.Status == 503:
			r.Refused++
		case s.Status == 200:
			r.Served++
		}
	}
	for _, stops := range v.Stops {
		for _, s := range stops {
			r.Stops++
			if s.Killed {
				r.Killed++
			}
		}
	}
	counts := p.faultCounts()
	for _, rule := range Rules {
		if rule.RequiredFault == "" || counts[rule.RequiredFault] > 0 {
			r.Verdicts = append(r.Verdicts, Verdict{Rule: rule.Name, Violations: rule.Violations(v)})
		}
	}
	return r
}

// runPlan starts the gateways and callers, plays the faults and waits until all is over.
func (f *fleet) runPlan(ctx context.Context) error {
	if err := f.startGateways(ctx); err != nil {
		return err
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	done := []<-chan struct{}{f.watchStalls(callerCtx)}
	for _, g := range f.gateways {
		done = append(done, g.pollReadiness(callerCtx, readinessInterval))
	}
	for _, c := range newCallers(f) {
		done = append(done, c.run(callerCtx))
	}
	began := time.Now()
	var wg sync.WaitGroup
	for _, e := range f.plan.Events {
		if !sleep(ctx, time.Until(began.Add(e.At))) {
			break
		}
		fmt.Fprintln(f.progress, e)
		wg.Go(func() { f.inject(ctx, e) })
	}
	sleep(ctx, time.Until(began.Add(f.plan.Duration)))
	wg.Wait()
	stopCallers()
	for _, end := range done {
		<-end
	}
	return ctx.Err()
}

// sleep waits and returns false if the context ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
