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

// Numbers of the two hosts, and the time within which the first event of a request is due.
const (
	ownerNumber      = 1
	askerNumber      = 2
	leaseLatencyGoal = 600 * time.Millisecond
)

// hostPair is the owner of the only engine and a host that asks it for slots. They exchange
// messages by function calls instead of a network.
type hostPair struct {
	owner, asker *core
	dropMessages bool           // messages are not delivered
	sent         []wire.Message // all messages, also those not delivered
}

// newHostPair returns a hostPair whose engine has the given number of slots.
func newHostPair(slots int) *hostPair {
	p := &hostPair{owner: newCore(Settings{Place: "place1"}), asker: newCore(Settings{Place: "place2"})}
	table := route.NewTable(route.Table{
		Version: 1, Routes: []route.Route{{TargetLatency: leaseLatencyGoal, Shares: []route.Share{{Service: "model", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Engine: &route.Engine{Slots: slots, TokenCapacity: 1_000_000}}},
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

// deliver records a message of the host with number from and hands it to the other host, unless dropMessages is set.
func (p *hostPair) deliver(to *core, from uint64, m wire.Message) {
	p.sent = append(p.sent, m)
	if p.dropMessages {
		return
	}
	switch m := m.(type) {
	case *wire.SlotRequest:
		to.receiveSlotRequest(from, m)
	case *wire.VersionSlotRequest:
		to.receiveVersionSlotRequest(from, m)
	case *wire.SlotResponse:
		to.receiveSlotResponse(from, m)
	case *wire.LeaseUpdate:
		to.receiveLeaseUpdate(from, m)
	case *wire.LeaseList:
		to.receiveLeaseList(from, m)
	}
}

// newExchange registers a request at the asker.
func (p *hostPair) newExchange() *exchange {
	ex := &exchange{
		gateway: &Gateway{core: p.asker, record: newRecorder(zerolog.Nop(), newMetrics(), p.asker.times)}, service: "model", arrived: time.Now(), limit: time.Now().Add(time.Minute),
		grants: make(chan placement.Choice, 1), abortSignal: make(chan struct{}),
	}
	ex.ask = placement.Request{
		Service: "model", Team: "team", LatencyGoal: leaseLatencyGoal, AnswerTimeLimit: time.Minute, MaxOutput: 10,
		Chain: placement.NewPrefixChain([]placement.Part{{ID: 1, Tokens: 1000}, {ID: 2, Tokens: 100}}, 1100),
	}
	p.asker.register(ex)
	return ex
}

// slotFree returns whether the owner has a slot for one more request.
func (p *hostPair) slotFree() bool {
	ask := p.newExchange().ask
	ask.WantedEngine = "engine0"
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	return p.owner.board.Choose(time.Now(), &ask).Target != ""
}

// A request gets a slot of an engine that another host owns, and returns it at its end.
func TestLeaseIsReturnedAtEnd(t *testing.T) {
	p := newHostPair(1)
	ex := p.newExchange()
	choice, problem := ex.chooseTarget()
	require.Nil(t, problem)
	require.Equal(t, "engine0", choice.Target)
	require.False(t, p.slotFree())
	load := p.asker.onFirstEvent(ex, choice, time.Millisecond)
	require.False(t, p.slotFree())
	p.asker.onEnd(ex, choice, load, placement.Done, time.Millisecond)
	require.True(t, p.slotFree())
}

// If the report of a request's end is lost, its slot is free again once the host has not
// listed it for remoteLeaseTTL. A listed slot stays taken.
func TestUnlistedLeaseExpires(t *testing.T) {
	p := newHostPair(1)
	ex := p.newExchange()
	choice, _ := ex.chooseTarget()
	require.NotEmpty(t, choice.Target)
	later := time.Now().Add(remoteLeaseTTL)
	p.owner.receiveLeaseList(askerNumber, &wire.LeaseList{Waiting: []uint64{choice.SlotID}})
	p.owner.expireRemoteRequests(later, later)
	require.False(t, p.slotFree())
	p.dropMessages = true
	p.asker.onEnd(ex, choice, choice.Load, placement.Done, time.Millisecond)
	p.dropMessages = false
	later = time.Now().Add(remoteLeaseTTL + time.Second)
	p.owner.expireRemoteRequests(later, later)
	require.True(t, p.slotFree())
}

// If the report of a first event is lost, the owner learns of the event from the next list of
// leases.
func TestLeaseListRepairsLostFirstEvent(t *testing.T) {
	p := newHostPair(2)
	ex := p.newExchange()
	choice, _ := ex.chooseTarget()
	p.dropMessages = true
	p.asker.onFirstEvent(ex, choice, time.Millisecond)
	p.dropMessages = false
	p.owner.receiveLeaseList(askerNumber, &wire.LeaseList{Running: []uint64{choice.SlotID}})
	for _, g := range p.owner.remoteRequests {
		require.Zero(t, g.load.Prompt)
		require.Equal(t, 1, g.load.Running)
	}
}

// If an owner does not answer within ownerTimeout, the host decides in its place, and does not
// ask it for a while after several misses. A slot that is granted too late is returned.
func TestHostDecidesWhenOwnerTimesOut(t *testing.T) {
	p := newHostPair(8)
	p.dropMessages = true
	ex := p.newExchange()
	began := time.Now()
	choice, problem := ex.chooseTarget()
	require.Nil(t, problem)
	require.Equal(t, "engine0", choice.Target)
	require.Zero(t, choice.SlotID)
	require.GreaterOrEqual(t, time.Since(began), ownerTimeout)
	require.Empty(t, p.asker.backoffUntil, "an owner is still asked after one missed reply")
	_, _ = p.newExchange().chooseTarget()
	require.Contains(t, p.asker.backoffUntil, uint64(ownerNumber))

	request, ok := p.sent[0].(*wire.SlotRequest)
	require.True(t, ok)
	p.dropMessages = false
	p.owner.receiveSlotRequest(askerNumber, request)
	require.Empty(t, p.owner.remoteRequests, "the slot that was granted too late is returned")
	p.asker.backoffUntil[ownerNumber] = time.Now().Add(ownerBackoff)
	count := len(p.sent)
	_, _ = p.newExchange().chooseTarget()
	require.Len(t, p.sent, count, "an owner is not asked during its backoff")
}

// A request that waits in the queue of the owner gets the next slot that is returned.
func TestRequestQueuedAtOwnerGetsNextSlot(t *testing.T) {
	p := newHostPair(1)
	ex := p.newExchange()
	choice, _ := ex.chooseTarget()
	waiting := p.newExchange()
	placed := make(chan placement.Choice, 1)
	go func() {
		c, _ := waiting.chooseTarget()
		placed <- c
	}()
	require.Eventually(t, func() bool {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		return len(p.owner.remoteByQueueID) == 1
	}, 10*time.Second, time.Millisecond)
	p.asker.onEnd(ex, choice, choice.Load, placement.Done, time.Millisecond)
	require.Equal(t, "engine0", (<-placed).Target)
}

// A slot request with an inconsistent prompt, or for a service that is not configured, is refused
// and takes no slot.
func TestInvalidSlotRequestIsRefused(t *testing.T) {
	p := newHostPair(1)
	for number, m := range []*wire.SlotRequest{
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1, 2}, PartTokens: []uint32{5}}},
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1}, PartTokens: []uint32{5000}, TotalTokens: 10}},
		{Service: "model", Target: "engine0", Prompt: wire.Prompt{Parts: []uint64{1, 2}, PartTokens: []uint32{9, 5}, TotalTokens: 10}},
		{Service: "unknown", Target: "engine0"},
	} {
		m.Number = uint64(number)
		p.owner.receiveSlotRequest(askerNumber, m)
		v, ok := p.sent[len(p.sent)-1].(*wire.SlotResponse)
		require.True(t, ok)
		require.Empty(t, v.Target)
		require.NotEmpty(t, v.Reason)
	}
	require.Empty(t, p.owner.remoteRequests)
}

