package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/history"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	maxFeedWait           = 700 * time.Millisecond  // longest wait of a feed for a change; the age of the configuration is at most twice that
	sharedFeedWait        = 500 * time.Millisecond  // the same where other hosts get their data from this one
	hostsInterval         = 10 * time.Second        // between reads of the list of hosts
	hostsIntervalAlone    = time.Second             // the same while no other host is known
	hostsIntervalIndirect = time.Minute             // the same where other hosts read the store for this one
	confirmGrace          = 2500 * time.Millisecond // after the first read in another era, in which what a copy shows confirms nothing
	eraCheckInterval      = time.Second             // between checks whether the row of this host has to be written again
	storeRetryDelay       = 200 * time.Millisecond  // after a failed read of the store
	indirectRetryDelay    = time.Second             // the same for a host that does not read for others
	minFeedInterval       = 200 * time.Millisecond  // between two feeds of the list of targets, to collect changes
	isolatedFeedInterval  = 500 * time.Millisecond  // the same for a host whose configuration is stale though it reads the store; the list stays younger than staleAge
	roleCheckInterval     = 100 * time.Millisecond  // between checks whether this host has to read the store
	storeTimeout          = time.Second             // for one call to the store
	maxFeedFailures       = 2                       // consecutive failed feeds of the list of targets, after which it is read whole
)

// watcher reads the configuration, the list of targets and the list of hosts from the store and passes them
// to the gateway.
type watcher struct {
	gateway         *Gateway
	client          *platform.Client
	configPosition  history.Position          // up to which the configuration was read; version 0: it is to be read whole
	targetsPosition history.Position          // the same for the list of targets
	rows            map[string]wire.TargetRow // list of targets, by key
	configRead      bool                      // the configuration was read before
	configFailed    bool                      // the last read of the configuration failed
	settledAt       time.Duration             // time since boot from which the store's configuration counts as the newest one
	shownRevision   uint64                    // revision that the store showed last in the era of configPosition, 0 if there was none that can be decoded
	targetsFailed   bool                      // the last read of the list of targets failed
	feedFailures    int                       // consecutive failed feeds of the list of targets
	evacuated       *history.Keys             // data centres that the operator evacuates
	hostRow         history.Written           // row of this host
	hostsDue        time.Time                 // when the list of hosts is to be read again
}

// runLoop calls step in a goroutine until the context ends, and closes the returned channel then. Each step
// returns the time until the next one.
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

// pollConfig reads the configuration, or waits for a change of it. It returns the time until the next call,
// like the other steps of the watcher.
func (w *watcher) pollConfig() time.Duration {
	role := w.gateway.storeRole()
	if role == roleAsker {
		return roleCheckInterval
	}
	asked := sinceBoot()
	w.configPosition = w.client.History().Resume(w.configPosition)
	page, err := w.readConfig()
	w.configFailed = err != nil
	if err != nil {
		if needsFullRead(err) {
			w.configPosition.Version = 0
		}
		w.recordRead("configuration", err)
		return retryDelay(role)
	}
	w.recordRead("configuration", nil)
	if w.gateway.core.table.Load() == nil {
		w.gateway.askBeforeFirst()
	}
	w.applyEvacuations(page)
	if w.configRead && w.configPosition.Era != page.Position.Era {
		w.settledAt = asked + confirmGrace
	}
	w.configRead = true
	w.takeConfigRow(page, asked)
	w.configPosition = page.Position
	if w.gateway.core.table.Load() == nil {
		w.configPosition.Version = 0
		return storeRetryDelay
	}
	confirmed := asked >= w.settledAt && w.gateway.confirmRevision(w.shownRevision, asked, confirmation{era: page.Position.Era})
	if w.shownRevision == 0 {
		w.configPosition.Version = 0 // the row may have been damaged on its way
		return indirectRetryDelay
	}
	if !confirmed && role == roleIsolated {
		return indirectRetryDelay
	}
	return 0
}

