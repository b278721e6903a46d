package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	teamKey = "key-of-team1-0001" // a key of team1

	crowdTime    = 85 * time.Second // longest time for which the crowd comes
	calmTime     = 15 * time.Second // time of a run without the crowd
	crowdOpen    = 610              // clients of the crowd that stop short of the end of their body at the same time
	crowdWorkers = 8                // connections that are opened at the same time
	enoughBroken = 3                // wrong answers after which the case ends
)

// halfSent is a client of the crowd that has sent its order but for the end of the body.
type halfSent struct {
	id   string
	conn net.Conn
}

// crowd are clients that all send an order with a chunked body, stop short of its end and stay open.
type crowd struct {
	front string
	judge func(r result)
	over  func() bool

	mu      sync.Mutex
	waiting []halfSent // the oldest first
	pending sync.WaitGroup

	opened                            atomic.Int64
	finished, served, refused, closed atomic.Int64
}

// come opens connections, one after the other, until the case is over.
func (c *crowd) come() {
	for !c.over() {
		conn, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		h := halfSent{id: sprintf("crowd-%d", c.opened.Add(1)), conn: conn}
		fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: svc.example\r\n{attempt}: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 1500\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n", h.id, teamKey)
		if due, ok := c.add(h); ok {
			c.pending.Add(1)
			go c.finish(due)
		}
	}
}

// add adds a client. Once there are enough, it takes out the oldest, which is to send the end of its body.
func (c *crowd) add(h halfSent) (halfSent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, h)
	if len(c.waiting) <= crowdOpen {
		return halfSent{}, false
	}
	due := c.waiting[0]
	c.waiting = c.waiting[1:]
	return due, true
}

// finish sends the end of an order and reads the answer.
func (c *crowd) finish(h halfSent) {
	defer c.pending.Done()
	defer h.conn.Close()
	c.finished.Add(1)
	began := time.Now()
	_ = h.conn.SetDeadline(began.Add(3 * time.Second))
	_, _ = io.WriteString(h.conn, "0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(h.conn), nil)
	if err != nil {
		c.closed.Add(1)
		return
	}
	body, err := io.ReadAll(response.Body)
	r := result{id: h.id, status: response.StatusCode, head: response.Header, body: string(body), err: err, took: time.Since(began)}
	c.judge(r)
	if r.status == http.StatusOK {
		c.served.Add(1)
		return
	}
	c.refused.Add(1)
}

// leave closes the connections that are still open.
func (c *crowd) leave() {
	c.pending.Wait()
	for _, h := range c.waiting {
		_ = h.conn.Close()
	}
}

// case6 lets a crowd of clients with unfinished bodies come to one of two processes. No client may get a success that
// lacks the signature of a replica.
func case6(trouble bool) bool {
	w := newWorld(2, map[string]any{"memory": "144", "fixed": "190"})
	answer := func(a *arrival) bool { return a.whole(http.StatusOK, "done "+a.id) }
	replicas := []*replica{
		newReplica(w.store, "i-desk-1", "desk", "z-a", "127.0.40.1:0", answer),
		newReplica(w.store, "i-desk-2", "desk", "z-b", "127.0.40.2:0", answer),
	}
	time.Sleep(2500 * time.Millisecond) // until the processes know the replicas
	front := w.gateways[0].front
	var broken atomic.Int64
	judge := func(r result) {
		if r.status/100 == 2 && r.head.Get(names["seal"]) != sealOf(r.id) {
			broken.Add(1)
			note("BROKEN MIXED: a success without the signature of a replica: %s", r)
		}
	}
	end := time.Now().Add(crowdTime)
	if !trouble {
		end = time.Now().Add(calmTime)
	}
	over := func() bool { return time.Now().After(end) || broken.Load() >= enoughBroken }
	c := &crowd{front: front, judge: judge, over: over}
	var wg sync.WaitGroup
	for n := range 4 { // ordinary callers
		wg.Go(func() {
			for i := 0; !over(); i++ {
				q := request{
					method: "POST", path: "/orders/1", id: sprintf("ordinary-%d-%d", n, i), key: teamKey, deadline: 1500, body: "order",
					wait: 3 * time.Second,
				}
				r := q.do(front)
				judge(r)
				note("ordinary %s", r)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for range crowdWorkers {
		if trouble {
			wg.Go(c.come)
		}
	}
	wg.Wait()
	c.leave()
	note("crowd: %d opened a connection, %d sent the end of their body, of these %d got 200, %d another status, %d no answer",
		c.opened.Load(), c.finished.Load(), c.served.Load(), c.refused.Load(), c.closed.Load())
	ran := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.list() {
			ran[a.id] = true
		}
	}
	note("the replicas ran %d orders", len(ran))
	for _, id := range brokenIDs() {
		note("order %s ran at a replica: %v", id, ran[id])
	}
	note("the process lives: %v", w.gateways[0].alive())
	return broken.Load() == 0
}
