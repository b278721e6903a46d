package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	feedWait       = 700 * time.Millisecond // longest time that a feed of the configuration waits; its age is twice that at most
	sharedWait     = 500 * time.Millisecond // the same where other hosts rely on this one
	hostsEvery     = 10 * time.Second
	hostsFirst     = time.Second // between reads until another host is known
	hostsSeldom    = time.Minute // where others read the store
	storeRetry     = 200 * time.Millisecond
	seldomRetry    = time.Second            // of a host that does not read for others
	leastFeedPause = 200 * time.Millisecond // between two feeds of the list of targets, in which changes add up
	dutyEvery      = 100 * time.Millisecond // looks whether a host reads the store
	storeTimeout   = time.Second
	mostMisses     = 2 // feeds of the list of targets that fail in a row
)

// watcher reads the store and tells the core.
type watcher struct {
	gateway *Gateway
	client  *platform.Client
	version uint64                    // of the store, up to which the configuration was read
	listed  uint64                    // the same for the list of targets, 0 if it is to be read whole
	rows    map[string]wire.TargetRow // list of targets
	failed  bool                      // the last read of the list failed
	misses  int                       // feeds of the list that failed in a row
	up      map[string]bool
}

// every runs a step until the context ends. The step returns the time until the
// next.
func every(ctx context.Context, step func() time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
				timer.Reset(step())
			}
		}
	}()
	return done
}

// config reads the configuration, or waits for a change of it.
func (w *watcher) config() time.Duration {
	d := w.gateway.duty()
	if d == asker {
		return dutyEvery
	}
	asked := awake()
	page, err := w.page()
	if err != nil {
		if lostTrack(err) {
			w.version = 0
		}
		w.note("configuration", err)
		return retryOf(d)
	}
	w.note("configuration", nil)
	for _, row := range page.Rows {
		if row.Key == platform.KeyConfig && !row.Removed {
			w.gateway.takeConfig(row.Value)
		}
	}
	w.version = page.Version
	if w.gateway.core.view.Load() == nil {
		w.version = 0
		return storeRetry
	}
	w.gateway.core.confirm(asked)
	return 0
}

func (w *watcher) page() (platform.Page, error) {
	if w.version == 0 {
		return w.client.Scan(platform.TableOperator)
	}
	return w.client.Feed(platform.TableOperator, w.version, w.wait())
}

// note takes the result of a read of the store. One that failed as the host ended says nothing of the
// store.
func (w *watcher) note(part string, err error) {
	if err != nil && w.gateway.ctx.Err() != nil {
		return
	}
	w.gateway.record.store(part, err)
}

// wait returns how long a feed waits.
func (w *watcher) wait() time.Duration {
	if w.gateway.peers.count() >= smallFleet {
		return sharedWait
	}
	return feedWait
}

// targets reads the list of targets, or waits for a change of it.
func (w *watcher) targets() time.Duration {
	d := w.gateway.duty()
	if d == asker {
		w.listed = 0
		return dutyEvery
	}
	asked := awake()
	err := w.list()
	w.failed = err != nil
	w.note("targets", err)
	if errors.Is(err, platform.ErrExpired) {
		return retryOf(d)
	}
	if err != nil {
		w.gateway.failTargets()
		return retryOf(d)
	}
	rows := make([]wire.TargetRow, 0, len(w.rows))
	for _, row := range w.rows {
		rows = append(rows, row)
	}
	w.gateway.takeTargets(rows, asked, (*route.Listing).Read)
	return leastFeedPause
}

// list brings the list of targets up to date.
func (w *watcher) list() error {
	if w.listed == 0 {
		page, err := w.client.Scan(platform.TableTargets)
		if err != nil {
			return err
		}
		w.rows = make(map[string]wire.TargetRow, len(page.Rows))
		w.apply(page)
		return nil
	}
	page, err := w.client.Feed(platform.TableTargets, w.listed, w.listWait())
	if err != nil {
		w.missed(err)
		return err
	}
	w.misses = 0
	w.apply(page)
	return nil
}

// lostTrack returns whether a feed can't go on from where it was: the store has forgotten what
// changed since, or tells it in a way that can't be read. Then the rows are read whole.
func lostTrack(err error) bool {
	return errors.Is(err, platform.ErrExpired) || errors.Is(err, platform.ErrInvalidAnswer)
}

// missed takes a feed of the list of targets that failed. One that fails time after time may tell
// more at once than arrives in its time: the list is read whole then, page by page.
func (w *watcher) missed(err error) {
	if !errors.Is(err, platform.ErrBusy) {
		w.misses++
	}
	if lostTrack(err) || w.misses >= mostMisses {
		w.listed, w.misses = 0, 0
	}
}

// listWait returns how long a feed of the list of targets waits. The first one after a failure
// does not, since the time in which entries that lapsed may come back counts from its end.
func (w *watcher) listWait() time.Duration {
	if w.failed {
		return 0
	}
	return w.wait()
}

// apply takes rows of the list of targets that changed.
func (w *watcher) apply(page platform.Page) {
	w.listed = page.Version
	for _, row := range page.Rows {
		if row.Removed {
			delete(w.rows, row.Key)
			continue
		}
		w.rows[row.Key] = wire.TargetRow{Key: row.Key, Value: row.Value}
	}
}

// hosts writes the row of this host and reads those of the others.
func (w *watcher) hosts() time.Duration {
	if !w.up["hosts"] {
		err := w.client.PutHost(platform.Host{Address: w.gateway.settings.Peer, Place: w.gateway.settings.Place})
		w.note("hosts", err)
		if err != nil {
			return storeRetry
		}
		w.up["hosts"] = true
	}
	list, err := w.client.Hosts()
	w.note("hosts", err)
	if err != nil {
		return storeRetry
	}
	for _, h := range list {
		w.gateway.peers.meet(h.Address, time.Now())
	}
	switch {
	case w.gateway.peers.count() == 0:
		return hostsFirst
	case w.gateway.duty() == reader:
		return hostsEvery
	}
	return hostsSeldom
}

// retryOf returns the time until a read of the store that failed is tried again.
func retryOf(d duty) time.Duration {
	if d == reader {
		return storeRetry
	}
	return seldomRetry
}
