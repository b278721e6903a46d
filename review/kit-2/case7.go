package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	otherKey = "key-of-team2-0001" // the key of team2

	greyTimes    = 4               // times that the replicas of the desk are grey
	greyTime     = 4 * time.Second // how long each time
	greyPause    = 9 * time.Second // from one time to the next
	greyShare    = 0.45            // of their requests fail meanwhile
	minError     = 16 << 10        // least bytes of a failure of a replica
	maxError     = 256 << 10       // most bytes of one
	lookPeriod   = 7 * time.Millisecond
	touchTime    = 3 * time.Second  // contactMs
	fairTime     = 10 * time.Second // in which shares are compared, with no disruption
	askPeriod    = 100 * time.Millisecond
	askTokens    = 6610  // prompt tokens of each stream
	largeBody    = 40000 // bytes of the body of a request of team1
	smallBody    = 2000  // the same for team2
	receiptBytes = 20000 // answer to an order
	orderCount   = 10
	calmSeconds  = 6 // of the rule
	spared       = 3 // requests that the rule spares
)

// tenantSecond is what a tenant asked and got in one second.
type tenantSecond struct{ asked, begun, refused int }

// case7 lets the replicas of the desk answer some lookups with a long failure, which is retried. Then two tenants ask
// for the same streams, one with long and one with short bodies. Both must get their share.
func case7(trouble bool) bool {
	w := newWorld(1, nil)
	front := w.gateways[0].front
	var grey atomic.Bool
	trace := strings.Repeat("at desk.Lookup\n", maxError/15+1)
	var failures atomic.Int64
	desk := func(a *arrival) bool {
		time.Sleep(5 * time.Millisecond)
		if strings.HasPrefix(a.request.URL.Path, "/orders/") {
			return a.whole(http.StatusOK, trace[:receiptBytes])
		}
		if grey.Load() && rand.Float64() < greyShare {
			failures.Add(1)
			return a.whole(http.StatusInternalServerError, trace[:minError+rand.Intn(maxError-minError)])
		}
		return a.whole(http.StatusOK, "found")
	}
	for n := range 3 {
		newReplica(w.store, sprintf("i-desk-%d", n+1), "desk", "z-a", "127.0.40.1:0", desk)
	}
	var mu sync.Mutex
	seconds := map[string]map[int64]*tenantSecond{}
	at := func(team string, when time.Time) *tenantSecond {
		if seconds[team] == nil {
			seconds[team] = map[int64]*tenantSecond{}
		}
		s := seconds[team][when.Unix()]
		if s == nil {
			s = &tenantSecond{}
			seconds[team][when.Unix()] = s
		}
		return s
	}
	for n := range 2 {
		newReplica(w.store, sprintf("i-model-%d", n+1), "model", "z-a", "127.0.41.1:0", func(a *arrival) bool {
			mu.Lock()
			at(a.request.Header.Get("X-Tenant"), time.Now()).begun++
			mu.Unlock()
			a.beginStream()
			for i := 1; i <= 5; i++ {
				if a.event(i) != nil {
					return false
				}
				time.Sleep(10 * time.Millisecond)
			}
			a.endStream()
			return true
		})
	}
	time.Sleep(2500 * time.Millisecond) // until the process knows the replicas

	var wg sync.WaitGroup
	ask := func(team, key string, size int, end time.Time) {
		body := strings.Repeat("x", size)
		for i := 0; time.Now().Before(end); i++ {
			wg.Go(func() {
				q := request{
					method: "POST", path: "/full/1", id: sprintf("%s-%d-%d", team, end.Unix(), i), key: key, deadline: 15000, body: body,
					extra: sprintf("X-Model: m\r\n{tokens}: %d,25\r\n{parts}: 1:200,%x:%d\r\n", askTokens, rand.Uint32(), askTokens-200),
				}
				sent := time.Now()
				r := q.do(front)
				note("%s body=%d %s", team, size, r)
				mu.Lock()
				defer mu.Unlock()
				s := at(team, sent)
				s.asked++
				if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
					s.refused++
				}
			})
			time.Sleep(askPeriod)
		}
	}
	compare := func(what string) bool {
		begin := time.Now()
		end := begin.Add(fairTime)
		wg.Go(func() { ask("team1", teamKey, largeBody, end) })
		wg.Go(func() { ask("team2", otherKey, smallBody, end) })
		wg.Wait()
		return fairIn(what, seconds["team1"], seconds["team2"], begin.Unix()+1, end.Unix()-1)
	}
	order := func(what string) {
		for i := range orderCount {
			note("%s: order %s", what, request{
				method: "POST", path: "/orders/1", id: sprintf("order-%s-%d", what, i), key: teamKey, deadline: 1500, body: "order",
			}.do(front))
		}
	}
	order("before")
	if !compare("before") {
		note("the tenants are unequal before the disruption")
		fmt.Println("the case can't run: the tenants are unequal before the disruption")
		cleanUp()
		os.Exit(2)
	}
	looks := map[int]*atomic.Int64{200: {}, 500: {}, 0: {}}
	for n := range greyTimes {
		grey.Store(trouble)
		note("grey %d begins", n+1)
		for end := time.Now().Add(greyTime); time.Now().Before(end); time.Sleep(lookPeriod) {
			wg.Go(func() {
				q := request{method: "GET", path: "/looks/1", id: sprintf("look-%d-%d", n, rand.Uint32()), key: teamKey, deadline: 1500}
				r := q.do(front)
				if looks[r.status] == nil {
					looks[0].Add(1)
					return
				}
				looks[r.status].Add(1)
			})
		}
		grey.Store(false)
		wg.Wait()
		note("grey %d ended: lookups so far: %d got 200, %d 500, %d another status; the replicas failed %d", n+1,
			looks[200].Load(), looks[500].Load(), looks[0].Load(), failures.Load())
		if n+1 < greyTimes {
			time.Sleep(greyPause - greyTime)
		}
	}
	time.Sleep(touchTime + time.Second)
	order("after") // not judged: shows what becomes of orders that have run
	return compare("after")
}

// fairIn returns whether a tenant got its share in all spans of calmSeconds between two seconds.
func fairIn(what string, own, other map[int64]*tenantSecond, from, to int64) bool {
	fair := true
	get := func(m map[int64]*tenantSecond, s int64) tenantSecond {
		if m[s] == nil {
			return tenantSecond{}
		}
		return *m[s]
	}
	for s := from; s < to; s++ {
		a, b := get(own, s), get(other, s)
		note("%s: second %d: team1 asked %d begun %d refused %d; team2 asked %d begun %d refused %d", what, s-from, a.asked, a.begun, a.refused, b.asked, b.begun, b.refused)
	}
	for s := from; s+calmSeconds <= to; s++ {
		owed, got, always := 0.0, 0.0, true
		for i := s; i < s+calmSeconds; i++ {
			a, b := get(own, i), get(other, i)
			always = always && a.refused > 0
			owed += float64(min(a.asked, max(a.begun, b.begun))) / 2
			got += float64(a.begun)
		}
		if always && got < owed-spared {
			note("BROKEN FAIR: %s, seconds %d to %d: team1 is refused in each, got %.0f runs and is owed %.1f", what, s-from, s-from+calmSeconds, got, owed-spared)
			fair = false
		}
	}
	return fair
}
