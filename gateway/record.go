package gateway

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/rotation"
)

// Events of the log: each line has one of them in its field "event".
const (
	eventStart        = "start"
	eventStopping     = "stopping"
	eventStopped      = "stopped"
	eventReload       = "reload"
	eventConfig       = "configuration"
	eventEvacuated    = "evacuated"
	eventCold         = "cold"
	eventSpeed        = "speed"
	eventBadConfig    = "configuration-unreadable"
	eventTargets      = "targets"
	eventBadTarget    = "target-unreadable"
	eventStoreDown    = "store-lost"
	eventStoreUp      = "store-regained"
	eventPeerUp       = "peer-regained"
	eventPeerDown     = "peer-lost"
	eventPeerFailed   = "peer-unreached"
	eventPeerSent     = "peer-reached"
	eventPeerAsked    = "peer-asked"
	eventAnswered     = "answered"
	eventRefused      = "refused"
	eventAttempt      = "attempt-failed"
	eventResumed      = "resumed"
	eventCrash        = "target-crashed"
	eventHeld         = "trait-held"
	eventReleased     = "trait-released"
	eventProbed       = "trait-probed"
	eventSaved        = "trait-saved"
	eventMalformed    = "malformed"
	eventOverload     = "host-overloaded"
	eventRelief       = "host-relieved"
	eventLeft         = "rotation-left"
	eventJoined       = "rotation-joined"
	eventUsage        = "usage"
	eventOwnerSilent  = "owner-silent"
	eventTargetSilent = "target-silent"
	eventPanicked     = "internal-fault"
	eventCrossed      = "request-crossed"
	eventExhausted    = "descriptors-exhausted"
	eventAvailable    = "descriptors-available"
	eventExtraAnswer  = "extra-answer"
	eventOversized    = "answer-oversized"
	eventBodyRefused  = "body-refused"
	eventEvicted      = "connection-evicted"
	eventUnread       = "answer-unread"
	eventLeaving      = "target-leaving"
	eventPaused       = "target-paused"
	eventNumbering    = "numbering"
	eventStoreEra     = "store-era"
	eventStoreRead    = "store-read"
	eventConfirmed    = "configuration-confirmed"
	eventUnconfirmed  = "configuration-unconfirmed"
	eventTakeUp       = "take-up"
	eventVersions     = "versions"
	eventWithheld     = "targets-withheld"
)

// recorder writes the log and updates the metrics that belong to its lines. Its methods are
// named after the event that they record.
type recorder struct {
	log     zerolog.Logger
	metrics *metrics
	times   *activityTimes

	evictionLog zerolog.Logger // for closed connections of callers, at most one line per held.EvictionLogInterval

	noDescriptor atomic.Bool // the last connection could not be accepted for lack of a file descriptor

	mu              sync.Mutex
	failing         map[string]bool // parts of the store, peers and peersPart: whether the last attempt failed
	reportedTargets map[string]bool // keys of entries that were reported as unreadable
	history         storeHistory    // guarded by mu
}

// newRecorder returns a recorder that writes to a log and updates metrics; the times appear in
// its usage lines.
func newRecorder(log zerolog.Logger, m *metrics, b *activityTimes) *recorder {
	return &recorder{
		log: log, metrics: m, times: b, failing: map[string]bool{}, reportedTargets: map[string]bool{},
		evictionLog: log.Sample(&zerolog.BurstSampler{Burst: 1, Period: held.EvictionLogInterval}),
	}
}

// milliseconds returns a duration for the log, in milliseconds rounded to 10 µs.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// answered records the end of an exchange whose answer was not streamed. The reason is empty
// if the request was served; retry is the delay that a refused caller is told.
func (r *recorder) answered(x *exchange, status int, reason string, retry time.Duration) {
	defer r.times.addSince(activityLog, time.Now())
	took := time.Since(x.arrived)
	r.metrics.observe(x, status, reason, took)
	event := r.log.Info()
	if reason != "" {
		event = r.log.Warn()
	}
	x.addLogFields(event).Int("status", status).Str("reason", reason).
		Float64("took", milliseconds(took)).Float64("retry", milliseconds(retry)).
		Send()
}

