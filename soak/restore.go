package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	maxCopyAge         = 5 * time.Second // of the copy from which the store comes back
	maxRouteChanges    = 3               // while the copy ages; the store loses them
	secondRestoreShare = 5               // one in so many restores is followed by another one from the same copy
	maxSecondRestore   = 1500 * ms       // time until then
	maxOtherRows       = 30              // written before and after a restore, so that versions pass those that were lost
	maxOperatorRewrite = time.Second     // until the operator writes again what was lost
	maxTargetRewrite   = 2 * time.Second // until a target writes its entry again
	otherTable         = "other"         // a table that no gateway reads
)

// restoreStore has the store go away for the time of the fault and come back from an older copy. It does nothing during
// another restore.
func (f *fleet) restoreStore(ctx context.Context, e ScheduledFault) error {
	if !f.restoreMu.TryLock() {
		return nil
	}
	defer f.restoreMu.Unlock()
	rng := rand.New(rand.NewPCG(e.Seed, 1))
	kept := f.store.Copy()
	f.writeOtherRows(rng.IntN(maxOtherRows))
	if err := f.changeRoutes(ctx, rng); err != nil {
		return err
	}
	var rewrites sync.WaitGroup
	defer rewrites.Wait()
	err := f.replaceStore(ctx, kept, e.Duration, rng, &rewrites)
	if rng.IntN(secondRestoreShare) == 0 {
		sleep(ctx, drawDuration(rng, maxSecondRestore))
		err = errors.CombineErrors(err, f.replaceStore(ctx, kept, e.Duration, rng, &rewrites))
	}
	return err
}

// changeRoutes publishes a number of changes of routes at random moments while a copy of the store ages.
func (f *fleet) changeRoutes(ctx context.Context, rng *rand.Rand) error {
	count := rng.IntN(maxRouteChanges + 1)
	age := drawDuration(rng, maxCopyAge)
	for range count {
		wait := drawDuration(rng, age/time.Duration(count))
		age -= wait
		sleep(ctx, wait)
		if err := f.changeRoute(rng); err != nil {
			return err
		}
	}
	sleep(ctx, age)
	return nil
}

// replaceStore has the store go away and come back from a copy. What the copy lacks is written again, each row after a
// delay of its own. In half of the cases a new configuration, some of the lost rows and others are written at once, most
// often before a gateway reads again.
func (f *fleet) replaceStore(ctx context.Context, kept standin.Copy, away time.Duration, rng *rand.Rand, rewrites *sync.WaitGroup) error {
	f.store.SetFaults(standin.Faults{Down: true})
	from := time.Now()
	sleep(ctx, away)
	f.store.Restore(kept)
	f.store.SetFaults(standin.Faults{})
	f.configMu.Lock()
	f.storeOutages = append(f.storeOutages, TimeSpan{From: from, To: time.Now()})
	f.configMu.Unlock()
	lost := f.writer.LostRows()
	early := rng.IntN(2) == 0
	for _, row := range lost {
		limit := maxTargetRewrite
		if row.Table == platform.TableOperator {
			limit = maxOperatorRewrite
		}
		delay, first := drawDuration(rng, limit), rng.IntN(2) == 0
		if early && first {
			f.writer.WriteAgain(row)
			continue
		}
		rewrites.Go(func() {
			sleep(ctx, delay)
			f.writer.WriteAgain(row)
		})
	}
	if !early {
		return nil
	}
	err := f.changeRoute(rng)
	f.writeOtherRows(rng.IntN(maxOtherRows))
	return err
}

// changeRoute publishes a configuration with one route more or less.
func (f *fleet) changeRoute(rng *rand.Rand) error {
	draw := rng.Uint64()
	return f.publish(func(d operator.Config) operator.Config { return d.NextRoutes(draw) })
}

// writeOtherRows writes rows to a table that no gateway reads. They count as versions of the store.
func (f *fleet) writeOtherRows(count int) {
	for n := range count {
		f.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: otherTable, Key: fmt.Sprint(n)}}})
	}
}

// drawDuration draws a duration from 0 to a limit.
func drawDuration(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

// Publication is a configuration that the operator has published.
type Publication struct {
	operator.Config

	SentAt  time.Time
	AckedAt time.Time // when the store had accepted it
}

// publish publishes the configuration that a function derives from the present one, as soon as the store is there.
func (f *fleet) publish(next func(operator.Config) operator.Config) error {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.configMu.Lock()
	config := next(f.config)
	f.configMu.Unlock()
	sentAt := time.Now()
	if err := operator.Publish(f.writer, config); err != nil {
		return err
	}
	f.configMu.Lock()
	defer f.configMu.Unlock()
	f.config = config
	f.publications = append(f.publications, Publication{config, sentAt, time.Now()})
	return nil
}

const probedVersions = 4 // newest configurations from which a probe takes its route and its key

// probe changes a drawn request to a lookup on a route, and with a key, that recent configurations may have added or
// dropped.
func (c *caller) probe(s *SentRequest) {
	c.fleet.configMu.Lock()
	defer c.fleet.configMu.Unlock()
	s.Kind, s.ExpectedEvents = RequestLookup, 0
	routes := c.drawPublication().Routes
	route := routes[0]
	if last := routes[len(routes)-1]; last.Kind == operator.KindLookup && c.rng.IntN(3) > 0 {
		route = last
	}
	s.Path = route.Prefix + c.name
	teams := c.drawPublication().Teams
	keys := teams[c.rng.IntN(len(teams))].Keys
	s.Key = keys[c.rng.IntN(len(keys))]
}

// drawPublication draws one of the newest configurations. The caller holds configMu of the fleet.
func (c *caller) drawPublication() Publication {
	newest := c.fleet.publications
	newest = newest[max(0, len(newest)-probedVersions):]
	return newest[c.rng.IntN(len(newest))]
}
