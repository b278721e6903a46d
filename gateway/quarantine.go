package gateway

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
	"github.com/cassiachute/cassiachute/wire"
)

// requestTraits returns what may make a request crash targets: each part of its prompt that other
// requests may share, and the request as a whole, which its caller may send again. The last part of a
// prompt belongs to the request alone.
func requestTraits(team string, uri []byte, body held.Chunks, call *platform.Call) []quarantine.Trait {
	shared := call.Parts[:max(0, len(call.Parts)-1)]
	traits := make([]quarantine.Trait, 0, len(shared)+1)
	for _, p := range shared {
		traits = append(traits, partTrait(call.Model, p.ID))
	}
	return append(traits, wholeTrait(team, uri, body))
}

// partTrait identifies a part of a prompt for a model.
func partTrait(model string, id uint64) quarantine.Trait {
	d := xxhash.New()
	_, _ = d.WriteString(model) // xxhash never returns an error
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, id))
	return quarantine.Trait(d.Sum64())
}

// wholeTrait identifies a request by its team, path and body, which stay the same when a caller sends it
// again.
func wholeTrait(team string, uri []byte, body held.Chunks) quarantine.Trait {
	d := xxhash.New()
	_, _ = d.WriteString(team) // xxhash never returns an error
	_, _ = d.Write(uri)
	for _, chunk := range body {
		_, _ = d.Write(chunk)
	}
	return quarantine.Trait(d.Sum64())
}

// reportCrash records that a target crashed before it began to answer a request, and tells the other
// hosts. It returns the highest number of incidents that count against a trait of the request.
func (g *Gateway) reportCrash(a *attempt, at time.Time) int {
	now := time.Now()
	report := &quarantine.Report{Target: a.choice.Target, At: at, SentAt: a.sentAt, Traits: quarantine.Reported(a.exchange.traits)}
	g.broadcast(report.Message(now))
	g.applyCrash(now, report, noPeer)
	return g.core.incidents(report.Traits)
}

// receiveTargetCrash records a crash that another host reports.
func (g *Gateway) receiveTargetCrash(from netip.AddrPort, m *wire.TargetCrash) {
	now := time.Now()
	g.applyCrash(now, quarantine.ReportOf(now, m), from)
}

// noPeer stands for this host where the address of another one is due.
var noPeer netip.AddrPort

// applyCrash records a crash that this host or, with an address, another one has seen.
func (g *Gateway) applyCrash(now time.Time, report *quarantine.Report, from netip.AddrPort) {
	g.core.mu.Lock()
	changes := g.core.quarantine.RecordCrash(now, report)
	g.core.mu.Unlock()
	g.applyTraitChanges(changes, from)
}

// applyTraitChanges logs which traits are held from now on or no more, and ends the requests with a trait
// that is held now and that no target has begun to answer.
func (g *Gateway) applyTraitChanges(changes []quarantine.Change, from netip.AddrPort) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		g.record.traitChanged(change, from)
	}
	if !from.IsValid() {
		g.core.noteForStore(time.Now(), changes)
	}
	for _, x := range g.core.heldExchanges(changes) {
		x.abort(reasonPoison)
	}
}

// heldExchanges returns the exchanges that are to be ended because traits are held since some changes. It
// also publishes the number of held traits.
func (c *core) heldExchanges(changes []quarantine.Change) []*exchange {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldTraits.Store(int64(c.quarantine.Held()))
	var list []*exchange
	for _, x := range c.exchanges {
		if !x.answered && c.holdsAny(now, changes, x) {
			list = append(list, x)
		}
	}
	return list
}

// holdsAny returns whether a trait that is held since some changes keeps an exchange from targets. The
// caller holds the lock.
func (c *core) holdsAny(now time.Time, changes []quarantine.Change, x *exchange) bool {
	for _, change := range changes {
		if change.Held && c.quarantine.Ends(now, change.Trait, x.traits) {
			return true
		}
	}
	return false
}

// incidents returns the highest number of incidents that count against one of some traits.
func (c *core) incidents(traits []quarantine.Trait) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := 0
	for _, trait := range traits {
		highest = max(highest, c.quarantine.Incidents(trait))
	}
	return highest
}

// checkTraits returns a problem if a request with some traits may not be sent to a target.
func (c *core) checkTraits(traits []quarantine.Trait) *problem {
	if c.heldTraits.Load() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.traitProblem(time.Now(), traits)
}

// traitProblem returns a problem if a request with some traits may not be sent to a target. The caller
// holds the lock.
func (c *core) traitProblem(now time.Time, traits []quarantine.Trait) *problem {
	d := c.quarantine.Check(now, traits)
	if !d.Refused {
		return nil
	}
	p := notRun(reasonPoison, d.RetryAfter)
	p.trait = d.Trait
	return p
}

// clearToSend returns a problem if the request may not be sent to a target now. Otherwise the send that
// follows probes the traits of the request whose hold is over.
func (x *exchange) clearToSend() *problem {
	if p := x.checkSend(); p != nil {
		return p
	}
	g := x.gateway
	if g.core.heldTraits.Load() == 0 {
		return nil
	}
	if p := g.core.beginProbe(x); p != nil {
		return x.refuseHeld(p)
	}
	if len(x.probes) > 0 {
		g.broadcast(&wire.TraitsProbed{Traits: quarantine.Numbers(x.probes)})
		g.record.traitsProbed(x)
	}
	return nil
}

