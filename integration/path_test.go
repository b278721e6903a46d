package integration_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/golden"
	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/faults"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// requireCompleteAnswer checks that a stream was answered completely and with the
// answer to its own prompt.
func requireCompleteAnswer(t *testing.T, prompt string, r result) {
	t.Helper()
	require.Equal(t, fasthttp.StatusOK, r.status, "outcome %s code %s error %v", r.outcome, r.code, r.err)
	require.True(t, r.complete, "error %v", r.err)
	require.Equal(t, engine.Text(prompt, 0), r.text)
}

// refusalCase is a request that must be refused.
type refusalCase struct {
	Name    string            `json:"name"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

// TestAnswersAndRefusals checks that every host answers a stream, and compares the
// refusals of invalid requests with a golden file.
func TestAnswersAndRefusals(t *testing.T) {
	f := startFleet(t, smallConfig())
	for n, h := range f.hosts {
		prompt := promptFor(fmt.Sprint("path", n), 20)
		requireCompleteAnswer(t, prompt, f.streamCompletion(h, fmt.Sprint("path", n), prompt, nil))
	}
	body, err := os.ReadFile(filepath.Join("testdata", "refusals.json"))
	require.NoError(t, err)
	var cases []refusalCase
	require.NoError(t, json.Unmarshal(body, &cases))
	var got strings.Builder
	for _, c := range cases {
		status, response := f.sendRequest(c.Method, f.hosts[0].settings.Listen, c.Path, c.Headers, []byte(c.Body))
		fmt.Fprintf(&got, "%s: %d %s %s\n", c.Name, status, response.Header.Peek(entry.HeaderOutcome), response.Body())
	}
	golden.Equal(t, "refusals.golden", got.String())
}

// TestKilledOwnerLosesNoStreamOfOtherHosts kills the owner of a shard while streams
// run through the other hosts of the fleet. The streams must complete, and another
// host must become the owner.
func TestKilledOwnerLosesNoStreamOfOtherHosts(t *testing.T) {
	f := startFleet(t, smallConfig())
	killed := f.owner("model", "place1", f.hosts...)
	require.NotNil(t, killed)
	var survivors []*host
	for _, h := range f.hosts {
		if h != killed {
			survivors = append(survivors, h)
		}
	}
	var streams sync.WaitGroup
	var started atomic.Int32
	for n, h := range survivors {
		for k := range 3 {
			streams.Go(func() {
				id := fmt.Sprintf("kill-%d-%d", n, k)
				prompt := promptFor(id, 150)
				first := true
				requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, func(int) {
					if first {
						started.Add(1)
						first = false
					}
				}))
			})
		}
	}
	f.eventually("streams started", func() bool { return started.Load() >= 5 })
	killed.signal(syscall.SIGKILL)
	f.eventually("new owner", func() bool { return f.owner("model", "place1", survivors...) != nil })
	for n, h := range survivors {
		prompt := promptFor(fmt.Sprint("after", n), 10)
		requireCompleteAnswer(t, prompt, f.streamCompletion(h, fmt.Sprint("after", n), prompt, nil))
	}
	streams.Wait()
}

// TestGracefulStopCompletesOpenStreams stops the owner of a shard with SIGTERM while
// it relays streams. The streams must complete before the process ends, and another
// host must become the owner.
func TestGracefulStopCompletesOpenStreams(t *testing.T) {
	f := startFleet(t, smallConfig())
	stopping := f.owner("model", "place1", f.hosts...)
	require.NotNil(t, stopping)
	var streams sync.WaitGroup
	var started atomic.Int32
	for k := range 3 {
		streams.Go(func() {
			id := fmt.Sprint("stop-", k)
			prompt := promptFor(id, 300)
			first := true
			requireCompleteAnswer(t, prompt, f.streamCompletion(stopping, id, prompt, func(int) {
				if first {
					started.Add(1)
					first = false
				}
			}))
		})
	}
	f.eventually("streams started", func() bool { return started.Load() == 3 })
	stopping.signal(syscall.SIGTERM)
	require.NoError(t, <-stopping.done)
	streams.Wait()
	f.eventually("new owner", func() bool {
		for _, h := range f.hosts {
			if h != stopping && f.owner("model", "place1", h) != nil {
				return true
			}
		}
		return false
	})
}

// TestBrokenStreamIsResumed breaks all connections to targets in the middle of a
// stream. The caller must receive the complete answer.
func TestBrokenStreamIsResumed(t *testing.T) {
	f := startFleet(t, smallConfig())
	prompt := promptFor("broken", 200)
	connections := 0
	r := f.streamCompletion(f.hosts[0], "broken", prompt, func(tokens int) {
		if tokens == 50 {
			for _, target := range f.targets {
				connections += target.proxy.Break()
			}
		}
	})
	requireCompleteAnswer(t, prompt, r)
	require.Positive(t, connections)
}

// TestSilentConnectionIsReplaced makes all connections to targets silent in the
// middle of a stream. The stream must continue on another connection after the idle
// timeout, and the silent connections must not be used for the next request.
func TestSilentConnectionIsReplaced(t *testing.T) {
	config := smallConfig()
	config.adjustService = func(s *catalog.Service) { s.IdleTimeout.Duration = 500e6 }
	f := startFleet(t, config)
	prompt := promptFor("silent", 200)
	r := f.streamCompletion(f.hosts[0], "silent", prompt, func(tokens int) {
		if tokens == 50 {
			for _, target := range f.targets {
				target.proxy.Silence()
			}
		}
	})
	requireCompleteAnswer(t, prompt, r)
	again := promptFor("silent again", 20)
	requireCompleteAnswer(t, again, f.streamCompletion(f.hosts[0], "again", again, nil))
}

// TestStreamWithoutAnotherTargetEndsIncomplete kills the only target in the middle of
// a stream. The caller must see that the answer is incomplete, and the text received
// until then must be correct.
func TestStreamWithoutAnotherTargetEndsIncomplete(t *testing.T) {
	config := smallConfig()
	config.places, config.hosts, config.engines = 1, 1, 1
	f := startFleet(t, config)
	prompt := promptFor("cut", 400)
	r := f.streamCompletion(f.hosts[0], "cut", prompt, func(tokens int) {
		if tokens == 50 {
			f.targets[0].signal(syscall.SIGKILL)
		}
	})
	require.Equal(t, fasthttp.StatusOK, r.status)
	require.False(t, r.complete)
	require.True(t, strings.HasPrefix(engine.Text(prompt, 0), r.text))
}

// TestOrdersAreRefusedDuringPlatformOutage takes the platform down. Streams must be
// answered, also by a host that starts during the outage. Orders must be refused as
// not run, and must run once after the outage.
func TestOrdersAreRefusedDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, smallConfig())
	f.setPlatformFaults(standin.Faults{Down: true})
	prompt := promptFor("outage", 20)
	requireCompleteAnswer(t, prompt, f.streamCompletion(f.hosts[0], "outage", prompt, nil))
	r := f.sendOrder(f.hosts[0], "refused", "order-refused", "tiles")
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Equal(t, entry.OutcomeNotRun, r.outcome)
	require.Zero(t, f.orderRuns("order-refused"))
	cold := f.addHost()
	f.awaitReady(cold)
	coldPrompt := promptFor("cold", 20)
	requireCompleteAnswer(t, coldPrompt, f.streamCompletion(cold, "cold", coldPrompt, nil))
	f.setPlatformFaults(standin.Faults{})
	f.eventually("order runs after the outage", func() bool {
		return f.sendOrder(f.hosts[0], "late", "order-refused", "tiles").status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.orderRuns("order-refused"))
}

// TestOrderRunsOnceWhenPlatformRepliesAreLost loses the reply of the platform to a
// write that took effect. The order must run once, and a repeat must be answered with
// the stored result.
func TestOrderRunsOnceWhenPlatformRepliesAreLost(t *testing.T) {
	f := startFleet(t, smallConfig())
	for n := range 5 {
		f.setPlatformFaults(standin.Faults{Lose: 1})
		order := fmt.Sprint("lost-", n)
		h := f.hosts[n%len(f.hosts)]
		r := f.sendOrder(h, order, order, "tiles")
		require.Equal(t, fasthttp.StatusOK, r.status, r.text)
		f.eventually("result is stored", func() bool {
			again := f.sendOrder(f.hosts[(n+1)%len(f.hosts)], order+"-again", order, "tiles")
			return again.replayed && again.text == r.text
		})
		require.Equal(t, 1, f.orderRuns(order))
	}
}

// TestOrderRunsThroughPeerWhenPlatformIsUnreachable cuts the link between one host and
// the platform. An order sent to this host must run once by way of a peer, and its key
// must be refused for a different body.
func TestOrderRunsThroughPeerWhenPlatformIsUnreachable(t *testing.T) {
	f := startFleet(t, smallConfig())
	f.proxies["host1-platform"].SetMode(faults.Mode{Cut: true})
	f.eventually("order runs", func() bool {
		return f.sendOrder(f.hosts[0], "via-peer", "order-via-peer", "tiles").status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.orderRuns("order-via-peer"))
	r := f.sendOrder(f.hosts[1], "via-peer-again", "order-via-peer", "other tiles")
	require.Equal(t, fasthttp.StatusUnprocessableEntity, r.status)
	require.Equal(t, entry.OutcomeNotRun, r.outcome)
}

// TestOrderOnBrokenConnectionIsNotRepeated breaks the connection to a target while it
// answers an order. The order may have run, so it must not run again, and repeats must
// be answered with the outcome unknown.
func TestOrderOnBrokenConnectionIsNotRepeated(t *testing.T) {
	f := startFleet(t, smallConfig())
	for _, target := range f.targets {
		if target.service == "desk" {
			target.proxy.SetMode(faults.Mode{Truncate: 1})
		}
	}
	r := f.sendOrder(f.hosts[0], "broken-order", "broken-order", "tiles")
	require.Equal(t, fasthttp.StatusBadGateway, r.status)
	require.Equal(t, entry.OutcomeUnknown, r.outcome)
	for _, target := range f.targets {
		target.proxy.SetMode(faults.Mode{})
	}
	for n := range 3 {
		again := f.sendOrder(f.hosts[n], fmt.Sprint("repeat", n), "broken-order", "tiles")
		require.Equal(t, fasthttp.StatusConflict, again.status)
		require.Equal(t, entry.OutcomeUnknown, again.outcome)
	}
	require.Equal(t, 1, f.orderRuns("broken-order"))
}

// TestPoisonRequestIsRefused sends a request that crashes every engine that runs it.
// It must be refused by all hosts after at most three crashes, and other streams must
// complete.
func TestPoisonRequestIsRefused(t *testing.T) {
	config := smallConfig()
	config.poison, config.engines = poisonWord, 3
	f := startFleet(t, config)
	var streams sync.WaitGroup
	for n, h := range f.hosts {
		streams.Go(func() {
			id := fmt.Sprint("other-", n)
			prompt := promptFor(id, 300)
			requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, nil))
		})
	}
	poison := promptFor(poisonWord, 20)
	f.eventually("poison request refused", func() bool {
		r := f.streamCompletion(f.hosts[0], "poison", poison, nil)
		require.NotEqual(t, fasthttp.StatusOK, r.status)
		return r.code == "poison"
	})
	f.eventually("poison request refused by all hosts", func() bool {
		for n, h := range f.hosts {
			if r := f.streamCompletion(h, fmt.Sprint("poison", n), poison, nil); r.code != "poison" {
				return false
			}
		}
		return true
	})
	require.LessOrEqual(t, f.crashedTargets(), 3)
	streams.Wait()
}

// crashedTargets returns how many targets have ended.
func (f *fleet) crashedTargets() int {
	crashed := 0
	for _, target := range f.targets {
		select {
		case <-target.done:
			crashed++
		default:
		}
	}
	return crashed
}

// TestMessageThatCrashesEnginesIsRefused sends requests whose first message crashes every engine that runs
// them. The rest of each request is new, so none comes twice. After a few of them, all hosts must refuse such
// requests, and requests with another first message must be served.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	config := smallConfig()
	config.poison, config.engines = poisonWord, 9
	f := startFleet(t, config)
	refused := 0
	for n := range 16 {
		h := f.hosts[n%len(f.hosts)]
		if r := f.streamChat(h, fmt.Sprint("poison", n), "you are a "+poisonWord+" now", fmt.Sprint("question ", n)); r.code == "poison" {
			refused++
		}
	}
	crashed := f.crashedTargets()
	t.Logf("%d of 16 refused, %d engines crashed", refused, crashed)
	require.LessOrEqual(t, crashed, 5)
	require.GreaterOrEqual(t, refused, 11)
	f.eventually("another first message is served", func() bool {
		return f.streamChat(f.hosts[0], "sound", "you are a tile now", "question").status == fasthttp.StatusOK
	})
}

// TestPausedOwnerServesAgainAfterTakeover pauses the owner of a shard until another
// host owns it. The other hosts must serve meanwhile, and the paused host must serve
// again once it continues.
func TestPausedOwnerServesAgainAfterTakeover(t *testing.T) {
	f := startFleet(t, smallConfig())
	paused := f.owner("model", "place1", f.hosts...)
	require.NotNil(t, paused)
	paused.signal(syscall.SIGSTOP)
	var others []*host
	for _, h := range f.hosts {
		if h != paused {
			others = append(others, h)
		}
	}
	f.eventually("new owner", func() bool { return f.owner("model", "place1", others...) != nil })
	prompt := promptFor("meanwhile", 20)
	for _, h := range others {
		requireCompleteAnswer(t, prompt, f.streamCompletion(h, "meanwhile", prompt, nil))
	}
	paused.signal(syscall.SIGCONT)
	f.eventually("paused host serves again", func() bool {
		r := f.streamCompletion(paused, "resumed", prompt, nil)
		return r.status == fasthttp.StatusOK && r.complete && r.text == engine.Text(prompt, 0)
	})
}

// TestDrainedTargetGetsNoRequests drains a target. After the change is in force on
// all hosts, no order may run there.
func TestDrainedTargetGetsNoRequests(t *testing.T) {
	f := startFleet(t, smallConfig())
	out, code := f.ctl("drain", "desk1-1")
	require.Zero(t, code, out)
	revision := uint64(2)
	f.eventually("configuration in force on all hosts", func() bool {
		for _, h := range f.hosts {
			if s, ok := f.status(h); !ok || s.Revision < revision {
				return false
			}
		}
		return true
	})
	for n := range 10 {
		r := f.sendOrder(f.hosts[n%len(f.hosts)], fmt.Sprint("drained-", n), fmt.Sprint("drained-", n), "tiles")
		require.Equal(t, fasthttp.StatusOK, r.status, r.text)
	}
	for _, target := range f.targets {
		if target.name == "desk1-1" {
			status, response := f.sendRequest(fasthttp.MethodGet, target.address, "/runs", nil, nil)
			require.Equal(t, fasthttp.StatusOK, status)
			require.Equal(t, "[]", string(response.Body()))
		}
	}
}

// setPlacesPartitioned makes all links between hosts of different places hang, or
// restores them.
func (f *fleet) setPlacesPartitioned(partitioned bool) {
	for n, from := range f.configured {
		for k, to := range f.configured {
			if from.settings.Place != to.settings.Place {
				f.proxies[proxyName(n+1, k+1)].SetMode(faults.Mode{Hang: partitioned})
			}
		}
	}
}

// TestPartitionedPlacesKeepServing makes all links between two places hang. Every host
// must answer streams, changes of the configuration must reach both places, and orders
// must run once the links work again.
func TestPartitionedPlacesKeepServing(t *testing.T) {
	f := startFleet(t, smallConfig())
	f.setPlacesPartitioned(true)
	for round := range 5 {
		for n, h := range f.hosts {
			id := fmt.Sprintf("cut-%d-%d", round, n)
			prompt := promptFor(id, 20)
			requireCompleteAnswer(t, prompt, f.streamCompletion(h, id, prompt, nil))
		}
	}
	out, code := f.ctl("drain", "desk2-1")
	require.Zero(t, code, out)
	f.eventually("configuration in force in both places", func() bool {
		for _, h := range f.hosts {
			if s, ok := f.status(h); !ok || s.Revision < 2 {
				return false
			}
		}
		return true
	})
	f.setPlacesPartitioned(false)
	f.eventually("order runs after the partition", func() bool {
		r := f.sendOrder(f.hosts[1], "healed", "order-healed", "tiles")
		return r.status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.orderRuns("order-healed"))
}

// TestConflictingWritesAreRejected changes one object twice with the same expected
// revision. The second change must be rejected, a change of another object must be
// accepted, and an invalid object must be rejected.
func TestConflictingWritesAreRejected(t *testing.T) {
	f := startFleet(t, smallConfig())
	file := f.writeJSON("team.json", catalog.Team{Weight: 2})
	out, code := f.ctl("put", "--match", "1", "teams", "red", file)
	require.Zero(t, code, out)
	out, code = f.ctl("put", "--match", "1", "teams", "red", file)
	require.Equal(t, 3, code)
	require.Contains(t, out, "teams/red was changed in revision 2")
	out, code = f.ctl("put", "--match", "1", "teams", "blue", file)
	require.Zero(t, code, out)
	out, code = f.ctl("audit", "--json")
	require.Zero(t, code)
	require.Contains(t, out, `"actor": "ana"`)
	bad := f.writeJSON("bad.json", catalog.Target{Service: "nothing", Place: "place1", Slots: 1})
	out, code = f.ctl("put", "targets", "bad", bad)
	require.Equal(t, 4, code)
	require.Contains(t, out, "targets/bad.service")
}