// takeConfigRow applies the configuration in a page of the operator's table, if there is one, and notes which revision
// the store shows. What a copy of the store shows is not the newest one for sure until the operator has had the time to
// write again, or has written in this era.
func (w *watcher) takeConfigRow(page platform.Page, asked time.Duration) {
	read := storeRead{part: "configuration", whole: w.configPosition.Version == 0, before: w.configPosition}
	if read.whole {
		w.shownRevision = 0
	}
	for _, row := range page.Rows {
		if row.Key != platform.KeyConfig {
			continue
		}
		read.config, read.brought = true, 0
		if !read.whole {
			w.settledAt = 0 // it was written in this era
		}
		if !row.Removed {
			read.brought = w.gateway.takeConfig(row.Value, asked)
		}
		if !read.whole && read.brought > 0 {
			w.gateway.core.configIsNew()
		}
		w.shownRevision = read.brought
	}
	w.recordPage(read, page)
}

// readConfig reads the whole configuration if its version is not known, and else waits for what changed
// since.
func (w *watcher) readConfig() (platform.Page, error) {
	if w.configPosition.Version == 0 {
		return w.client.Scan(platform.TableOperator)
	}
	return w.client.Feed(platform.TableOperator, w.configPosition, w.feedWaitAfter(w.configFailed))
}

// recordPage records a page of a part of the store that was read.
func (w *watcher) recordPage(read storeRead, page platform.Page) {
	g := w.gateway
	read.after = page.Position
	g.record.partRead(read, g.revision(), g.core.configAge())
}

// recordRead records the result of a read of the store in log and metrics.
func (w *watcher) recordRead(part string, err error) { w.gateway.recordStoreCall(part, err) }

// feedWait returns how long a feed waits at the store for a change.
func (w *watcher) feedWait() time.Duration {
	if w.gateway.peers.count() >= smallFleet {
		return sharedFeedWait
	}
	return maxFeedWait
}

// pollTargets reads the list of targets, or waits for a change of it, and passes it to the gateway.
func (w *watcher) pollTargets() time.Duration {
	role := w.gateway.storeRole()
	if role == roleAsker {
		w.targetsPosition.Version = 0
		return roleCheckInterval
	}
	asked := sinceBoot()
	w.targetsPosition = w.client.History().Resume(w.targetsPosition)
	read := storeRead{part: "targets", whole: w.targetsPosition.Version == 0, before: w.targetsPosition}
	err := w.refreshTargets()
	w.targetsFailed = err != nil
	w.recordRead("targets", err)
	if errors.Is(err, platform.ErrExpired) {
		return retryDelay(role)
	}
	if err != nil {
		w.gateway.recordTargetsFailure()
		return retryDelay(role)
	}
	w.recordPage(read, platform.Page{Position: w.targetsPosition})
	w.gateway.recordTargetsRead(w.targetsPosition.Era)
	rows := make([]wire.TargetRow, 0, len(w.rows))
	for _, row := range w.rows {
		rows = append(rows, row)
	}
	w.publishTargets(rows, asked)
	if w.gateway.storeRole() == roleIsolated {
		return isolatedFeedInterval
	}
	return minFeedInterval
}

// publishTargets passes the list of targets to the gateway, without those of versions that the store does not name. If it
// does not name all of them, they are named after the others were published, as that may take a while.
func (w *watcher) publishTargets(rows []wire.TargetRow, asked time.Duration) {
	g := w.gateway
	g.origins.noteEra(w.targetsPosition.Era)
	targets := g.origins.decode(rows)
	withheld := g.origins.unnamed(targets)
	if len(withheld) == 0 || g.storeCache.asOf() > 0 {
		g.updateTargets(rows, asked, g.origins.readNamed())
	}
	if g.origins.nameListed(targets) && len(withheld) > 0 {
		withheld = g.origins.unnamed(targets)
		g.updateTargets(rows, asked, g.origins.readNamed())
	}
	g.origins.recordWithheld(withheld)
	w.targetsFailed = len(withheld) > 0 // the next read does not wait for a change
}