// A restarted host gets slots while the owner still counts those of its earlier process: it must not
// use lease numbers of the earlier process again.
func TestRestartedHostGetsNewLeases(t *testing.T) {
	p := newHostPair(2)
	before := p.newExchange()
	first, _ := before.chooseTarget()
	require.NotZero(t, first.SlotID)

	restarted := newHostPair(1).asker
	restarted.self, restarted.post = askerNumber, p.asker.post
	restarted.lastNumber = 1 << sequenceBits
	p.asker = restarted
	second, problem := p.newExchange().chooseTarget()
	require.Nil(t, problem)
	require.NotZero(t, second.SlotID)
	require.False(t, p.slotFree())
}

// A restarted owner knows none of its leases: it grants slots at once, and the end of an
// unknown lease frees no slot.
func TestRestartedOwnerForgetsLeases(t *testing.T) {
	p := newHostPair(1)
	ex := p.newExchange()
	choice, _ := ex.chooseTarget()
	restarted := newHostPair(1).owner
	restarted.self, restarted.post = ownerNumber, p.owner.post
	p.owner = restarted
	require.True(t, p.slotFree())
	next, problem := p.newExchange().chooseTarget()
	require.Nil(t, problem)
	require.NotZero(t, next.SlotID)
	p.asker.onEnd(ex, choice, choice.Load, placement.Done, time.Millisecond)
	require.False(t, p.slotFree(), "the end of an unknown lease frees nothing")
}

