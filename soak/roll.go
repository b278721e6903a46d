package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxRollDelay           = 3 * time.Second // before the next gateway is stopped
	maxSecondStopDelay     = 1500 * ms       // between the start of a gateway and its second stop
	secondStopReadyTimeout = 8 * time.Second // longest wait for the gateway to be ready before its second stop
)

// rollStep is the restart of one gateway in a rolling restart.
type rollStep struct {
	gateway         int           // index of the gateway
	delay           time.Duration // before the next step
	sequential      bool          // the next step waits until this gateway has restarted
	secondStopDelay time.Duration // from the restart until the second stop; 0 if there is none
}

// drawRollSteps draws the steps of a rolling restart. One of the gateways is stopped again soon after its
// restart.
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

// rollingRestart restarts all gateways. Some restarts begin before the previous one has finished.
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

// runRollStep restarts a gateway. If the step has a second stop, it waits until the gateway is ready, at most
// for secondStopReadyTimeout, and restarts it again.
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
