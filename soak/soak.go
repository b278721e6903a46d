// Package soak injects faults into a fleet of gateways that run as processes, and checks rules on what
// callers and targets observed. A seed determines everything that is drawn at random.
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
	callersPerGateway    = 20
	startTimeout         = 30 * time.Second
	gatewayPackage       = "github.com/cassiachute/cassiachute/cmd/cassia-gateway"
	maxPrintedViolations = 5 // for each rule
)

// Build builds the gateway in dir and returns the path of the program.
func Build(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "cassia-gateway")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", path, gatewayPackage).CombinedOutput()
	return path, errors.Wrap(err, string(out))
}

// Verdict is the outcome of a rule.
type Verdict struct {
	Rule       string
	Violations []string // one line each
}

// Report is the outcome of a run.
type Report struct {
	Plan       Plan
	Verdicts   []Verdict
	Requests   int
	Served     int    // requests with a complete answer with status 200
	Refused    int    // requests with a complete answer with status 503 or 429
	Incomplete int    // requests without a complete answer, including excused ones
	Excused    int    // requests that failed or have no complete answer for an accepted reason
	Stops      int    // planned stops of processes
	Killed     int    // processes of these that were still running at the end of the grace period
	Stalls     int    // stalls of the soak process; requests at those moments are excused
	Dir        string // folder with the logs
}

// BrokenRules returns the number of rules that were violated.
func (r *Report) BrokenRules() int {
	count := 0
	for _, v := range r.Verdicts {
		if len(v.Violations) > 0 {
			count++
		}
	}
	return count
}

// Print writes a summary of the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d faults, %d requests, %d served, %d refused, %d not whole, %d excused, held up %d times\n",
		r.Plan.Seed, len(r.Plan.Faults), r.Requests, r.Served, r.Refused, r.Incomplete, r.Excused, r.Stalls)
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
	if r.BrokenRules() > 0 {
		fmt.Fprintf(w, "  logs: %s\n", r.Dir)
	}
}

// Run runs a plan against the gateway program at path and writes each fault to progress when it is injected.
// If a rule was violated, the logs are kept.
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
	if r.BrokenRules() > 0 {
		return r, f.writeReport(r)
	}
	return r, os.RemoveAll(dir)
}

// writeReport writes the faults of the plan and all violations to a file next to the logs.
func (f *fleet) writeReport(r *Report) error {
	var out strings.Builder
	for _, e := range r.Plan.Faults {
		fmt.Fprintln(&out, e)
	}
	for _, v := range r.Verdicts {
		for _, line := range v.Violations {
			fmt.Fprintln(&out, v.Rule, line)
		}
	}
	return os.WriteFile(filepath.Join(r.Dir, "report.txt"), []byte(out.String()), 0o600)
}

// evaluate checks the rules and counts the outcomes of the requests.
func evaluate(p Plan, v *View) *Report {
	v.buildIndex()
	r := &Report{Plan: p, Requests: len(v.Requests), Stalls: len(v.StallSpans)}
	for _, s := range v.Requests {
		if (!s.Complete || s.Status >= 500 && s.Status != 503) && v.excused(&s) {
			r.Excused++
		}
		switch {
		case !s.Complete:
			r.Incomplete++
		case s.Status == 503 || s.Status == 429:
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

// runPlan starts the gateways and callers, injects the faults and waits until all callers have finished.
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
	for _, e := range f.plan.Faults {
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

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
