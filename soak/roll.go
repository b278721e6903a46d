package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxRollDelay           = 3 * time.Second // at most, before the next gateway is stopped
	maxSecondStopDelay     = 1500 * ms       // at most, after the start of a gateway that is stopped again
	secondStopReadyTimeout = 8 * time.Second // at most, for a gateway to be ready before that
)

// rollStep is the stop of one gateway of several in turn.
type rollStep struct {
	gateway         int
	delay           time.Duration // before the next one
	sequential      bool          // the next one waits until this one is back
	secondStopDelay time.Duration // after its start, before it is stopped again; 0 if it is not
}

// drawRollSteps draws in what way the gateways are stopped in turn. One of them is stopped again soon after
// its start.
func drawRollSteps(e ScheduledFault, gateways int) []rollStep {
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	var steps []rollStep
	for n := range gateways {
		steps = append(steps, rollStep{
			gateway: (e.Index + n) % gateways, delay: time.Duration(rng.Int64N(int64(maxRollDelay))), sequential: rng.IntN(2) == 0,
		})
	}
	steps[rng.IntN(gateways)].secondStopDelay = 1 + time.Duration(rng.Int64N(int64(maxSecondStopDelay)))
	return steps
}

// rollingRestart stops the gateways in turn, some before the one before is back.
func (f *fleet) rollingRestart(ctx context.Context, e ScheduledFault) error {
	steps := drawRollSteps(e, len(f.gateways))
	errs := make([]error, len(steps))
	var wg sync.WaitGroup
	for n, s := range steps {
		restarted := make(chan struct{})
		wg.Go(func() {
			defer close(restarted)
			errs[n] = f.runRollStep(ctx, s)
		})
		if s.sequential {
			<-restarted
		}
		sleep(ctx, s.delay)
	}
	wg.Wait()
	return errors.Join(errs...)
}

// runRollStep stops a gateway and starts it, and once more if it is to be stopped again.
func (f *fleet) runRollStep(ctx context.Context, s rollStep) error {
	g := f.gateways[s.gateway]
	if err := g.restart(); err != nil || s.secondStopDelay == 0 {
		return err
	}
	for deadline := time.Now().Add(secondStopReadyTimeout); !g.inRotation() && time.Now().Before(deadline); {
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	sleep(ctx, s.secondStopDelay)
	return g.restart()
}
