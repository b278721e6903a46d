//go:build review

// Command 1 shows that a stream in which one event has a spoiled number loses that event and still ends as complete.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiachute/cassiachute/review/kit"
)

const (
	events     = 10 // of each stream
	streams    = 600
	callers    = 12
	spoilEvery = 50 // of the answers of the faulty replica: 2 in 100
	step       = 4 * time.Millisecond
	deadline   = 10 * time.Second
)

// fault is what the faulty replica writes in place of the first bytes of an event.
type fault struct {
	event int
	wrong string
}

// spoiled are the faults of the faulty replica, in turn. The last one turns the number 5 into 8.
var spoiled = []fault{{5, "xyzzy"}, {1, "xyzzy"}, {events, "xyzzy"}, {5, "id: 8"}}

func main() { os.Exit(kit.Main(run)) }

// run returns whether the rule was broken.
func run(w *kit.World, trouble bool) (bool, error) {
	var answers, faults atomic.Int64
	answer := func(c *kit.Call, faulty bool) bool {
		spoil := fault{}
		if faulty && answers.Add(1)%spoilEvery == 0 {
			spoil = spoiled[int(faults.Add(1)-1)%len(spoiled)]
			w.Record.Add("replica %s runs %s %s and begins event %d with %q", c.Replica.ID, c.Request.URL.Path, c.ID, spoil.event, spoil.wrong)
		}
		c.BeginStream()
		for n := c.LastEvent() + 1; n <= events; n++ {
			text := kit.Event(n)
			if n == spoil.event {
				text = spoil.wrong + text[len(spoil.wrong):]
			}
			c.Chunk(text)
			time.Sleep(step)
		}
		return c.Write("0\r\n\r\n")
	}
	for id, faulty := range map[string]bool{"sound": false, "faulty": trouble} {
		if _, err := w.StartReplica(id, kit.ServiceModel, 128, func(c *kit.Call) bool { return answer(c, faulty) }); err != nil {
			return false, err
		}
	}
	if err := w.StartGateways(2); err != nil {
		return false, err
	}
	var broken, complete, cut atomic.Int64
	var next atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for n := next.Add(1); n <= streams; n = next.Add(1) {
				path, id := []string{"/full/", "/ask/"}[n%2], fmt.Sprintf("stream-%d", n)
				a := ask(w.Gateways[n%2], path, id)
				switch {
				case !a.Complete || a.Status != 200:
					cut.Add(1)
					w.Record.Add("caller of %s%s got status %d, which did not end as complete: %v", path, id, a.Status, a.Err)
				case lacksPiece(a.Body):
					broken.Add(1)
					w.Record.Add("BROKEN: caller of %s%s got a complete answer with the events %s", path, id, numbers(a.Body))
				default:
					complete.Add(1)
				}
			}
		})
	}
	wg.Wait()
	w.Record.Add("%d streams complete, %d cut, %d complete without a piece; %d answers were spoiled", complete.Load(), cut.Load(), broken.Load(), faults.Load())
	if trouble && faults.Load() == 0 {
		return false, fmt.Errorf("no answer was spoiled")
	}
	return broken.Load() > 0, nil
}

// ask sends one request and returns its answer.
func ask(g *kit.Gateway, path, id string) kit.Answer {
	c, err := kit.Dial(g)
	if err != nil {
		return kit.Answer{Err: err}
	}
	defer c.Close()
	return c.Do(kit.RequestText("POST", path+"x", id, kit.ModelLines(100, events, id), "prompt", deadline), deadline)
}

// lacksPiece returns whether the data of an event is missing in a body, under whatever number.
func lacksPiece(body string) bool {
	for n := 1; n <= events; n++ {
		if !strings.Contains(body, fmt.Sprintf("data: piece %d\n", n)) {
			return true
		}
	}
	return false
}

// numbers returns the numbers of the events in a body.
func numbers(body string) string {
	var list []string
	for line := range strings.Lines(body) {
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			list = append(list, strings.TrimSpace(number))
		}
	}
	return strings.Join(list, " ")
}
