package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/fixedseed"
	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

// TestMain runs the tests with a fixed seed.
func TestMain(m *testing.M) { fixedseed.Main(m) }

// numbers generates arbitrary 32-bit numbers, and more often small ones and those that overflow when
// they are added, multiplied or converted.
func numbers() *rapid.Generator[uint32] {
	return rapid.OneOf(rapid.SampledFrom([]uint32{0, 1, 5000, 1 << 31, 1<<32 - 1}), rapid.Uint32())
}

// texts generates arbitrary text, and more often the names of the service, engines and team of the test.
func texts() *rapid.Generator[string] {
	return rapid.OneOf(rapid.SampledFrom([]string{"", "model", "engine0", "engine1", "team1"}), rapid.String())
}

// digests generates short lists of digests with many duplicates.
func digests() *rapid.Generator[[]uint64] {
	return rapid.SliceOfN(rapid.Uint64Range(0, 3), 0, 4)
}

// prompts draws a prompt whose lists of parts and of token counts may differ in length.
func prompts(t *rapid.T) wire.Prompt {
	return wire.Prompt{Parts: digests().Draw(t, "names"), PartTokens: rapid.SliceOfN(numbers(), 0, 4).Draw(t, "tokens"), TotalTokens: numbers().Draw(t, "total")}
}

// drawMessage draws a message of one of the types that hosts send each other, with arbitrary fields.
func drawMessage(t *rapid.T) wire.Message {
	number := func() uint32 { return numbers().Draw(t, "number") }
	text := func() string { return texts().Draw(t, "text") }
	boolean := func() bool { return rapid.Bool().Draw(t, "bool") }
	id := func() uint64 { return rapid.Uint64Range(0, 6).Draw(t, "name") }
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return &wire.SlotRequest{
			Number: id(), Service: text(), Team: text(), Target: text(), Prompt: prompts(t), CachedTokens: number(), MaxOutputTokens: number(),
			FirstEventLimit: number(), ResponseLimit: number(), Elapsed: number(), MayWait: boolean(), AnyEngine: boolean(), Excluded: []string{text()},
		}
	case 1:
		return &wire.SlotResponse{
			Number: id(), Queued: boolean(), Target: text(), PromptTokens: number(), MemoryTokens: number(), QueueTokens: number(), ExpectedFirstEvent: number(),
			OtherTarget: text(), RetryAfter: number(), Reason: text(), Standing: uint8(number()), QueueLimit: number(), QueueLength: number(),
		}
	case 2:
		return &wire.LeaseUpdate{Number: id(), Begun: boolean(), Ended: boolean(), Outcome: uint8(number()), Duration: number(), IntervalCount: number(), MeanInterval: number()}
	case 3:
		return &wire.PromptPlaced{Target: text(), Prompt: prompts(t)}
	case 4:
		return &wire.LeaseList{Waiting: digests().Draw(t, "waiting"), Running: digests().Draw(t, "running")}
	case 5:
		return &wire.TargetCrash{Target: text(), Age: number(), SentAge: number(), Traits: digests().Draw(t, "traits")}
	case 6:
		return &wire.TraitsAnswered{Traits: digests().Draw(t, "traits")}
	case 7:
		return &wire.TraitsProbed{Traits: digests().Draw(t, "traits")}
	case 8:
		return &wire.TraitsKnown{Traits: digests().Draw(t, "traits")}
	case 9:
		return &wire.VersionSlotRequest{Request: wire.SlotRequest{Number: id(), Service: text(), Target: text(), Prompt: prompts(t), MayWait: boolean()}, Version: text()}
	default:
		return &wire.HostState{
			Boot: id(), Number: rapid.Uint64().Draw(t, "number"), Age: number(), ReadsStore: boolean(), Leaving: boolean(), Place: text(), NotReady: boolean(),
			Loads:      []wire.TargetLoad{{Target: text(), PromptTokens: number(), Running: number(), MemoryTokens: number()}, {Target: text(), PromptTokens: number()}},
			Demands:    []wire.TeamDemand{{Service: text(), Team: text(), Received: number(), Asked: number()}},
			HeldTraits: []wire.HeldTrait{{Trait: id(), Incidents: uint8(number()), CrashAge: number(), AnsweredAge: number(), Known: boolean()}},
		}
	}
}

// A faulty host may send messages with any field values. They must neither crash the gateway nor make
// it compute a negative duration, such as after an overflow, for the next request.
func TestArbitraryPeerMessagesAreHandled(t *testing.T) {
	g := newIdleGateway(t)
	from := netip.MustParseAddrPort("127.0.0.9:7")
	rapid.Check(t, func(t *rapid.T) {
		pair := newHostPair(4)
		pair.owner.board.SetTargets(twoEngines())
		pair.dropMessages = true
		g.core = pair.owner
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			message := drawMessage(t)
			if state, ok := message.(*wire.HostState); ok {
				g.receiveHostState(from, state)
			} else {
				g.handleMessage(from, message)
			}
		}
		g.core.tick(time.Now(), tickInterval)
		g.core.topShares(time.Now())
		request := placement.Request{Service: "model", Team: "team1", LatencyGoal: leaseLatencyGoal, AnswerTimeLimit: time.Second}
		choice := pair.owner.board.Choose(time.Now(), &request)
		require.GreaterOrEqual(t, choice.RetryAfter, time.Duration(0))
		require.GreaterOrEqual(t, choice.ExpectedTime, time.Duration(0))
		_, retryAfter := pair.owner.board.Admit(time.Now(), &request)
		require.GreaterOrEqual(t, retryAfter, time.Duration(0))
	})
}
