package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	ownerNumber = 1
	askerNumber = 2
	leaseAim    = 600 * time.Millisecond
)

// pair are the cores of an owner of the one engine there is, and of a host that asks it.
type pair struct {
	owner, asker *core
	cut          bool // messages are lost
	sent         []wire.Message
}

// newPair returns a pair whose engine has so many slots.
func newPair(slots int) *pair {
	p := &pair{owner: newCore(Settings{Place: "place1"}), asker: newCore(Settings{Place: "place2"})}
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{Aim: leaseAim, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: slots, Memory: 1_000_000}}},
	})
	owner, asker := placement.Host{ID: ownerNumber, Place: "place1"}, placement.Host{ID: askerNumber, Place: "place2"}
	for _, c := range []*core{p.owner, p.asker} {
		c.board.Configure(table)
		c.board.SetTargets([]route.Target{{ID: "engine0", Service: "model", Slots: slots, Place: "place1"}})
	}
	p.owner.self, p.asker.self = ownerNumber, askerNumber
	p.owner.board.SetHosts(owner, []placement.Host{asker})
	p.asker.board.SetHosts(asker, []placement.Host{owner})
	p.owner.post = func(_ uint64, m wire.Message) { p.deliver(p.asker, ownerNumber, m) }
	p.asker.post = func(_ uint64, m wire.Message) { p.deliver(p.owner, askerNumber, m) }
	return p
}

// deliver hands a message over unless it is lost.
func (p *pair) deliver(to *core, from uint64, m wire.Message) {
	p.sent = append(p.sent, m)
	if p.cut {
		return
	}
	switch m := m.(type) {
	case *wire.Enquiry:
		to.enquire(from, m)
	case *wire.Verdict:
		to.verdict(from, m)
	case *wire.Progress:
		to.progress(from, m)
	case *wire.Leases:
		to.confirmLeases(from, m)
	}
}

// exchange returns a request at the asker.
func (p *pair) exchange() *exchange {
	x := &exchange{
		gateway: &Gateway{core: p.asker, record: newRecorder(zerolog.Nop(), newMetrics(), p.asker.busy)}, service: "model", arrived: time.Now(), limit: time.Now().Add(time.Minute),
		grants: make(chan placement.Choice, 1), gone: make(chan struct{}),
	}
	x.ask = placement.Ask{
		Service: "model", Team: "team", Aim: leaseAim, Time: time.Minute, Output: 10,
		Chain: placement.NewChain([]placement.Part{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 100}}, 1100),
	}
	p.asker.register(x)
	return x
}

// free returns whether the owner has a slot for one more request.
func (p *pair) free() bool {
	ask := p.exchange().ask
	ask.Wanted = "engine0"
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	return p.owner.board.Choose(time.Now(), &ask).Target != ""
}

// A request gets a slot of an engine that another host owns, and gives it back at its end.
func TestSlotOfAnOwnerIsGivenBack(t *testing.T) {
	p := newPair(1)
	x := p.exchange()
	choice, problem := x.place()
	require.Nil(t, problem)
	require.Equal(t, "engine0", choice.Target)
	require.False(t, p.free())
	left := p.asker.first(x, choice, time.Millisecond)
	require.False(t, p.free())
	p.asker.ended(x, choice, left, placement.Done, time.Millisecond)
	require.True(t, p.free())
}

// A slot whose end was not heard of is free once its host no longer lists it, and stays taken
// as long as it does.
func TestLostEndFreesItsSlot(t *testing.T) {
	p := newPair(1)
	x := p.exchange()
	choice, _ := x.place()
	require.NotEmpty(t, choice.Target)
	later := time.Now().Add(guestLife)
	p.owner.confirmLeases(askerNumber, &wire.Leases{Waiting: []uint64{choice.Lease}})
	p.owner.expireGuests(later, later)
	require.False(t, p.free())
	p.cut = true
	p.asker.ended(x, choice, choice.Load, placement.Done, time.Millisecond)
	p.cut = false
	later = time.Now().Add(guestLife + time.Second)
	p.owner.expireGuests(later, later)
	require.True(t, p.free())
}

// A first event that was not heard of is made good by the next list.
func TestLostFirstEventIsMadeGood(t *testing.T) {
	p := newPair(2)
	x := p.exchange()
	choice, _ := x.place()
	p.cut = true
	p.asker.first(x, choice, time.Millisecond)
	p.cut = false
	p.owner.confirmLeases(askerNumber, &wire.Leases{Running: []uint64{choice.Lease}})
	for _, g := range p.owner.guests {
		require.Zero(t, g.left.Prompt)
		require.Equal(t, 1, g.left.Running)
	}
}

// An owner that does not answer costs a request no more than its timeout: the host decides by
// itself, and does not ask again for a time. A slot granted too late is given back.
func TestSilentOwnerIsReplaced(t *testing.T) {
	p := newPair(8)
	p.cut = true
	x := p.exchange()
	began := time.Now()
	choice, problem := x.place()
	require.Nil(t, problem)
	require.Equal(t, "engine0", choice.Target)
	require.Zero(t, choice.Lease)
	require.GreaterOrEqual(t, time.Since(began), ownerTimeout)
	require.Empty(t, p.asker.mute, "one datagram may be lost")
	_, _ = p.exchange().place()
	require.Contains(t, p.asker.mute, uint64(ownerNumber))

	enquiry, ok := p.sent[0].(*wire.Enquiry)
	require.True(t, ok)
	p.cut = false
	p.owner.enquire(askerNumber, enquiry)
	require.Empty(t, p.owner.guests, "the late slot is given back")
	p.asker.mute[ownerNumber] = time.Now().Add(muteTime)
	count := len(p.sent)
	_, _ = p.exchange().place()
	require.Len(t, p.sent, count, "nobody is asked")
}

