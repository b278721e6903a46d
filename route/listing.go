package route

import "time"

// Limits for keeping targets whose entries lapsed during an outage of the store.
const (
	lapsedEntryGrace    = 2500 * time.Millisecond // after an outage, in which targets renew entries that lapsed
	minMissedHeartbeats = 2                       // shortest outage in which an entry may lapse, in heartbeats
)

// Listing keeps the list of targets through outages of the store. Entries lapse while targets
// can't renew them; targets that are missing right after an outage are kept for a short time.
type Listing struct {
	targets     map[string]Target // by ID, as of the last list
	heartbeat   time.Duration     // interval at which targets renew their entries
	readFailed  bool              // the last read of the store failed
	listedAt    time.Time         // when the list was last known to be current
	recoveredAt time.Time         // end of the last outage
}

// NewListing returns an empty Listing of targets that renew their entries at a heartbeat
// interval. An entry lapses after three heartbeats, so none lapses in an outage of less than two.
func NewListing(heartbeat time.Duration) *Listing {
	return &Listing{targets: map[string]Target{}, heartbeat: heartbeat}
}

// ReadFailed records that a read of the store failed.
func (l *Listing) ReadFailed() { l.readFailed = true }

// Read records the targets that this host read from the store, and returns those to be used.
func (l *Listing) Read(now time.Time, targets []Target) []Target {
	if l.readFailed && now.Sub(l.listedAt) >= minMissedHeartbeats*l.heartbeat {
		l.recoveredAt = now
	}
	l.readFailed = false
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
	if !l.recoveredAt.IsZero() && now.Sub(l.recoveredAt) < lapsedEntryGrace {
		l.keepMissing(next)
	}
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
