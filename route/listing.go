package route

import "time"

// Limits for keeping targets whose entries lapsed during an outage of the store.
const (
	lapsedEntryGrace    = 2500 * time.Millisecond // after an outage, in which targets renew entries that lapsed
	minMissedHeartbeats = 2                       // shortest outage in which an entry may lapse, in heartbeats
)

// Limits for entries that a copy of the store shows and that may be out of date.
const (
	lapseHeartbeats = 3                      // heartbeats after which an entry that is not renewed lapses
	lapseMargin     = 500 * time.Millisecond // added to them, for the read that shows it
	departedMemory  = 30 * time.Second       // for which targets that have gone are remembered; copies are some seconds old
	maxDeparted     = 256                    // most of them
)

// Listing keeps the list of targets through outages of the store. Entries lapse while targets
// can't renew them; targets that are missing right after an outage are kept for a short time. A store that
// came back from a copy lacks the entries of targets that are there, and shows earlier entries of targets that
// were leaving or have gone: the former are kept, the latter not used until their entries had the time to lapse.
type Listing struct {
	targets     map[string]Target        // by ID, as of the last list
	heartbeat   time.Duration            // interval at which targets renew their entries
	readFailed  bool                     // the last read of the store failed
	listedAt    time.Time                // when the list was last known to be current
	recoveredAt time.Time                // end of the last outage
	eras        readEras                 // in which the list was read
	restored    bool                     // the next list is the first that is read since the store came back from a copy
	outdated    time.Time                // until then entries of the copy that were not renewed may be in the list
	departed    map[processKey]time.Time // targets that have gone, and when
	withheld    map[processKey]Target    // targets that had gone and that the copy shows, with the entry there
}

// processKey identifies one start of a target.
type processKey struct {
	id        string
	startedAt int64 // Unix milliseconds
}

// processOf returns the key of the process of a target.
func processOf(t Target) processKey { return processKey{t.ID, t.StartedAt.UnixMilli()} }

// NewListing returns an empty Listing of targets that renew their entries at a heartbeat
// interval. An entry lapses after three heartbeats, so none lapses in an outage of less than two.
func NewListing(heartbeat time.Duration) *Listing {
	return &Listing{
		targets: map[string]Target{}, heartbeat: heartbeat,
		departed: map[processKey]time.Time{}, withheld: map[processKey]Target{},
	}
}

// ReadIn records the era of the store in which this host has read the next list, 0 if it is not numbered.
func (l *Listing) ReadIn(now time.Time, era uint64) {
	l.restored = l.eras.read(now, era, l.copyPeriod()) || l.restored
}

// RelayedIn records the era of the store that the host knew which has read the last list.
func (l *Listing) RelayedIn(now time.Time, era uint64) { l.eras.advance(now, era) }

// copyPeriod returns the time after which entries that only a copy of the store has have lapsed.
func (l *Listing) copyPeriod() time.Duration { return lapseHeartbeats*l.heartbeat + lapseMargin }

// ReadFailed records that a read of the store failed.
func (l *Listing) ReadFailed() { l.readFailed = true }

// Read records the targets that this host read from the store, and returns those to be used.
func (l *Listing) Read(now time.Time, targets []Target) []Target {
	if l.readFailed && now.Sub(l.listedAt) >= minMissedHeartbeats*l.heartbeat {
		l.recoveredAt = now
	}
	l.readFailed = false
	if l.restored {
		l.recoveredAt = l.eras.began
		l.outdated = l.eras.began.Add(l.copyPeriod())
		l.withholdDeparted(now, targets)
		l.restored = false
	}
	return l.accept(now, targets)
}

// Relay records the targets that another host read from the store, and returns those to be used.
// The store is not down then, even if this host can't read it.
func (l *Listing) Relay(now time.Time, targets []Target) []Target { return l.accept(now, targets) }

// Confirm records that at a time another host read the same list as is known here, so the store
// was not down then.
func (l *Listing) Confirm(at time.Time) {
	if at.After(l.listedAt) {
		l.listedAt = at
	}
}

// accept replaces the list, adds the missing targets that are kept after an outage, and returns
// the result.
func (l *Listing) accept(now time.Time, targets []Target) []Target {
	l.listedAt = now
	next := map[string]Target{}
	for _, t := range targets {
		next[t.ID] = t
	}
	l.dropOutdated(now, next)
	if !l.recoveredAt.IsZero() && now.Sub(l.recoveredAt) < lapsedEntryGrace {
		l.keepMissing(next)
	}
	l.recordDeparted(now, next)
	l.targets = next
	list := make([]Target, 0, len(next))
	for _, t := range next {
		list = append(list, t)
	}
	return list
}

// keepMissing adds the known targets that are missing, unless they were leaving or another target
// has their address now.
func (l *Listing) keepMissing(next map[string]Target) {
	taken := map[string]bool{}
	for _, t := range next {
		taken[t.Address.String()] = true
	}
	for id, t := range l.targets {
		if _, ok := next[id]; !ok && !t.Leaving && !taken[t.Address.String()] {
			next[id] = t
		}
	}
}

// withholdDeparted notes the targets of a copy that had gone shortly before.
func (l *Listing) withholdDeparted(now time.Time, targets []Target) {
	clear(l.withheld)
	for _, t := range targets {
		key := processOf(t)
		at, ok := l.departed[key]
		if ok && now.Sub(at) < departedMemory {
			l.withheld[key] = t
		}
	}
}

// dropOutdated corrects a list by what was known before the store came back from a copy, until entries of the copy have
// lapsed: targets that were leaving still are, and those that had gone are left out, unless their entry has changed
// or was gone and is there again, which shows that they are alive.
func (l *Listing) dropOutdated(now time.Time, next map[string]Target) {
	if !now.Before(l.outdated) {
		clear(l.withheld)
		return
	}
	for key, entry := range l.withheld {
		t, ok := next[key.id]
		if !ok || processOf(t) != key || !sameEntry(t, entry) {
			delete(l.withheld, key)
			continue
		}
		delete(next, key.id)
	}
	for id, t := range next {
		if known, ok := l.targets[id]; ok && known.Leaving && processOf(known) == processOf(t) {
			t.Leaving = true
			next[id] = t
		}
	}
}

// sameEntry returns whether two entries of a target say the same, but for its cold start.
func sameEntry(a, b Target) bool {
	a.Cold, a.ColdUntil, b.Cold, b.ColdUntil = 0, time.Time{}, 0, time.Time{}
	return a == b
}

// recordDeparted remembers the targets that are not in the next list any more.
func (l *Listing) recordDeparted(now time.Time, next map[string]Target) {
	for key, at := range l.departed {
		if now.Sub(at) >= departedMemory {
			delete(l.departed, key)
		}
	}
	for id, t := range l.targets {
		key := processOf(t)
		other, ok := next[id]
		if ok && processOf(other) == key {
			delete(l.departed, key)
			continue
		}
		if len(l.departed) < maxDeparted {
			l.departed[key] = now
		}
	}
}
