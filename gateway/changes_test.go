package gateway_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/settings"
)

// change alters the configuration, the settings or the targets while requests are in flight. The test
// calls apply for each round, counted from 0; most changes alternate between two states.
type change struct {
	name  string
	apply func(w *testEnv, round int)
}

// changes are the changes that TestReconfigurationDoesNotAbortRequests applies.
var changes = []change{
	{"routes change to another service and back", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			if round%2 == 0 {
				d.Routes[0].Service, d.Routes[1].Service, d.Routes[2].Service = "plain2", "plain2", "model2"
			}
			d.Services = append(d.Services, configService{Name: "plain2"}, configService{Name: "model2", Engine: d.Services[1].Engine})
		})
	}},
	{"services are renamed", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			if round%2 == 0 {
				d.Routes[0].Service, d.Routes[1].Service, d.Routes[2].Service, d.Routes[3].Service = "plain2", "plain2", "model2", "model2"
				d.Services[0].Name, d.Services[1].Name = "plain2", "model2"
			}
		})
	}},
	{"a route is removed and added again", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			if round%2 == 0 {
				d.Routes = d.Routes[:2]
			}
		})
	}},
	{"a key is removed and added again", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			if round%2 == 0 {
				d.Tenants = d.Tenants[1:]
			}
		})
	}},
	{"timeouts and latency targets change", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			for i := range d.Routes {
				d.Routes[i].Timeout -= 400 * (round % 2)
				d.Routes[i].LatencyGoal += 100 * (round % 3)
			}
		})
	}},
	{"slots and memory change", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			d.Services[1].Engine = &configEngine{Slots: 1 + 4*(round%3), TokenCapacity: 2000 + 50000*(round%2)}
		})
	}},
	{"350 routes are added", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) {
			for n := range 350 * (1 - round%2) {
				added := d.Routes[n%4]
				added.Name, added.Prefix = fmt.Sprint("more", n), fmt.Sprintf("/more%d/", n)
				d.Routes = append(d.Routes, added)
			}
		})
	}},
	{"idle timeout changes", func(w *testEnv, round int) {
		w.configureRelaxed(func(d *configDocument) { d.Limits.IdleTimeout = 2000 + 4000*(round%2) })
	}},
	{"settings are reloaded", func(w *testEnv, round int) {
		s := w.ownSettings
		s.FixedRetries, s.RetryWindow = settings.OptionalNumber(5+round), settings.OptionalDuration{Duration: time.Duration(8+round%2) * time.Second}
		s.Grace = settings.OptionalDuration{Duration: time.Duration(3+round%2) * time.Second}
		require.NoError(w.t, w.gateway.Reload(s))
	}},
	{"targets drain and become ready again", func(w *testEnv, round int) {
		w.putTarget(w.targets[round%2], []string{"draining", "ready"}[round/2%2])
		w.putTarget(w.targets[2+round%2], []string{"draining", "ready"}[round/2%2])
	}},
	{"a target changes its service", func(w *testEnv, round int) {
		service := []string{"model2", "model"}[round%2]
		w.putTarget(&scriptedTarget{id: "c", service: service, address: w.targets[2].address}, "ready")
	}},
	{"a target changes its address", func(w *testEnv, round int) {
		w.putTarget(&scriptedTarget{id: "d", service: "model", address: w.targets[3-round%2].address}, "ready")
	}},
}

// A change of the configuration, the settings or the targets must not abort requests that are already
// waiting for a target, running or streaming: each one gets a complete answer or a refusal.
func TestReconfigurationDoesNotAbortRequests(t *testing.T) {
	for i, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(5, uint64(i)))
			w := newTestEnv(t, newTargetsForChanges(t)...)
			w.configureRelaxed(func(*configDocument) {})
			w.waitUntil(func() bool { return w.logContains(`"revision":2`) })
			var stopped atomic.Bool
			var wg sync.WaitGroup
			var mu sync.Mutex
			outcomes := map[string]int{}
			const callers = 40
			for n := range callers {
				seed := random.Uint64()
				wg.Go(func() {
					for r := 0; !stopped.Load(); r++ {
						path := []string{"/stream/x", "/stream/x", "/once/x", "/lookup/x", "/order/x"}[n%5]
						outcome := w.outcomeOf(path, fmt.Sprintf("r%d-%d", n, r), &seed)
						mu.Lock()
						outcomes[outcome]++
						mu.Unlock()
					}
				})
			}
			for round := range 16 {
				time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
				c.apply(w, round)
			}
			stopped.Store(true)
			wg.Wait()
			t.Log(outcomes)
			for outcome := range outcomes {
				require.Contains(t, []string{"whole", "503", "429", "401", "404", unsent, pastDeadline}, outcome, "%v %s", outcomes, w.failedAttemptLines())
			}
			require.Positive(t, outcomes["whole"])
		})
	}
}

