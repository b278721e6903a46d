package host

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// MaxCrashes is the number of crashes after which a request is refused.
const MaxCrashes = 2

// Crashed takes the news that a target crashed while it ran a request. The
// digest names the team and the body. It returns whether the request is to be
// refused from now on.
func (h *Host) Crashed(now time.Time, digest uint64) bool {
	h.tickAt(now)
	count := h.suspect.Count(now, digest) + 1
	h.suspect.Raise(now, digest, count)
	h.tellSuspect(&wire.Suspect{Digest: digest, Crashes: count}, netip.AddrPort{})
	return count >= MaxCrashes
}

// Poisonous returns whether a request is refused for the targets it crashed.
func (h *Host) Poisonous(now time.Time, digest uint64) bool {
	return h.suspect.Count(now, digest) >= MaxCrashes
}

// Suspected returns whether a request was on a target that crashed.
func (h *Host) Suspected(now time.Time, digest uint64) bool {
	return h.suspect.Count(now, digest) > 0
}

// Completed clears a request that ran to its end.
func (h *Host) Completed(now time.Time, digest uint64) {
	h.tickAt(now)
	if h.suspect.Count(now, digest) == 0 {
		return
	}
	h.suspect.Clear(digest)
	h.tellSuspect(&wire.Suspect{Digest: digest, Cleared: true}, netip.AddrPort{})
}

// takeSuspect takes what a peer knows and passes news on.
func (h *Host) takeSuspect(now time.Time, from netip.AddrPort, m *wire.Suspect) {
	if m.Cleared {
		if h.suspect.Clear(m.Digest) {
			h.tellSuspect(m, from)
		}
		return
	}
	if h.suspect.Raise(now, m.Digest, m.Crashes) {
		h.tellSuspect(m, from)
	}
}

// tellSuspect tells the hosts of this place and the heads of the others.
func (h *Host) tellSuspect(m *wire.Suspect, except netip.AddrPort) {
	for _, peer := range h.roster.Present() {
		if peer != except {
			h.send(peer, m)
		}
	}
	for _, r := range h.roster.Rosters() {
		if head, ok := h.roster.Head(r.Place); ok && head != except {
			h.send(head, m)
		}
	}
}

// Suspect marks a request of this host's callers as having been on a target
// that crashed, so that it runs apart from other such requests.
func (h *Host) Suspect(id uint64) { h.intake.MarkSuspect(id) }
