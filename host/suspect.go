package host

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/wire"
)

// RecordCrash records that a target crashed before it began to answer a request, and tells the other
// hosts. It reports whether requests with the traits of the request are refused from now on.
func (h *Host) RecordCrash(now time.Time, r *quarantine.Report) bool {
	h.setTime(now)
	h.noteTraits(h.quarantine.RecordCrash(now, r))
	h.broadcastTraits(r.Message(now))
	return h.quarantine.Check(now, r.Traits).Refused
}

// RetryAfterCrash returns how long a request with some traits is to be kept from targets, because these
// crash targets; 0 if it may be sent.
func (h *Host) RetryAfterCrash(now time.Time, traits []quarantine.Trait) time.Duration {
	if d := h.quarantine.Check(now, traits); d.Refused {
		return d.RetryAfter
	}
	return 0
}

// BeginAttempt reports whether a request with some traits may be sent to a target now. If it probes a trait
// whose hold is over, the other hosts are told to wait for the result.
func (h *Host) BeginAttempt(now time.Time, traits []quarantine.Trait) bool {
	h.setTime(now)
	d := h.quarantine.Check(now, traits)
	if d.Refused {
		return false
	}
	if len(d.Probes) > 0 {
		h.quarantine.BeginProbe(now, d.Probes)
		h.broadcastTraits(&wire.TraitsProbed{Traits: quarantine.Numbers(d.Probes)})
	}
	return true
}

// IsSuspected reports whether a target crashed while it had a request with one of some traits, which was
// not answered since.
func (h *Host) IsSuspected(traits []quarantine.Trait) bool {
	return slices.ContainsFunc(traits, func(t quarantine.Trait) bool { return h.quarantine.Incidents(t) > 0 })
}

// RecordAnswer clears the traits of a request that a target began to answer, and tells the other hosts if
// they were suspected.
func (h *Host) RecordAnswer(now time.Time, traits []quarantine.Trait) {
	h.setTime(now)
	cleared, changes := h.quarantine.RecordAnswer(now, traits)
	h.noteTraits(changes)
	if len(cleared) > 0 {
		h.broadcastTraits(&wire.TraitsAnswered{Traits: quarantine.Numbers(cleared)})
	}
}

// handleTraitMessage handles what a peer reports about traits. A host that leads its place passes on what
// comes from another place.
func (h *Host) handleTraitMessage(now time.Time, from netip.AddrPort, message wire.Message) {
	switch m := message.(type) {
	case *wire.TargetCrash:
		h.noteTraits(h.quarantine.RecordCrash(now, quarantine.ReportOf(now, m)))
	case *wire.TraitsAnswered:
		_, changes := h.quarantine.RecordAnswer(now, quarantine.Traits(m.Traits))
		h.noteTraits(changes)
	case *wire.TraitsProbed:
		h.quarantine.BeginProbe(now, quarantine.Traits(m.Traits))
	}
	if !slices.Contains(h.roster.Present(), from) {
		h.sendToPlace(message)
	}
}

// sendHeldTraits tells a host that has just started, or was cut off, what is held.
func (h *Host) sendHeldTraits(now time.Time, peer netip.AddrPort) {
	m := &wire.TraitsHeld{}
	for _, s := range h.quarantine.State() {
		m.Traits = append(m.Traits, s.Message(now))
	}
	if len(m.Traits) > 0 {
		h.send(peer, m)
	}
}

// mergeHeldTraits records what a peer knows of traits that are held.
func (h *Host) mergeHeldTraits(now time.Time, m *wire.TraitsHeld) {
	for _, trait := range m.Traits {
		h.noteTraits(h.quarantine.Merge(now, quarantine.StatusOf(now, trait)))
	}
}

// noteTraits notes changes of traits for the log.
func (h *Host) noteTraits(changes []quarantine.Change) {
	h.commands.Traits = append(h.commands.Traits, changes...)
}

// broadcastTraits sends a message about traits to the hosts of this place and the leading host of each other
// place.
func (h *Host) broadcastTraits(m wire.Message) {
	h.sendToPlace(m)
	for _, r := range h.roster.Rosters() {
		if head, ok := h.roster.Head(r.Place); ok {
			h.send(head, m)
		}
	}
}

// sendToPlace sends a message to the other hosts of this place.
func (h *Host) sendToPlace(m wire.Message) {
	for _, peer := range h.roster.Present() {
		if peer != h.config.Self {
			h.send(peer, m)
		}
	}
}

// MarkSuspected marks a request of this host's callers as suspected of crashing
// targets, so that it does not share a target with other suspected requests.
func (h *Host) MarkSuspected(id uint64) { h.intake.MarkSuspect(id) }
