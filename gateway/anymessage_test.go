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

func TestMain(m *testing.M) { fixedseed.Main(m) }

// numbers are those that overflow when they are added, multiplied or converted, and a few small ones.
func numbers() *rapid.Generator[uint32] {
	return rapid.OneOf(rapid.SampledFrom([]uint32{0, 1, 5000, 1 << 31, 1<<32 - 1}), rapid.Uint32())
}

func texts() *rapid.Generator[string] {
	return rapid.OneOf(rapid.SampledFrom([]string{"", "model", "engine0", "engine1", "team1"}), rapid.String())
}

func digests() *rapid.Generator[[]uint64] {
	return rapid.SliceOfN(rapid.Uint64Range(0, 3), 0, 4)
}

func prompts(t *rapid.T) wire.Prompt {
	return wire.Prompt{Parts: digests().Draw(t, "names"), PartTokens: rapid.SliceOfN(numbers(), 0, 4).Draw(t, "tokens"), TotalTokens: numbers().Draw(t, "total")}
}

// anyMessage draws a message of another host.
func anyMessage(t *rapid.T) wire.Message {
	number := func() uint32 { return numbers().Draw(t, "number") }
	text := func() string { return texts().Draw(t, "text") }
	yes := func() bool { return rapid.Bool().Draw(t, "bool") }
	name := func() uint64 { return rapid.Uint64Range(0, 6).Draw(t, "name") }
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return &wire.Enquiry{
			Number: name(), Service: text(), Team: text(), Target: text(), Prompt: prompts(t), CachedTokens: number(), MaxOutputTokens: number(),
			FirstEventLimit: number(), ResponseLimit: number(), Elapsed: number(), MayWait: yes(), AnyEngine: yes(), Excluded: []string{text()},
		}
	case 1:
		return &wire.Verdict{
			Number: name(), Queued: yes(), Target: text(), PromptTokens: number(), MemoryTokens: number(), QueueTokens: number(), ExpectedFirstEvent: number(),
			OtherTarget: text(), RetryAfter: number(), Reason: text(), Standing: uint8(number()), QueueLimit: number(), QueueLength: number(),
		}
	case 2:
		return &wire.Progress{Number: name(), Begun: yes(), Ended: yes(), Outcome: uint8(number()), Duration: number(), IntervalCount: number(), MeanInterval: number()}
	case 3:
		return &wire.PromptPlaced{Target: text(), Prompt: prompts(t)}
	case 4:
		return &wire.Leases{Waiting: digests().Draw(t, "waiting"), Running: digests().Draw(t, "running")}
	default:
		return &wire.News{
			Boot: name(), Number: rapid.Uint64().Draw(t, "number"), Age: number(), Reader: yes(), Leaving: yes(), Place: text(), Away: yes(),
			Loads:   []wire.TargetLoad{{Target: text(), PromptTokens: number(), Running: number(), MemoryTokens: number()}, {Target: text(), PromptTokens: number()}},
			Demands: []wire.TeamDemand{{Service: text(), Team: text(), Received: number(), Asked: number()}},
			Crashes: []wire.Crash{{Digest: name(), Count: uint8(number())}},
		}
	}
}

// Whatever another host says, no process ends over it, and a request that comes after is decided
// in times that are none less than 0.
func TestAnyMessageOfAnotherHostIsTakenOrLeft(t *testing.T) {
	g := newIdle(t)
	from := netip.MustParseAddrPort("127.0.0.9:7")
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(4)
		p.owner.board.SetTargets(twoEngines())
		p.cut = true
		g.core = p.owner
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			m := anyMessage(t)
			if news, ok := m.(*wire.News); ok {
				g.hear(from, news)
			} else {
				g.take(from, m)
			}
		}
		g.core.tick(time.Now(), tickEvery)
		g.core.topShares(time.Now())
		ask := placement.Ask{Service: "model", Team: "team1", Aim: leaseAim, Time: time.Second}
		choice := p.owner.board.Choose(time.Now(), &ask)
		require.GreaterOrEqual(t, choice.After, time.Duration(0))
		require.GreaterOrEqual(t, choice.Expect, time.Duration(0))
		_, after := p.owner.board.Admit(time.Now(), &ask)
		require.GreaterOrEqual(t, after, time.Duration(0))
	})
}
