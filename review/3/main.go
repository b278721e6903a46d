//go:build review

// Command 3 shows that a stream without a length or chunks, which is reset by the crash of its replica while the gateway
// is frozen, ends as complete.
package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiachute/cassiachute/review/kit"
)

const (
	replicaCount = 6 // one of them crashes: 0.17
	gatewayCount = 3 // one of them is frozen
	promptTokens = 5000
	events       = 30 // of each stream
	pause        = 200 * time.Millisecond
	streams      = 24
	freezeAfter  = 2 * time.Second
	freezeTime   = 4 * time.Second
	crashDelay   = 20 * time.Millisecond // between the freeze and the crash
	deadline     = 15 * time.Second
)

func main() { os.Exit(kit.Main(run)) }

// answer writes a stream that ends with its connection.
func answer(c *kit.Call) bool {
	c.BeginUnframedStream()
	for n := c.LastEvent() + 1; n <= events; n++ {
		if !c.Write(kit.Event(n)) {
			return false
		}
		time.Sleep(pause)
	}
	return false
}

// run returns whether the rule was broken.
func run(w *kit.World, trouble bool) (bool, error) {
	var replicas []*kit.Replica
	for n := range replicaCount {
		r, err := w.StartReplica(fmt.Sprintf("replica-%d", n+1), kit.ServiceModel, 128, answer)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := w.StartGateways(gatewayCount); err != nil {
		return false, err
	}
	frozen := w.Gateways[0]
	var broken, complete, cut atomic.Int64
	var wg sync.WaitGroup
	for n := range streams {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * pause / streams)
			id := fmt.Sprintf("stream-%d", n)
			w.Record.Add("caller sends /full/%s", id)
			a := ask(frozen, "/full/", id)
			count := strings.Count(a.Body, "id: ")
			switch {
			case a.Status != 200 || !a.Complete:
				cut.Add(1)
				w.Record.Add("caller of %s got status %d and %d events, and sees that the answer broke off: %v", id, a.Status, count, a.Err)
			case count < events:
				broken.Add(1)
				w.Record.Add("BROKEN: caller of %s got a complete answer with %d of %d events", id, count, events)
			default:
				complete.Add(1)
				w.Record.Add("caller of %s got all %d events", id, count)
			}
		})
	}
	if trouble {
		time.Sleep(freezeAfter)
		only := os.Getenv("ONLY") // one of the two disruptions, to see that it alone does no harm
		if only != "crash" {
			w.Record.Add("%s is frozen", frozen.Name)
			frozen.Signal(syscall.SIGSTOP)
		}
		time.Sleep(crashDelay)
		if only != "freeze" {
			r := busiest(replicas)
			w.Record.Add("%s crashes after %d runs: its connections are reset", r.ID, r.Runs())
			r.Crash()
		}
		time.Sleep(freezeTime - crashDelay)
		frozen.Signal(syscall.SIGCONT)
		w.Record.Add("%s goes on", frozen.Name)
	}
	wg.Wait()
	w.Record.Add("%d streams whole, %d seen to break off, %d complete without all events", complete.Load(), cut.Load(), broken.Load())
	return broken.Load() > 0, nil
}

// busiest returns the replica with the most runs.
func busiest(replicas []*kit.Replica) *kit.Replica {
	return slices.MaxFunc(replicas, func(a, b *kit.Replica) int { return cmp.Compare(a.Runs(), b.Runs()) })
}

// ask sends one request and returns its answer.
func ask(g *kit.Gateway, path, id string) kit.Answer {
	c, err := kit.Dial(g)
	if err != nil {
		return kit.Answer{Err: err}
	}
	defer c.Close()
	return c.Do(kit.RequestText("POST", path+"x", id, kit.ModelLines(promptTokens, events, id), "prompt", deadline), deadline+time.Second)
}
