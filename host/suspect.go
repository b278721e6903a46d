package host

import (
	"net/netip"
	"time"

	"github.com/cassiachute/cassiachute/wire"
)

// MaxCrashes is the number of target crashes after which the request that was
// running on the targets is refused.
const MaxCrashes = 2

// RecordCrash records that a target crashed while it ran a request, and tells the
// other hosts. digest identifies the request by its team and body. It reports
// whether the request is refused from now on.
func (h *Host) RecordCrash(now time.Time, digest uint64) bool {
	h.setTime(now)
	count := h.suspects.Count(now, digest) + 1
	h.suspects.RaiseCount(now, digest, count)
	h.broadcastCrashReport(&wire.CrashReport{Digest: digest, Crashes: count}, netip.AddrPort{})
	return count >= MaxCrashes
}

// Poisonous reports whether a request is refused because MaxCrashes targets
// crashed while they ran it.
func (h *Host) Poisonous(now time.Time, digest uint64) bool {
	return h.suspects.Count(now, digest) >= MaxCrashes
}

// IsSuspected reports whether a target crashed while it ran a request.
func (h *Host) IsSuspected(now time.Time, digest uint64) bool {
	return h.suspects.Count(now, digest) > 0
}

// RecordCompletion clears a request of suspicion, as it ran to its end, and tells the
// other hosts if it was suspected.
func (h *Host) RecordCompletion(now time.Time, digest uint64) {
	h.setTime(now)
	if h.suspects.Count(now, digest) == 0 {
		return
	}
	h.suspects.Clear(digest)
	h.broadcastCrashReport(&wire.CrashReport{Digest: digest, Cleared: true}, netip.AddrPort{})
}

// handleCrashReport applies a peer's report about a suspected request and passes it
// on if it is new to this host.
func (h *Host) handleCrashReport(now time.Time, from netip.AddrPort, m *wire.CrashReport) {
	if m.Cleared {
		if h.suspects.Clear(m.Digest) {
			h.broadcastCrashReport(m, from)
		}
		return
	}
	if h.suspects.RaiseCount(now, m.Digest, m.Crashes) {
		h.broadcastCrashReport(m, from)
	}
}

// broadcastCrashReport sends a report about a request that is suspected of crashing targets
// to the hosts of this place and the leading host of each other place, except the
// host that it came from.
func (h *Host) broadcastCrashReport(m *wire.CrashReport, except netip.AddrPort) {
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

// MarkSuspected marks a request of this host's callers as suspected of crashing
// targets, so that it does not share a target with other suspected requests.
func (h *Host) MarkSuspected(id uint64) { h.intake.MarkSuspect(id) }