// A request that waits at its owner gets the next slot.
func TestRequestWaitsAtItsOwner(t *testing.T) {
	p := newPair(1)
	x := p.exchange()
	choice, _ := x.place()
	waits := p.exchange()
	placed := make(chan placement.Choice, 1)
	go func() {
		c, _ := waits.place()
		placed <- c
	}()
	require.Eventually(t, func() bool {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		return len(p.owner.tickets) == 1
	}, 10*time.Second, time.Millisecond)
	p.asker.ended(x, choice, choice.Load, placement.Done, time.Millisecond)
	require.Equal(t, "engine0", (<-placed).Target)
}

// An enquiry that is not consistent, or for a service that nobody configured, is refused and
// leaves nothing behind.
func TestBadEnquiryIsRefused(t *testing.T) {
	p := newPair(1)
	for number, m := range []*wire.Enquiry{
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1, 2}, PartTokens: []uint32{5}}},
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1}, PartTokens: []uint32{5000}, TotalTokens: 10}},
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1, 2}, PartTokens: []uint32{9, 5}, TotalTokens: 10}},
		{Service: "unknown", Target: "engine0"},
	} {
		m.Number = uint64(number)
		p.owner.enquire(askerNumber, m)
		v, ok := p.sent[len(p.sent)-1].(*wire.Verdict)
		require.True(t, ok)
		require.Empty(t, v.Target)
		require.NotEmpty(t, v.Reason)
	}
	require.Empty(t, p.owner.guests)
}

// A host that was started again is given slots, though owners still hold those of the process
// before for a time.
func TestRestartedHostIsAnswered(t *testing.T) {
	p := newPair(2)
	before := p.exchange()
	first, _ := before.place()
	require.NotZero(t, first.Lease)

	again := newPair(1).asker
	again.self, again.post = askerNumber, p.asker.post
	again.last = 1 << numberBits
	p.asker = again
	second, problem := p.exchange().place()
	require.Nil(t, problem)
	require.NotZero(t, second.Lease)
	require.False(t, p.free())
}

// An owner that was started again knows none of its leases: their ends do no harm, and it gives
// out slots at once.
func TestRestartedOwnerForgetsLeases(t *testing.T) {
	p := newPair(1)
	x := p.exchange()
	choice, _ := x.place()
	fresh := newPair(1).owner
	fresh.self, fresh.post = ownerNumber, p.owner.post
	p.owner = fresh
	require.True(t, p.free())
	next, problem := p.exchange().place()
	require.Nil(t, problem)
	require.NotZero(t, next.Lease)
	p.asker.ended(x, choice, choice.Load, placement.Done, time.Millisecond)
	require.False(t, p.free(), "the end of an unknown lease frees nothing")
}

// Two hosts that both take themselves for the owner admit no more than each has slots for, and
// know of each other's by news.
func TestTwoOwnersAtOnceAreToldApartByNews(t *testing.T) {
	p := newPair(1)
	choice, _ := p.exchange().place()
	require.NotEmpty(t, choice.Target)
	other := newPair(1).owner
	other.self = ownerNumber + 9
	ask := p.exchange().ask
	ask.Wanted = "engine0"
	require.NotEmpty(t, other.board.Choose(time.Now(), &ask).Target)
	other.learn(time.Now(), ownerNumber, p.owner.board.News(time.Now()))
	require.Empty(t, other.board.Choose(time.Now(), &ask).Target)
}

// A request whose caller leaves while it waits at an owner leaves nothing there.
func TestCallerThatLeftLeavesTheQueueOfTheOwner(t *testing.T) {
	p := newPair(1)
	_, _ = p.exchange().place()
	waits := p.exchange()
	ended := make(chan *problem, 1)
	go func() {
		_, problem := waits.place()
		ended <- problem
	}()
	require.Eventually(t, func() bool {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		return len(p.owner.tickets) == 1
	}, 10*time.Second, time.Millisecond)
	waits.cancel()
	require.NotNil(t, <-ended)
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	require.Empty(t, p.owner.tickets)
	require.Len(t, p.owner.guests, 1)
}

// DRAIN through an owner that has not heard yet that its engine leaves: a host that has does not
// use the slot.
func TestSlotOfALeavingTargetIsGivenBack(t *testing.T) {
	p := newPair(1)
	x := p.exchange()
	stop, ok := p.asker.board.Next(time.Now(), &x.ask)
	require.True(t, ok)
	l := &lease{number: 77, host: ownerNumber, ask: &x.ask, answers: make(chan ownerAnswer, 2)}
	p.asker.leases[l.number] = l
	p.asker.board.SetTargets([]route.Target{{ID: "engine0", Service: "model", Slots: 1, Place: "place1", Leaving: true}})
	p.owner.enquire(askerNumber, enquiryOf(x, l.number, &stop))
	require.Empty(t, (<-l.answers).choice.Target)
	require.Empty(t, p.asker.leases)
	require.Empty(t, p.owner.guests)
}