// outcomeOf sends a request on a new connection and returns how it ended. After a refusal it sleeps for
// a pseudorandom time, for which it advances the seed.
func (w *testEnv) outcomeOf(path, id string, seed *uint64) string {
	began := time.Now()
	r := w.do(call{path: path, key: "key1", id: id})
	var opErr *net.OpError
	switch {
	case errors.As(r.err, &opErr) && opErr.Op == "dial":
		return unsent
	case (r.err != nil || r.status == fasthttp.StatusGatewayTimeout) && time.Since(began) > minTimeouts[path]:
		return pastDeadline
	case r.err != nil:
		return "cut: " + r.err.Error()
	case r.status != fasthttp.StatusOK:
		*seed = *seed*6364136223846793005 + 1442695040888963407
		time.Sleep(time.Duration(*seed>>32%40) * time.Millisecond)
		return fmt.Sprint(r.status)
	case r.body == wantEvents(6) || r.body == "done "+id:
		return "whole"
	}
	return "incomplete: " + r.body
}

// newTargetsForChanges starts two targets for each of the services plain and model, and one for each of
// plain2 and model2.
func newTargetsForChanges(t *testing.T) []*scriptedTarget {
	script := func(a *arrival) bool {
		if uri := string(a.request.RequestURI()); uri == "/lookup/x" || uri == "/order/x" {
			time.Sleep(30 * time.Millisecond)
			return answerOK(a)
		}
		first := 0
		if last := a.header("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
		}
		a.begin()
		for n := first + 1; n <= 6; n++ {
			time.Sleep(40 * time.Millisecond)
			a.events(n, n)
		}
		a.end()
		return true
	}
	var targets []*scriptedTarget
	for i, service := range []string{"plain", "plain", "model", "model", "plain2", "model2"} {
		targets = append(targets, newScriptedTarget(t, string(rune('a'+i)), service, script))
	}
	return targets
}

// failedAttemptLines returns the log lines of failed attempts.
func (w *testEnv) failedAttemptLines() string {
	var lines strings.Builder
	for line := range strings.Lines(w.logs.String()) {
		if strings.Contains(line, `"event":"attempt-failed"`) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// Outcomes that a busy machine causes also without a change, and that the test therefore accepts.
const (
	unsent       = "not sent"          // the connection was not established within a second
	pastDeadline = "past its deadline" // took longer than the minimum timeout of its path
)

// minTimeouts holds the shortest timeout that any of the changes configures for each path.
var minTimeouts = map[string]time.Duration{
	"/stream/x": 4600 * time.Millisecond, "/once/x": 4600 * time.Millisecond,
	"/lookup/x": 1600 * time.Millisecond, "/order/x": 1600 * time.Millisecond,
}

// configureRelaxed applies a change to the configuration, and sets the latency target and the allowed
// pause of all routes so high that no target counts as silent even on a busy machine.
func (w *testEnv) configureRelaxed(change func(d *configDocument)) {
	w.configure(func(d *configDocument) {
		for i := range d.Routes {
			d.Routes[i].LatencyGoal, d.Routes[i].GapGoal = 1500, 1000
		}
		change(d)
	})
}

// The log line of a request states the version of the configuration when the request arrived and when
// it ended, so that an operator sees that the configuration changed in between.
func TestRequestLogHasConfigVersionsAtArrivalAndEnd(t *testing.T) {
	release := make(chan struct{})
	w := newTestEnv(t, newScriptedTarget(t, "a", "plain", func(a *arrival) bool {
		<-release
		return answerOK(a)
	}))
	conn := w.dial("")
	sendGet(t, conn, "/order/x", "r1")
	w.waitUntil(func() bool { return len(w.targets[0].received()) == 1 })
	w.configure(nil)
	w.waitUntil(func() bool { return w.logContains(`"revision":2,"routes"`) })
	close(release)
	require.Equal(t, fasthttp.StatusOK, readResult(bufio.NewReader(conn)).status)
	w.waitUntil(func() bool { return w.logContains(`"arrived":1,"revision":2`) })
}
