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
	maxFeedWait       = 700 * time.Millisecond // longest time that a feed of the configuration waits; its age is twice that at most
	sharedFeedWait     = 500 * time.Millisecond // the same where other hosts rely on this one
	hostsInterval     = 10 * time.Second
	hostsIntervalAlone     = time.Second // between reads until another host is known
	hostsIntervalIndirect    = time.Minute // where others read the store
	storeRetryDelay     = 200 * time.Millisecond
	indirectRetryDelay    = time.Second            // of a host that does not read for others
	minFeedInterval = 200 * time.Millisecond // between two feeds of the list of targets, in which changes add up
	roleCheckInterval      = 100 * time.Millisecond // looks whether a host reads the store
	storeTimeout   = time.Second
	maxFeedFailures     = 2 // feeds of the list of targets that fail in a row
)

// watcher reads the store and tells the core.
type watcher struct {
	gateway *Gateway
	client  *platform.Client
	configVersion uint64                    // of the store, up to which the configuration was read
	targetsVersion  uint64                    // the same for the list of targets, 0 if it is to be read whole
	rows    map[string]wire.TargetRow // list of targets
	targetsFailed  bool                      // the last read of the list failed
	feedFailures  int                       // feeds of the list that failed in a row
	registered      map[string]bool
}

// runLoop runs a step until the context ends. The step returns the time until the
// next.
func runLoop(ctx context.Context, step func() time.Duration) <-chan struct{} {
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

// pollConfig reads the configuration, or waits for a change of it.
func (w *watcher) pollConfig() time.Duration {
	d := w.gateway.duty()
	if d == asker {
		return roleCheckInterval
	}
	asked := awake()
	page, err := w.readConfig()
	if err != nil {
		if needsFullRead(err) {
			w.configVersion = 0
		}
		w.recordRead("configuration", err)
		return retryDelay(d)
	}
	w.recordRead("configuration", nil)
	for _, row := range page.Rows {
		if row.Key == platform.KeyConfig && !row.Removed {
			w.gateway.takeConfig(row.Value)
		}
	}
	w.configVersion = page.Version
	if w.gateway.core.view.Load() == nil {
		w.configVersion = 0
		return storeRetryDelay
	}
	w.gateway.core.confirm(asked)
	return 0
}

func (w *watcher) readConfig() (platform.Page, error) {
	if w.configVersion == 0 {
		return w.client.Scan(platform.TableOperator)
	}
	return w.client.Feed(platform.TableOperator, w.configVersion, w.feedWait())
}

// recordRead takes the result of a read of the store. One that failed as the host ended says nothing of the
// store.
func (w *watcher) recordRead(part string, err error) {
	if err != nil && w.gateway.ctx.Err() != nil {
		return
	}
	w.gateway.record.store(part, err)
}

// feedWait returns how long a feed waits.
func (w *watcher) feedWait() time.Duration {
	if w.gateway.peers.count() >= smallFleet {
		return sharedFeedWait
	}
	return maxFeedWait
}

// pollTargets reads the list of pollTargets, or waits for a change of it.
func (w *watcher) pollTargets() time.Duration {
	d := w.gateway.duty()
	if d == asker {
		w.targetsVersion = 0
		return roleCheckInterval
	}
	asked := awake()
	err := w.refreshTargets()
	w.targetsFailed = err != nil
	w.recordRead("targets", err)
	if errors.Is(err, platform.ErrExpired) {
		return retryDelay(d)
	}
	if err != nil {
		w.gateway.noteTargetsFailure()
		return retryDelay(d)
	}
	rows := make([]wire.TargetRow, 0, len(w.rows))
	for _, row := range w.rows {
		rows = append(rows, row)
	}
	w.gateway.updateTargets(rows, asked, (*route.Listing).Read)
	return minFeedInterval
}

// refreshTargets brings the refreshTargets of targets up to date.
func (w *watcher) refreshTargets() error {
	if w.targetsVersion == 0 {
		page, err := w.client.Scan(platform.TableTargets)
		if err != nil {
			return err
		}
		w.rows = make(map[string]wire.TargetRow, len(page.Rows))
		w.applyTargetRows(page)
		return nil
	}
	page, err := w.client.Feed(platform.TableTargets, w.targetsVersion, w.targetsFeedWait())
	if err != nil {
		w.noteFeedFailure(err)
		return err
	}
	w.feedFailures = 0
	w.applyTargetRows(page)
	return nil
}

// needsFullRead returns whether a feed can't go on from where it was: the store has forgotten what
// changed since, or tells it in a way that can't be read. Then the rows are read whole.
func needsFullRead(err error) bool {
	return errors.Is(err, platform.ErrExpired) || errors.Is(err, platform.ErrAnswer)
}

// noteFeedFailure takes a feed of the list of targets that failed. One that fails time after time may tell
// more at once than arrives in its time: the list is read whole then, page by page.
func (w *watcher) noteFeedFailure(err error) {
	if !errors.Is(err, platform.ErrBusy) {
		w.feedFailures++
	}
	if needsFullRead(err) || w.feedFailures >= maxFeedFailures {
		w.targetsVersion, w.feedFailures = 0, 0
	}
}

// targetsFeedWait returns how long a feed of the list of targets waits. The first one after a failure
// does not, since the time in which entries that lapsed may come back counts from its end.
func (w *watcher) targetsFeedWait() time.Duration {
	if w.targetsFailed {
		return 0
	}
	return w.feedWait()
}

// applyTargetRows takes rows of the list of targets that changed.
func (w *watcher) applyTargetRows(page platform.Page) {
	w.targetsVersion = page.Version
	for _, row := range page.Rows {
		if row.Removed {
			delete(w.rows, row.Key)
			continue
		}
		w.rows[row.Key] = wire.TargetRow{Key: row.Key, Value: row.Value}
	}
}

// pollHosts writes the row of this host and reads those of the others.
func (w *watcher) pollHosts() time.Duration {
	if !w.registered["hosts"] {
		err := w.client.PutHost(platform.Host{Address: w.gateway.settings.Peer, Place: w.gateway.settings.Place})
		w.recordRead("hosts", err)
		if err != nil {
			return storeRetryDelay
		}
		w.registered["hosts"] = true
	}
	list, err := w.client.Hosts()
	w.recordRead("hosts", err)
	if err != nil {
		return storeRetryDelay
	}
	for _, h := range list {
		w.gateway.peers.meet(h.Address, time.Now())
	}
	switch {
	case w.gateway.peers.count() == 0:
		return hostsIntervalAlone
	case w.gateway.duty() == reader:
		return hostsInterval
	}
	return hostsIntervalIndirect
}

// retryDelay returns the time until a read of the store that failed is tried again.
func retryDelay(d duty) time.Duration {
	if d == reader {
		return storeRetryDelay
	}
	return indirectRetryDelay
}
