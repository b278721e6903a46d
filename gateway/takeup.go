package gateway

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/origin"
	"github.com/cassiachute/cassiachute/platform"
)

// Outcomes of the decision on a take-up: a stream that its client continues with a new request.
const (
	outcomeKnown   = "known"   // this host passed on its first events
	outcomeSingle  = "single"  // the service has had one version only
	outcomeStored  = "stored"  // the store has a row of it
	outcomeUnknown = "unknown" // refused: the store has none
	outcomeUnread  = "unread"  // refused: the store can't be read
	outcomeGone    = "gone"    // refused: no target has its version
)

// takeUpTimeout is how long a take-up waits for the store before it is refused.
const takeUpTimeout = 600 * time.Millisecond

// takeUpDecision says at which version a stream that its client takes up may go on.
type takeUpDecision struct {
	outcome string
	version string
	took    time.Duration
}

// problem returns the refusal of the take-up, or nil.
func (d *takeUpDecision) problem() *problem {
	switch d.outcome {
	case outcomeUnknown:
		return notRun(reasonOriginUnknown, unknownRetryAfter)
	case outcomeUnread:
		return notRun(reasonOriginUnknown, unreadRetryAfter)
	case outcomeGone:
		return notRun(reasonVersionGone, goneRetryAfter)
	}
	return nil
}

// isTakeUp returns whether a request continues a stream that an earlier request began.
func isTakeUp(call *platform.Call) bool { return call.LastEvent != "" }

// originKey returns the key of the stream of the request: that of the attempt that began it. It returns 0 if nobody
// can name that attempt.
func (x *exchange) originKey() origin.Key {
	attempt := x.call.ID
	if isTakeUp(&x.call) {
		attempt = x.call.Origin
	}
	if attempt == "" {
		return 0
	}
	return origin.NewKey(x.service, x.team, attempt)
}

// fixOrigin makes a take-up go on only at the version that began its stream. It returns the refusal if that version
// is not known or not served any more.
func (x *exchange) fixOrigin() *problem {
	if !isTakeUp(&x.call) {
		return nil
	}
	g, began := x.gateway, time.Now()
	decided := make(chan takeUpDecision, 1)
	go func() { decided <- g.origins.decide(x.service, x.originKey()) }()
	timer := time.NewTimer(takeUpTimeout)
	defer timer.Stop()
	var d takeUpDecision
	select {
	case d = <-decided:
	case <-timer.C:
		d.outcome = outcomeUnread
	case <-x.abortSignal:
		return x.abortProblem()
	}
	d.took = time.Since(began)
	switch {
	case d.problem() != nil:
	case g.storeCache.asOf() == 0:
		d.outcome = outcomeUnread // this host started a moment ago and does not know the targets yet
	case !g.storeCache.hasVersion(x.service, d.version):
		d.outcome = outcomeGone
	}
	g.record.tookUp(x, &d)
	if p := d.problem(); p != nil {
		return p
	}
	x.takeUp = d.outcome
	x.ask.FixVersion(d.version)
	return nil
}

// noteOrigin records the version of a stream whose first events are about to be passed on.
func (x *exchange) noteOrigin(version string) {
	if key := x.originKey(); key != 0 && x.route.Resumable {
		s := origin.Stream{Key: key, Service: x.service, Version: version}
		x.gateway.origins.streams.Add(time.Now(), s, x.takeUp == outcomeStored)
	}
}

// decide returns at which version of a service a stream may go on. It reads the store unless this host knows the stream.
func (o *originTable) decide(service string, key origin.Key) takeUpDecision {
	if version, ok := o.streams.Version(time.Now(), key); ok {
		return takeUpDecision{outcome: outcomeKnown, version: version}
	}
	o.mu.Lock()
	reads := o.service(service).reads
	o.mu.Unlock()
	row, err := reads.Get()
	if err != nil {
		return takeUpDecision{outcome: outcomeUnread}
	}
	if version, ok := row.History.Only(row.At); ok && row.Found {
		return takeUpDecision{outcome: outcomeSingle, version: version}
	}
	if key == 0 {
		return takeUpDecision{outcome: outcomeUnknown}
	}
	return o.lookUp(key)
}

// lookUp looks for the row of a stream, at first in the part of the own data centre, in which most clients stay.
func (o *originTable) lookUp(key origin.Key) takeUpDecision {
	own := o.gateway.settings.Place
	if d := o.lookUpIn(own, key); d.outcome != outcomeUnknown {
		return d
	}
	others := slices.DeleteFunc(o.gateway.places(), func(place string) bool { return place == own })
	answers := make(chan takeUpDecision, len(others))
	for _, place := range others {
		go func() { answers <- o.lookUpIn(place, key) }()
	}
	d := takeUpDecision{outcome: outcomeUnknown}
	for range others {
		answer := <-answers
		if answer.outcome == outcomeStored || d.outcome == outcomeUnknown {
			d = answer
		}
	}
	return d
}

// lookUpIn looks for the row of a stream in the part of a data centre.
func (o *originTable) lookUpIn(place string, key origin.Key) takeUpDecision {
	version, err := o.gateway.client.Origin(place, key)
	switch {
	case err == nil:
		return takeUpDecision{outcome: outcomeStored, version: version}
	case errors.Is(err, platform.ErrMissing):
		return takeUpDecision{outcome: outcomeUnknown}
	}
	o.gateway.recordStoreCall("origins", err)
	return takeUpDecision{outcome: outcomeUnread}
}

// places returns the data centres of the targets and of the hosts that are known.
func (g *Gateway) places() []string {
	list := append(g.storeCache.places(), g.peers.places()...)
	slices.Sort(list)
	return slices.Compact(list)
}

// places returns the data centres of the targets.
func (c *storeCache) places() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.targets))
	for _, t := range c.targets {
		list = append(list, t.Place)
	}
	return list
}

// hasVersion returns whether a target of a service has a version.
func (c *storeCache) hasVersion(service, version string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t.Service == service && t.Version == version {
			return true
		}
	}
	return false
}

// places returns the data centres of the hosts that are known.
func (c *peerTable) places() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, peer := range c.byAddress {
		if peer.place != "" {
			list = append(list, peer.place)
		}
	}
	return list
}

// tookUp records the decision on a take-up.
func (r *recorder) tookUp(x *exchange, d *takeUpDecision) {
	r.metrics.takeUps.WithLabelValues(x.service, d.outcome).Inc()
	r.log.Info().Str("event", eventTakeUp).Str("request", x.call.ID).Str("origin", x.call.Origin).Str("last", x.call.LastEvent).Str("service", x.service).
		Str("outcome", d.outcome).Str("version", d.version).Float64("took", milliseconds(d.took)).Send()
}