// addLogFields adds what is known of an exchange to a log line.
func (x *exchange) addLogFields(event *zerolog.Event) *zerolog.Event {
	revision := uint64(0)
	if table := x.gateway.core.table.Load(); table != nil {
		revision = table.Version
	}
	return event.Str("event", eventAnswered).Str("request", x.call.ID).Stringer("caller", x.caller.RemoteAddr()).Str("team", x.team).
		Str("route", x.route.Name).Str("service", x.service).Str("target", x.target).Str("version", x.targetVersion).
		Int("sends", x.sends).Bool("framed", x.framed).Str("owner", x.slotOwner).Int("owners", x.ask.ReferralCount()).Int("prompt", x.ask.Chain.Total).Int("output", x.ask.MaxOutput).
		Hex("part", binary.BigEndian.AppendUint64(nil, x.ask.Chain.LongestPrefix())).Int("shared", x.ask.Chain.SharedTokens()).
		Int("unread", x.choice.Load.Prompt).Int("queue", x.choice.QueuedTokens).Float64("expected", milliseconds(x.choice.ExpectedTime)).
		Float64("limit", milliseconds(x.choice.QueueLimit)).Float64("ahead", milliseconds(x.choice.QueueTime)).
		Stringer("standing", x.choice.Standing).Float64("waited", milliseconds(x.waited)).Str("parts", formatParts(x.call.Parts)).Str("trait", traitName(x.heldTrait)).
		Uint64("arrived", x.version).Uint64("revision", revision).Float64("age", milliseconds(x.gateway.core.configAge()))
}

// streamed records the end of a stream. The reason is empty if the stream was complete.
func (r *recorder) streamed(x *exchange, f *streamBody, reason string) {
	defer r.times.addSince(activityLog, time.Now())
	took := time.Since(x.arrived)
	status := f.attempt.response.StatusCode()
	r.metrics.observe(x, status, reason, took)
	r.metrics.firstEvent.WithLabelValues(x.service).Observe(f.firstEventAfter.Seconds())
	event := r.log.Info()
	if reason != "" {
		event = r.log.Warn()
	}
	x.addLogFields(event).Int("status", status).Str("reason", reason).
		Float64("first", milliseconds(f.firstEventAfter)).Float64("took", milliseconds(took)).Str("last", x.lastEvent).
		Send()
}

// refused records a request that was refused before a target was looked for. The team is empty
// if it is not known.
func (r *recorder) refused(caller fmt.Stringer, head *fasthttp.RequestHeader, call *platform.Call, team string, p *problem) {
	defer r.times.addSince(activityLog, time.Now())
	r.metrics.refusals.WithLabelValues(p.reason).Inc()
	r.log.Warn().Str("event", eventRefused).Str("request", call.ID).Stringer("caller", caller).Str("team", team).
		Bytes("path", head.RequestURI()).Int("prompt", call.PromptTokens).Int("output", call.MaxOutput).Int("status", p.status).Str("reason", p.reason).
		Str("trait", traitName(p.trait)).Float64("age", milliseconds(p.age)).Float64("retry", milliseconds(p.retryAfter)).Send()
}

// attemptFailed records a failed send of a request to a target.
func (r *recorder) attemptFailed(x *exchange, a *attempt, err error) {
	r.metrics.attempts.WithLabelValues(x.service).Inc()
	status, took := 0, time.Duration(0)
	if a.response != nil {
		status = a.response.StatusCode()
	}
	if !a.sentAt.IsZero() {
		took = time.Since(a.sentAt)
	}
	r.log.Warn().Str("event", eventAttempt).Str("request", x.call.ID).Str("route", x.route.Name).
		Str("target", a.choice.Target).Str("version", a.version).Int("sends", x.sends).Int("status", status).
		Float64("took", milliseconds(took)).Float64("expected", milliseconds(a.choice.ExpectedTime)).
		Str("last", x.lastEvent).Err(err).Send()
}

// ownerSilent records that an owner did not answer a slot request, so that this host decides in
// its place.
func (r *recorder) ownerSilent(x *exchange, host uint64) {
	r.metrics.ownerSilences.Inc()
	r.log.Warn().Str("event", eventOwnerSilent).Str("request", x.call.ID).Stringer("peer", hostAddress(host)).
		Float64("mute", milliseconds(ownerBackoff)).Send()
}

