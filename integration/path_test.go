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

// requireWhole checks that a stream's answer is complete and its own.
func requireWhole(t *testing.T, prompt string, r result) {
	t.Helper()
	require.Equal(t, fasthttp.StatusOK, r.status, "outcome %s code %s error %v", r.outcome, r.code, r.err)
	require.True(t, r.clean, "error %v", r.err)
	require.Equal(t, engine.Text(prompt, 0), r.text)
}

// refusalCase is one request that is refused.
type refusalCase struct {
	Name    string            `json:"name"`
	Method  string            `json:"method"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
}

func TestPathAndRefusals(t *testing.T) {
	f := start(t, smallPlan())
	for n, h := range f.hosts {
		prompt := promptOf(fmt.Sprint("path", n), 20)
		requireWhole(t, prompt, f.stream(h, fmt.Sprint("path", n), prompt, nil))
	}
	body, err := os.ReadFile(filepath.Join("testdata", "refusals.json"))
	require.NoError(t, err)
	var cases []refusalCase
	require.NoError(t, json.Unmarshal(body, &cases))
	var got strings.Builder
	for _, c := range cases {
		status, response := f.http(c.Method, f.hosts[0].settings.Listen, c.Path, c.Headers, []byte(c.Body))
		fmt.Fprintf(&got, "%s: %d %s %s\n", c.Name, status, response.Header.Peek(entry.HeaderOutcome), response.Body())
	}
	golden.Equal(t, "refusals.golden", got.String())
}

func TestKilledHost(t *testing.T) {
	f := start(t, smallPlan())
	victim := f.owner("model", "place1", f.hosts...)
	require.NotNil(t, victim)
	var survivors []*host
	for _, h := range f.hosts {
		if h != victim {
			survivors = append(survivors, h)
		}
	}
	var open sync.WaitGroup
	var begun atomic.Int32
	for n, h := range survivors {
		for k := range 3 {
			open.Go(func() {
				id := fmt.Sprintf("kill-%d-%d", n, k)
				prompt := promptOf(id, 150)
				first := true
				requireWhole(t, prompt, f.stream(h, id, prompt, func(int) {
					if first {
						begun.Add(1)
						first = false
					}
				}))
			})
		}
	}
	f.eventually("streams begun", func() bool { return begun.Load() >= 5 })
	victim.signal(syscall.SIGKILL)
	f.eventually("new owner", func() bool { return f.owner("model", "place1", survivors...) != nil })
	for n, h := range survivors {
		prompt := promptOf(fmt.Sprint("after", n), 10)
		requireWhole(t, prompt, f.stream(h, fmt.Sprint("after", n), prompt, nil))
	}
	open.Wait()
}

func TestPlannedStopCutsNothing(t *testing.T) {
	f := start(t, smallPlan())
	leaving := f.owner("model", "place1", f.hosts...)
	require.NotNil(t, leaving)
	var open sync.WaitGroup
	var begun atomic.Int32
	for k := range 3 {
		open.Go(func() {
			id := fmt.Sprint("stop-", k)
			prompt := promptOf(id, 300)
			first := true
			requireWhole(t, prompt, f.stream(leaving, id, prompt, func(int) {
				if first {
					begun.Add(1)
					first = false
				}
			}))
		})
	}
	f.eventually("streams begun", func() bool { return begun.Load() == 3 })
	leaving.signal(syscall.SIGTERM)
	require.NoError(t, <-leaving.done)
	open.Wait()
	f.eventually("new owner", func() bool {
		for _, h := range f.hosts {
			if h != leaving && f.owner("model", "place1", h) != nil {
				return true
			}
		}
		return false
	})
}

func TestBrokenStreamResumes(t *testing.T) {
	f := start(t, smallPlan())
	prompt := promptOf("broken", 200)
	broken := 0
	r := f.stream(f.hosts[0], "broken", prompt, func(tokens int) {
		if tokens == 50 {
			for _, target := range f.targets {
				broken += target.proxy.Break()
			}
		}
	})
	requireWhole(t, prompt, r)
	require.Positive(t, broken)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	p := smallPlan()
	p.service = func(s *catalog.Service) { s.IdleTimeout.Duration = 500e6 }
	f := start(t, p)
	prompt := promptOf("silent", 200)
	r := f.stream(f.hosts[0], "silent", prompt, func(tokens int) {
		if tokens == 50 {
			for _, target := range f.targets {
				target.proxy.Silence()
			}
		}
	})
	requireWhole(t, prompt, r)
	again := promptOf("silent again", 20)
	requireWhole(t, again, f.stream(f.hosts[0], "again", again, nil))
}

func TestStreamThatCannotBeCompletedEndsBroken(t *testing.T) {
	p := smallPlan()
	p.places, p.hosts, p.engines = 1, 1, 1
	f := start(t, p)
	prompt := promptOf("cut", 400)
	r := f.stream(f.hosts[0], "cut", prompt, func(tokens int) {
		if tokens == 50 {
			f.targets[0].signal(syscall.SIGKILL)
		}
	})
	require.Equal(t, fasthttp.StatusOK, r.status)
	require.False(t, r.clean)
	require.True(t, strings.HasPrefix(engine.Text(prompt, 0), r.text))
}

func TestPlatformOutage(t *testing.T) {
	f := start(t, smallPlan())
	f.platformFaults(standin.Faults{Down: true})
	prompt := promptOf("outage", 20)
	requireWhole(t, prompt, f.stream(f.hosts[0], "outage", prompt, nil))
	r := f.order(f.hosts[0], "refused", "order-refused", "tiles")
	require.Equal(t, fasthttp.StatusServiceUnavailable, r.status)
	require.Equal(t, entry.OutcomeNotRun, r.outcome)
	require.Zero(t, f.ranOrder("order-refused"))
	cold := f.addHost()
	f.ready(cold)
	cooled := promptOf("cold", 20)
	requireWhole(t, cooled, f.stream(cold, "cold", cooled, nil))
	f.platformFaults(standin.Faults{})
	f.eventually("order runs after the outage", func() bool {
		return f.order(f.hosts[0], "late", "order-refused", "tiles").status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.ranOrder("order-refused"))
}

func TestLostRepliesOfTheTable(t *testing.T) {
	f := start(t, smallPlan())
	for n := range 5 {
		f.platformFaults(standin.Faults{Lose: 1})
		order := fmt.Sprint("lost-", n)
		h := f.hosts[n%len(f.hosts)]
		r := f.order(h, order, order, "tiles")
		require.Equal(t, fasthttp.StatusOK, r.status, r.text)
		f.eventually("result kept", func() bool {
			again := f.order(f.hosts[(n+1)%len(f.hosts)], order+"-again", order, "tiles")
			return again.replay && again.text == r.text
		})
		require.Equal(t, 1, f.ranOrder(order))
	}
}

func TestOrderThroughPeerWhereThePlatformIsOutOfReach(t *testing.T) {
	f := start(t, smallPlan())
	f.links["host1-platform"].Set(faults.Mode{Cut: true})
	f.eventually("order runs", func() bool {
		return f.order(f.hosts[0], "via-peer", "order-via-peer", "tiles").status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.ranOrder("order-via-peer"))
	r := f.order(f.hosts[1], "via-peer-again", "order-via-peer", "other tiles")
	require.Equal(t, fasthttp.StatusUnprocessableEntity, r.status)
	require.Equal(t, entry.OutcomeNotRun, r.outcome)
}

func TestOrderOnABrokenConnectionIsNotRepeated(t *testing.T) {
	f := start(t, smallPlan())
	for _, target := range f.targets {
		if target.service == "desk" {
			target.proxy.Set(faults.Mode{Truncate: 1})
		}
	}
	r := f.order(f.hosts[0], "broken-order", "broken-order", "tiles")
	require.Equal(t, fasthttp.StatusBadGateway, r.status)
	require.Equal(t, entry.OutcomeUnknown, r.outcome)
	for _, target := range f.targets {
		target.proxy.Set(faults.Mode{})
	}
	for n := range 3 {
		again := f.order(f.hosts[n], fmt.Sprint("repeat", n), "broken-order", "tiles")
		require.Equal(t, fasthttp.StatusConflict, again.status)
		require.Equal(t, entry.OutcomeUnknown, again.outcome)
	}
	require.Equal(t, 1, f.ranOrder("broken-order"))
}

func TestPoisonIsRefused(t *testing.T) {
	p := smallPlan()
	p.poison, p.engines = poisonWord, 3
	f := start(t, p)
	var open sync.WaitGroup
	for n, h := range f.hosts {
		open.Go(func() {
			id := fmt.Sprint("innocent-", n)
			prompt := promptOf(id, 300)
			requireWhole(t, prompt, f.stream(h, id, prompt, nil))
		})
	}
	poison := promptOf(poisonWord, 20)
	f.eventually("poison refused", func() bool {
		r := f.stream(f.hosts[0], "poison", poison, nil)
		require.NotEqual(t, fasthttp.StatusOK, r.status)
		return r.code == "poison"
	})
	f.eventually("poison refused everywhere", func() bool {
		for n, h := range f.hosts {
			if r := f.stream(h, fmt.Sprint("poison", n), poison, nil); r.code != "poison" {
				return false
			}
		}
		return true
	})
	lost := 0
	for _, target := range f.targets {
		select {
		case <-target.done:
			lost++
		default:
		}
	}
	require.LessOrEqual(t, lost, 3)
	open.Wait()
}

func TestPausedOwnerDoesNotActLate(t *testing.T) {
	f := start(t, smallPlan())
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
	prompt := promptOf("meanwhile", 20)
	for _, h := range others {
		requireWhole(t, prompt, f.stream(h, "meanwhile", prompt, nil))
	}
	paused.signal(syscall.SIGCONT)
	f.eventually("paused host serves again", func() bool {
		r := f.stream(paused, "resumed", prompt, nil)
		return r.status == fasthttp.StatusOK && r.clean && r.text == engine.Text(prompt, 0)
	})
}

func TestLeavingTargetGetsNoWork(t *testing.T) {
	f := start(t, smallPlan())
	out, code := f.ctl("drain", "desk1-1")
	require.Zero(t, code, out)
	revision := uint64(2)
	f.eventually("configuration in force everywhere", func() bool {
		for _, h := range f.hosts {
			if s, ok := f.status(h); !ok || s.Revision < revision {
				return false
			}
		}
		return true
	})
	for n := range 10 {
		r := f.order(f.hosts[n%len(f.hosts)], fmt.Sprint("drained-", n), fmt.Sprint("drained-", n), "tiles")
		require.Equal(t, fasthttp.StatusOK, r.status, r.text)
	}
	for _, target := range f.targets {
		if target.name == "desk1-1" {
			status, response := f.http(fasthttp.MethodGet, target.address, "/runs", nil, nil)
			require.Equal(t, fasthttp.StatusOK, status)
			require.Equal(t, "[]", string(response.Body()))
		}
	}
}

// cutPlaces cuts or heals all links between hosts of different places.
func (f *fleet) cutPlaces(is bool) {
	for n, from := range f.planned {
		for k, to := range f.planned {
			if from.settings.Place != to.settings.Place {
				f.links[linkName(n+1, k+1)].Set(faults.Mode{Hang: is})
			}
		}
	}
}

func TestPlacesCutFromEachOther(t *testing.T) {
	f := start(t, smallPlan())
	f.cutPlaces(true)
	for round := range 5 {
		for n, h := range f.hosts {
			id := fmt.Sprintf("cut-%d-%d", round, n)
			prompt := promptOf(id, 20)
			requireWhole(t, prompt, f.stream(h, id, prompt, nil))
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
	f.cutPlaces(false)
	f.eventually("places together again", func() bool {
		r := f.order(f.hosts[1], "healed", "order-healed", "tiles")
		return r.status == fasthttp.StatusOK
	})
	require.Equal(t, 1, f.ranOrder("order-healed"))
}

func TestOperatorsInConflict(t *testing.T) {
	f := start(t, smallPlan())
	file := f.write("team.json", catalog.Team{Weight: 2})
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
	bad := f.write("bad.json", catalog.Target{Service: "nothing", Place: "place1", Slots: 1})
	out, code = f.ctl("put", "targets", "bad", bad)
	require.Equal(t, 4, code)
	require.Contains(t, out, "targets/bad.service")
}