// beginProbe lets an exchange probe the traits whose hold is over. It returns a problem if one of its
// traits is held, or probed by another request.
func (c *core) beginProbe(x *exchange) *problem {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.traitProblem(now, x.traits); p != nil {
		return p
	}
	x.probes = c.quarantine.Check(now, x.traits).Probes
	c.quarantine.BeginProbe(now, x.probes)
	return nil
}

// endProbe ends the probe of an attempt that had no result.
func (x *exchange) endProbe() {
	if len(x.probes) == 0 {
		return
	}
	c := x.gateway.core
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.EndProbe(x.probes)
	x.probes = nil
}

// receiveTraitsProbed records that another host probes some traits.
func (c *core) receiveTraitsProbed(m *wire.TraitsProbed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.BeginProbe(time.Now(), quarantine.Traits(m.Traits))
}

// recordAnswer records that a target began to answer a request. The caller holds the lock.
func (c *core) recordAnswer(now time.Time, x *exchange) {
	x.answered = true
	cleared, changes := c.quarantine.RecordAnswer(now, x.traits)
	c.answered = append(c.answered, quarantine.Numbers(cleared)...)
	c.released = append(c.released, changes...)
	x.released = x.released || len(changes) > 0
}

// receiveTraitsKnown records that requests of another host were answered before their traits were held.
func (c *core) receiveTraitsKnown(m *wire.TraitsKnown) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.RecordKnown(quarantine.Traits(m.Traits))
}

// takeAnswered returns the suspected traits that requests of this host were answered with since the last
// call, and what changed by that.
func (c *core) takeAnswered() ([]uint64, []quarantine.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	traits, changes := c.answered, c.released
	c.answered, c.released = nil, nil
	return traits, append(changes, c.quarantine.Tick(time.Now())...)
}

// vouches returns the held traits of which this host is to tell the others that it knows them.
func (c *core) vouches() []quarantine.Trait {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Vouches(time.Now())
}

// reportAnswers tells the other hosts of suspected traits that requests of this host were answered with, and of
// held ones that it knows.
func (g *Gateway) reportAnswers() {
	traits, changes := g.core.takeAnswered()
	for len(traits) > 0 {
		n := min(len(traits), maxAnsweredPerMessage)
		g.broadcast(&wire.TraitsAnswered{Traits: traits[:n]})
		traits = traits[n:]
	}
	g.applyTraitChanges(changes, noPeer)
	if known := g.core.vouches(); len(known) > 0 {
		g.broadcast(&wire.TraitsKnown{Traits: quarantine.Numbers(known)})
	}
}

// maxAnsweredPerMessage is the largest number of traits in one message.
const maxAnsweredPerMessage = 1024

// receiveTraitsAnswered records that requests of another host were answered.
func (g *Gateway) receiveTraitsAnswered(from netip.AddrPort, m *wire.TraitsAnswered) {
	g.core.mu.Lock()
	_, changes := g.core.quarantine.RecordAnswer(time.Now(), quarantine.Traits(m.Traits))
	g.core.mu.Unlock()
	g.applyTraitChanges(changes, from)
}

// mergeHeldTraits records what another host knows of held traits.
func (g *Gateway) mergeHeldTraits(from netip.AddrPort, now time.Time, list []wire.HeldTrait) {
	if len(list) == 0 {
		return
	}
	var changes []quarantine.Change
	g.core.mu.Lock()
	for _, m := range list {
		changes = append(changes, g.core.quarantine.Merge(now, quarantine.StatusOf(now, m))...)
	}
	g.core.mu.Unlock()
	g.applyTraitChanges(changes, from)
}

// traitName returns a trait as log lines show it, empty for none.
func traitName(trait quarantine.Trait) string {
	if trait == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(trait), 16)
}

// traitNames lists traits for the log, at most maxLoggedParts of them.
type traitNames []quarantine.Trait

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l traitNames) MarshalZerologArray(a *zerolog.Array) {
	for _, trait := range l[:min(len(l), maxLoggedParts)] {
		a.Str(traitName(trait))
	}
}

// traitChanged records that a trait is held or not held any more, since this host or, with an address,
// another one has seen something.
func (r *recorder) traitChanged(change quarantine.Change, from netip.AddrPort) {
	event, name := r.log.Info(), eventReleased
	if change.Held {
		event, name = r.log.Warn(), eventHeld
	}
	event = event.Str("event", name).Str("trait", traitName(change.Trait)).Int("crashes", change.Incidents).
		Float64("hold", milliseconds(change.Hold)).Bool("evicted", change.Evicted)
	if from.IsValid() {
		event = event.Stringer("peer", from)
	}
	event.Send()
}

// traitSaved records that the store was told of a held trait or, without crashes, that it is not held any more.
func (r *recorder) traitSaved(trait quarantine.Trait, crashes int) {
	r.log.Info().Str("event", eventSaved).Str("trait", traitName(trait)).Int("crashes", crashes).Send()
}

// traitsProbed records that a request is sent to find out whether its traits still crash targets.
func (r *recorder) traitsProbed(x *exchange) {
	r.log.Info().Str("event", eventProbed).Str("request", x.call.ID).Array("traits", traitNames(x.probes)).Send()
}
