package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	rollGap   = 3 * time.Second // at most, before the next gateway is stopped
	rollAgain = 1500 * ms       // at most, after the start of a gateway that is stopped again
	rollReady = 8 * time.Second // at most, for a gateway to be ready before that
)

// step is the stop of one gateway of several in turn.
type step struct {
	who    int
	gap    time.Duration // before the next one
	series bool          // the next one waits until this one is back
	again  time.Duration // after its start, before it is stopped again; 0 if it is not
}

// steps draws in what way the gateways are stopped in turn. One of them is stopped again soon after
// its start.
func steps(e Event, gateways int) []step {
	rng := rand.New(rand.NewPCG(e.Draw, 1))
	var all []step
	for n := range gateways {
		all = append(all, step{
			who: (e.Who + n) % gateways, gap: time.Duration(rng.Int64N(int64(rollGap))), series: rng.IntN(2) == 0,
		})
	}
	all[rng.IntN(gateways)].again = 1 + time.Duration(rng.Int64N(int64(rollAgain)))
	return all
}

// roll stops the gateways in turn, some before the one before is back.
func (f *fleet) roll(ctx context.Context, e Event) error {
	all := steps(e, len(f.gateways))
	errs := make([]error, len(all))
	var open sync.WaitGroup
	for n, s := range all {
		back := make(chan struct{})
		open.Go(func() {
			defer close(back)
			errs[n] = f.step(ctx, s)
		})
		if s.series {
			<-back
		}
		sleep(ctx, s.gap)
	}
	open.Wait()
	return errors.Join(errs...)
}

// step stops a gateway and starts it, and once more if it is to be stopped again.
func (f *fleet) step(ctx context.Context, s step) error {
	g := f.gateways[s.who]
	if err := g.restart(); err != nil || s.again == 0 {
		return err
	}
	for end := time.Now().Add(rollReady); !g.inRotation() && time.Now().Before(end); {
		if !sleep(ctx, poll) {
			return ctx.Err()
		}
	}
	sleep(ctx, s.again)
	return g.restart()
}