// targetSilent records the outcome of looking for another target while the present one is
// silent.
func (r *recorder) targetSilent(x *exchange, a *attempt, outcome string) {
	r.metrics.targetSilences.WithLabelValues(x.service, outcome).Inc()
	r.log.Warn().Str("event", eventTargetSilent).Str("request", x.call.ID).Str("target", a.choice.Target).
		Str("version", a.version).Str("outcome", outcome).Float64("took", milliseconds(time.Since(a.sentAt))).Str("last", x.lastEvent).
		Float64("left", milliseconds(x.remaining())).Send()
}

// extraAnswer records an answer of a target that belongs to another request and is discarded.
func (r *recorder) extraAnswer(a *attempt) {
	r.log.Warn().Str("event", eventExtraAnswer).Str("request", a.exchange.call.ID).Str("target", a.choice.Target).
		Str("other", a.answer.ID).Int("status", a.answer.Status).Send()
}

// answerOversized records an answer that was given up because it is too large, or because all answers that are
// held together are.
func (r *recorder) answerOversized(a *attempt) {
	used, limit := a.exchange.gateway.held.Used()
	r.metrics.oversized.Inc()
	r.log.Warn().Str("event", eventOversized).Str("request", a.exchange.call.ID).Str("target", a.choice.Target).
		Int64("held", used).Int64("limit", limit).Send()
}

// refusedBody is the body of a request that was refused since there is no room for it.
type refusedBody struct {
	request   string       // ID of the request
	caller    fmt.Stringer // its address
	announced int          // length in bytes, negative if it was not announced
	arrived   int          // bytes
}

// bodyRefused records that the body of a request was refused, and how full the budget is.
func (r *recorder) bodyRefused(b refusedBody, budget *held.Budget) {
	r.metrics.refusals.WithLabelValues(reasonNoRoom).Inc()
	used, limit := budget.Used()
	r.log.Warn().Str("event", eventBodyRefused).Str("request", b.request).Stringer("caller", b.caller).Int("announced", b.announced).
		Int("arrived", b.arrived).Int64("held", used).Int64("limit", limit).Send()
}

// connectionEvicted records that a connection of a caller was closed for others, since more than limit were open.
func (r *recorder) connectionEvicted(limit int) {
	r.metrics.evicted.Inc()
	r.evictionLog.Warn().Str("event", eventEvicted).Int("limit", limit).Send()
}

// readerDropped records that the connection of a caller was closed since it took nothing of its answer while others
// needed the room.
func (r *recorder) readerDropped(x *exchange) {
	r.metrics.evicted.Inc()
	r.log.Warn().Str("event", eventUnread).Str("request", x.call.ID).Stringer("caller", x.caller.RemoteAddr()).Send()
}

// targetLeaving records that a target announced its shutdown, either in an answer to a request
// of this host or, with an empty request, to another host.
func (r *recorder) targetLeaving(d *placement.Departure, request string, peer netip.AddrPort) {
	r.metrics.notices.WithLabelValues(noticeLeaving).Inc()
	event := r.log.Info().Str("event", eventLeaving).Str("target", d.Target).Str("request", request).Int64("born", startTimeField(d.StartedAt))
	if peer.IsValid() {
		event = event.Stringer("peer", peer)
	}
	event.Send()
}

// targetPaused records that a target asked for a pause in an answer, also if the pause was
// unreadable or longer than this host allows. left is the pause that is kept.
func (r *recorder) targetPaused(x *exchange, target string, a *platform.Answer, left time.Duration) {
	r.metrics.notices.WithLabelValues(noticePaused).Inc()
	r.log.Info().Str("event", eventPaused).Str("target", target).Str("request", x.call.ID).
		Float64("pause", milliseconds(a.Pause)).Str("bad", a.InvalidPause).Float64("left", milliseconds(left)).Send()
}

// streamResumed records a stream that continues at another target.
func (r *recorder) streamResumed(x *exchange) {
	r.log.Info().Str("event", eventResumed).Str("request", x.call.ID).Str("target", x.target).
		Str("version", x.targetVersion).Str("last", x.lastEvent).Send()
}

// numberingChanged records what is now known of the numbers of a service's events, and the request whose stream told it.
func (r *recorder) numberingChanged(service string, n numbering, request string) {
	r.log.Info().Str("event", eventNumbering).Str("service", service).Stringer("numbers", n).Str("request", request).Send()
}