// Two hosts that both consider themselves the owner of an engine learn each other's load from
// state reports, so that its slots are not granted twice.
func TestSecondOwnerLearnsLoadFromHostState(t *testing.T) {
	p := newHostPair(1)
	choice, _ := p.newExchange().chooseTarget()
	require.NotEmpty(t, choice.Target)
	other := newHostPair(1).owner
	other.self = ownerNumber + 9
	ask := p.newExchange().ask
	ask.WantedEngine = "engine0"
	require.NotEmpty(t, other.board.Choose(time.Now(), &ask).Target)
	other.applyPeerState(time.Now(), ownerNumber, p.owner.board.State(time.Now()))
	require.Empty(t, other.board.Choose(time.Now(), &ask).Target)
}

// A request whose caller leaves while it waits at an owner is removed from the owner's queue.
func TestCanceledRequestLeavesOwnersQueue(t *testing.T) {
	p := newHostPair(1)
	_, _ = p.newExchange().chooseTarget()
	waiting := p.newExchange()
	ended := make(chan *problem, 1)
	go func() {
		_, problem := waiting.chooseTarget()
		ended <- problem
	}()
	require.Eventually(t, func() bool {
		p.owner.mu.Lock()
		defer p.owner.mu.Unlock()
		return len(p.owner.remoteByQueueID) == 1
	}, 10*time.Second, time.Millisecond)
	waiting.cancel()
	require.NotNil(t, <-ended)
	p.owner.mu.Lock()
	defer p.owner.mu.Unlock()
	require.Empty(t, p.owner.remoteByQueueID)
	require.Len(t, p.owner.remoteRequests, 1)
}

// Guards against sending a request to a leaving target. The owner does not know yet that
// the target is leaving and grants a slot; the asking host knows it and returns the slot.
func TestLeaseOfLeavingTargetIsReturned(t *testing.T) {
	p := newHostPair(1)
	ex := p.newExchange()
	referral, ok := p.asker.board.NextOwner(time.Now(), &ex.ask)
	require.True(t, ok)
	l := &lease{number: 77, host: ownerNumber, ask: &ex.ask, answers: make(chan ownerAnswer, 2)}
	p.asker.leases[l.number] = l
	p.asker.board.SetTargets([]route.Target{{ID: "engine0", Service: "model", Slots: 1, Place: "place1", Leaving: true}})
	p.owner.receiveSlotRequest(askerNumber, slotRequestMessage(ex, l.number, &referral))
	require.Empty(t, (<-l.answers).choice.Target)
	require.Empty(t, p.asker.leases)
	require.Empty(t, p.owner.remoteRequests)
}
