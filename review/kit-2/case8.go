package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	hangups      = 3                       // times that the process gets SIGHUP
	streamsEach  = 10                      // streams that are sent after each SIGHUP
	streamEvents = 12                      // events of each stream
	silenceAfter = 4                       // events after which a replica falls silent
	silence      = 1550 * time.Millisecond // for which a sound replica is silent in a stream
	lateRefusal  = 400 * time.Millisecond  // for which a full replica is silent before it turns a request away
	eventPause   = 50 * time.Millisecond
	hangupPause  = 8 * time.Second // from one SIGHUP to the next
)

// case8 sends SIGHUP to one of three processes and then streams. The replica that has a stream falls silent for a moment and goes on,
// and the other one is full. Each stream must come to its end.
func case8(trouble bool) bool {
	w := newWorld(3, nil)
	g := w.gateways[0] // the one of three that gets SIGHUP and the streams
	var full atomic.Bool
	var mu sync.Mutex
	first := map[string]string{} // by request, the replica that has it
	stream := func(name string) func(a *arrival) bool {
		return func(a *arrival) bool {
			after := a.request.Header.Get("Last-Event-Id")
			mu.Lock()
			owner, known := first[a.id]
			if !known {
				first[a.id] = name
			}
			mu.Unlock()
			if known && full.Load() {
				time.Sleep(lateRefusal)
				note("replica %s is full: turns %s away, which %s has (Last-Event-Id %q)", name, a.id, owner, after)
				_, err := fprintf(a.conn, "HTTP/1.1 503 Service Unavailable\r\n{attempt}: %s\r\n{notrun}: 1\r\nContent-Length: 0\r\n\r\n", a.id)
				return err == nil
			}
			begin := 1
			fmt.Sscan(after, &begin)
			if after != "" {
				begin++
			}
			note("replica %s runs %s from event %d", name, a.id, begin)
			a.beginStream()
			for n := begin; n <= streamEvents; n++ {
				if n == begin+silenceAfter && full.Load() {
					time.Sleep(silence)
				}
				if err := a.event(n); err != nil {
					note("replica %s: %s was cut by its caller before event %d", name, a.id, n)
					return false
				}
				time.Sleep(eventPause)
			}
			a.endStream()
			note("replica %s wrote %s to its end", name, a.id)
			return true
		}
	}
	newReplica(w.store, "i-model-1", "model", "z-a", "127.0.41.1:0", stream("i-model-1"))
	newReplica(w.store, "i-model-2", "model", "z-a", "127.0.41.2:0", stream("i-model-2"))
	time.Sleep(2500 * time.Millisecond) // until the process knows the replicas
	send := func(name string) int {
		var wg sync.WaitGroup
		var cut atomic.Int64
		for i := range streamsEach {
			wg.Go(func() {
				q := request{
					method: "POST", path: "/full/1", id: sprintf("%s-%d", name, i), key: teamKey, deadline: 15000, body: "prompt",
					extra: sprintf("X-Model: m\r\n{tokens}: 600,100\r\n{parts}: 1:200,%x:400\r\n", 1000+i),
				}
				r := q.do(g.front)
				events := strings.Count(r.body, "\n\n")
				note("stream %s status=%d events=%d of %d took=%dms err=%v", q.id, r.status, events, streamEvents, r.took.Milliseconds(), r.err)
				if r.err != nil { // the connection ended without a complete answer
					cut.Add(1)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		return int(cut.Load())
	}
	if cut := send("before"); cut > 0 {
		note("%d streams are cut before anything happened", cut)
		cleanUp()
		os.Exit(2)
	}
	full.Store(trouble)
	held := true
	for n := range hangups {
		g.settings["fixed"] = fmt.Sprint(54 + n + 1)
		g.writeSettings()
		g.signal(syscall.SIGHUP)
		note("SIGHUP %d", n+1)
		time.Sleep(200 * time.Millisecond)
		if cut := send(sprintf("hup%d", n+1)); cut > 0 {
			note("BROKEN LOST: %d of %d streams that were sent within 0.5 s of SIGHUP %d ended without a complete answer", cut, streamsEach, n+1)
			held = false
		}
		time.Sleep(hangupPause / 2)
	}
	return held
}