// malformedRequest records a request that could not be parsed.
func (r *recorder) malformedRequest(reason string, err error) {
	r.metrics.refusals.WithLabelValues(reason).Inc()
	r.log.Warn().Str("event", eventMalformed).Str("reason", reason).Err(err).Send()
}

// requestCrossed records a request that came while this host closed its idle connection.
func (r *recorder) requestCrossed(caller net.Addr, idle time.Duration, why string) {
	r.metrics.crossed.Inc()
	r.log.Warn().Str("event", eventCrossed).Stringer("caller", caller).Float64("idle", milliseconds(idle)).Str("why", why).Send()
}

// panicked records a panic in the handling of a request, with its stack.
func (r *recorder) panicked(request string, fault any, stack []byte) {
	r.metrics.panics.Inc()
	r.log.Error().Str("event", eventPanicked).Str("request", request).Str("error", fmt.Sprint(fault)).
		Bytes("stack", stack[:min(len(stack), maxLoggedStack)]).Send()
}

// maxLoggedStack limits the bytes of a stack in a log line.
const maxLoggedStack = 4 << 10

// acceptResult records whether a connection was accepted; err is set if there was no file
// descriptor for it. Only changes between success and failure are logged.
func (r *recorder) acceptResult(err error) {
	if err != nil {
		r.metrics.acceptFailures.Inc()
	}
	if r.noDescriptor.Load() == (err != nil) || r.noDescriptor.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		r.log.Warn().Str("event", eventExhausted).Err(err).Send()
		return
	}
	r.log.Info().Str("event", eventAvailable).Send()
}

// overloadChanged records that this host became or ceased to be overloaded.
func (r *recorder) overloadChanged(is bool, lag time.Duration) {
	if is {
		r.log.Warn().Str("event", eventOverload).Float64("lag", milliseconds(lag)).Send()
		return
	}
	r.log.Info().Str("event", eventRelief).Float64("lag", milliseconds(lag)).Send()
}

// rotationChanged records that this host left the rotation of the load balancer or joined it again.
func (r *recorder) rotationChanged(away bool, lag time.Duration, o rotation.OtherHosts) {
	event, name := r.log.Info(), eventJoined
	if away {
		event, name = r.log.Warn(), eventLeft
	}
	event.Str("event", name).Float64("lag", milliseconds(lag)).Int("place", o.Place).Int("away", o.PlaceAway).
		Int("fleet", o.Fleet).Int("fleetaway", o.FleetAway).Send()
}

// usage records the resources that the host has used and the shares of its busiest teams.
func (r *recorder) usage(served, inFlight int64, overloaded bool, lag, processor time.Duration, shares teamShares) {
	r.log.Info().Str("event", eventUsage).Int64("served", served).Int64("inflight", inFlight).Bool("overloaded", overloaded).
		Float64("lag", milliseconds(lag)).Float64("processor", milliseconds(processor)).Object("busy", r.times).
		Array("shares", shares).Send()
}

// logReload records a reload of the settings, with an error if it failed.
func (r *recorder) logReload(err error) {
	event := r.log.Info()
	if err != nil {
		event = r.log.Error()
	}
	event.Str("event", eventReload).Err(err).Send()
}

// process records the start or the planned stop of the process, under the name of the event.
func (r *recorder) process(name string, s *Settings) {
	r.log.Info().Str("event", name).Str("place", s.Place).
		Stringer("listen", s.Listen).Stringer("peer", s.Peer).Send()
}

// abortedAtStop records that a stopping host ends requests that are not answered in time, or
// connections that still carry a part of a request.
func (r *recorder) abortedAtStop(inFlight int64, connections int, err error) {
	r.log.Warn().Str("event", eventStopping).Int64("inflight", inFlight).Int("callers", connections).Err(err).Send()
}

// stopped records the end of the process, the time since the stop signal, and the number of
// background loops that did not end in time.
func (r *recorder) stopped(s *Settings, took time.Duration, late int) {
	event := r.log.Info()
	if late > 0 {
		event = r.log.Error()
	}
	event.Str("event", eventStopped).Str("place", s.Place).Stringer("listen", s.Listen).Stringer("peer", s.Peer).
		Float64("took", milliseconds(took)).Int("late", late).Send()
}