// refreshTargets brings rows up to date with the list of targets in the store.
func (w *watcher) refreshTargets() error {
	if w.targetsPosition.Version == 0 {
		page, err := w.client.Scan(platform.TableTargets)
		if err != nil {
			return err
		}
		w.rows = make(map[string]wire.TargetRow, len(page.Rows))
		w.applyTargetRows(page)
		return nil
	}
	page, err := w.client.Feed(platform.TableTargets, w.targetsPosition, w.targetsFeedWait())
	if err != nil {
		w.recordFeedFailure(err)
		return err
	}
	w.feedFailures = 0
	w.applyTargetRows(page)
	return nil
}

// needsFullRead returns whether a feed can't continue from the last version and all rows must be read again:
// the store no longer knows what changed since, or its answer can't be parsed.
func needsFullRead(err error) bool {
	return errors.Is(err, platform.ErrExpired) || errors.Is(err, platform.ErrInvalidAnswer)
}

// recordFeedFailure counts a failed feed of the list of targets. Repeated failures may mean that the changes
// are too many to arrive within the timeout. The whole list is read again then, page by page.
// platform.ErrBusy is not counted, as it tells nothing about the feed.
func (w *watcher) recordFeedFailure(err error) {
	if !errors.Is(err, platform.ErrBusy) {
		w.feedFailures++
	}
	if needsFullRead(err) || w.feedFailures >= maxFeedFailures {
		w.targetsPosition.Version, w.feedFailures = 0, 0
	}
}

// targetsFeedWait returns how long a feed of the list of targets waits for a change.
func (w *watcher) targetsFeedWait() time.Duration { return w.feedWaitAfter(w.targetsFailed) }

// feedWaitAfter returns how long a feed waits for a change, given whether the read before failed. The first one after
// a failure does not wait: it tells whether the store came back from a copy, and the period in which expired entries
// may return starts when it succeeds.
func (w *watcher) feedWaitAfter(failed bool) time.Duration {
	if failed {
		return 0
	}
	return w.feedWait()
}

// applyTargetRows applies changed rows to the list of targets.
func (w *watcher) applyTargetRows(page platform.Page) {
	w.targetsPosition = page.Position
	for _, row := range page.Rows {
		if row.Removed {
			delete(w.rows, row.Key)
			continue
		}
		w.rows[row.Key] = wire.TargetRow{Key: row.Key, Value: row.Value}
	}
}

// pollHosts writes the row of this host once in each era of the store, and reads the rows of the other hosts.
func (w *watcher) pollHosts() time.Duration {
	era := w.gateway.storeEra()
	if w.hostRow.Due(era) {
		err := w.client.PutHost(platform.Host{Address: w.gateway.settings.Peer, Place: w.gateway.settings.Place})
		w.recordRead("hosts", err)
		if err != nil {
			return storeRetryDelay
		}
		w.hostRow.Done(era)
	}
	if left := time.Until(w.hostsDue); left > 0 {
		return min(left, eraCheckInterval)
	}
	list, err := w.client.Hosts()
	w.recordRead("hosts", err)
	if err != nil {
		return storeRetryDelay
	}
	for _, h := range list {
		w.gateway.peers.add(h.Address, time.Now())
	}
	interval := w.hostsInterval()
	w.hostsDue = time.Now().Add(interval)
	return min(interval, eraCheckInterval)
}

// hostsInterval returns the time between two reads of the list of hosts.
func (w *watcher) hostsInterval() time.Duration {
	switch {
	case w.gateway.peers.count() == 0:
		return hostsIntervalAlone
	case w.gateway.storeRole() == roleReader:
		return hostsInterval
	}
	return hostsIntervalIndirect
}

// retryDelay returns the time until a failed read of the store is tried again.
func retryDelay(role storeRole) time.Duration {
	if role == roleReader {
		return storeRetryDelay
	}
	return indirectRetryDelay
}
