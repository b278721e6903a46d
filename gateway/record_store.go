package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/history"
)

// confirmationLogInterval is the least time between two lines about confirmations that differ in their source
// alone, which may change with each query, and between two about a configuration that is not confirmed.
const confirmationLogInterval = time.Second

// storeRead describes a read of a part of the store for the log.
type storeRead struct {
	part          string
	whole         bool             // the part was read whole, not from a position on
	before, after history.Position // position of this host before and after the read
	config        bool             // the read brought the row of the configuration
	brought       uint64           // revision of that row, 0 if it can't be decoded or was removed
}

// confirmation says who knew the configuration in force to be current, and when.
type confirmation struct {
	peer     netip.AddrPort // host that said so, invalid if this host read the store
	era      uint64         // of the store, 0 if the host does not say
	revision uint64
}

// storeHistory is what recorder has logged of the eras of the store and of confirmations.
type storeHistory struct {
	era          uint64
	confirmed    confirmation
	confirmedLog time.Time
	refused      unconfirmed
	refusedLog   time.Time
}

// unconfirmed tells why the configuration in force is not known to be current.
type unconfirmed struct{ shown, revision, newest uint64 }

// storeEra records the newest era of the store when it changes.
func (r *recorder) storeEra(tracker *history.Tracker) {
	era, restores := tracker.Era(), tracker.Restores()
	r.mu.Lock()
	before := r.history.era
	r.history.era = max(before, era)
	r.mu.Unlock()
	if era <= before {
		return
	}
	event := r.log.Info()
	if restores > 0 {
		event = r.log.Warn()
	}
	event.Str("event", eventStoreEra).Uint64("era", era).Uint64("before", before).Send()
}

// partRead records a read that brought a configuration, or one of another era than the read before. The revision
// is that in force after the read, and age the time for which it had not been confirmed before it.
func (r *recorder) partRead(read storeRead, revision uint64, age time.Duration) {
	if !read.config && read.before.Era == read.after.Era {
		return
	}
	r.log.Info().Str("event", eventStoreRead).Str("part", read.part).Bool("whole", read.whole).
		Uint64("beforeera", read.before.Era).Uint64("before", read.before.Version).
		Uint64("era", read.after.Era).Uint64("version", read.after.Version).
		Bool("config", read.config).Uint64("brought", read.brought).Uint64("revision", revision).
		Float64("age", milliseconds(age)).Send()
}

// configConfirmed records who confirmed the configuration in force, if that, the era or the revision has changed.
// The age is that of the confirmation.
func (r *recorder) configConfirmed(c confirmation, age time.Duration) {
	r.mu.Lock()
	before, now := r.history.confirmed, time.Now()
	sameContent := before.era == c.era && before.revision == c.revision && before.peer.IsValid() == c.peer.IsValid()
	if sameContent || before.revision == c.revision && before.era == c.era && now.Sub(r.history.confirmedLog) < confirmationLogInterval {
		r.mu.Unlock()
		return
	}
	r.history.confirmed, r.history.confirmedLog, r.history.refused = c, now, unconfirmed{}
	r.mu.Unlock()
	source, peer := "store", ""
	if c.peer.IsValid() {
		source, peer = "peer", c.peer.String()
	}
	r.log.Info().Str("event", eventConfirmed).Str("source", source).Str("peer", peer).Uint64("era", c.era).
		Uint64("revision", c.revision).Float64("age", milliseconds(age)).Send()
}

// configUnconfirmed records that the revision that the store shows, 0 for none, does not confirm the one in force,
// since it is another one or a host has a newer one. It logs a line when one of the three changes, at most one in
// confirmationLogInterval.
func (r *recorder) configUnconfirmed(shown, revision, newest uint64) {
	r.mu.Lock()
	now, why := time.Now(), unconfirmed{shown, revision, newest}
	if r.history.refused == why || now.Sub(r.history.refusedLog) < confirmationLogInterval {
		r.mu.Unlock()
		return
	}
	r.history.refused, r.history.refusedLog, r.history.confirmed = why, now, confirmation{}
	r.mu.Unlock()
	r.log.Warn().Str("event", eventUnconfirmed).Uint64("shown", shown).Uint64("revision", revision).Uint64("newest", newest).Send()
}
