package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/plain"
)

const (
	samplePeriod  = 100 * time.Millisecond
	sampleTimeout = time.Second
	defaultSettle = 10 * time.Second
	refusedPause  = 50 * time.Millisecond
	repeatDelay   = 20 * time.Millisecond
	statusOK      = fasthttp.StatusOK
)

// Run is one run of a plan.
type Run struct {
	plan    Plan
	clients []*client
	start   time.Time

	mu      sync.Mutex
	records []*Record
	samples map[string][]Sample
	runs    map[string]int // runs by request, as the stand-ins tell
	orders  map[string]int // runs by order
	before  []entry.Status
	after   []entry.Status
	number  int
}

// New returns a Run of a plan. The error is marked settings.ErrInvalid.
func New(plan Plan) (*Run, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if plan.Settle.Duration == 0 {
		plan.Settle.Duration = defaultSettle
	}
	r := &Run{plan: plan, samples: map[string][]Sample{}, runs: map[string]int{}, orders: map[string]int{}}
	for _, address := range plan.Entries {
		r.clients = append(r.clients, newClient(address))
	}
	return r, nil
}

// Do carries out the plan and returns its measures. Progress is called about
// once a second.
func (r *Run) Do(ctx context.Context, progress func(Progress)) (*Measures, error) {
	r.start = time.Now()
	r.before = r.statuses()
	sending, stop := context.WithTimeout(ctx, r.plan.Length.Duration)
	defer stop()
	settled, cancel := context.WithTimeout(ctx, r.plan.Length.Duration+r.plan.Settle.Duration)
	defer cancel()
	sampling := r.sample(sending, progress)
	var streams sync.WaitGroup
	for i := range r.plan.Streams {
		streams.Go(func() { r.stream(sending, settled, i) })
	}
	streams.Wait()
	<-sampling
	r.after = r.statuses()
	r.collect()
	return r.measure(), ctx.Err()
}

// Progress is the state of a run.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
	Refused  int
}

// sample reads the stand-ins until the context ends and reports its end on the
// channel.
func (r *Run) sample(ctx context.Context, progress func(Progress)) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			r.readTargets()
			if progress != nil && n%10 == 9 {
				progress(r.progress())
			}
		}
	}()
	return done
}

func (r *Run) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Elapsed: time.Since(r.start), Sent: r.number}
	for _, record := range r.records {
		if record.Served() {
			p.Answered++
		} else {
			p.Refused++
		}
	}
	return p
}

// readTargets adds one sample for each service.
func (r *Run) readTargets() {
	at := time.Since(r.start)
	totals := map[string]*Sample{}
	for _, t := range r.plan.Targets {
		var s engine.Stats
		if !getJSON(t.Address, "/stats", &s) {
			continue
		}
		total := totals[t.Service]
		if total == nil {
			total = &Sample{At: at}
			totals[t.Service] = total
		}
		total.Running += s.Running
		total.Waiting += s.Waiting
		total.Batch += s.Batch
		total.Busy += s.Busy
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, total := range totals {
		r.samples[service] = append(r.samples[service], *total)
	}
}

func getJSON(address netip.AddrPort, path string, value any) bool {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address.String()+path, sampleTimeout)
	return err == nil && status == statusOK && json.Unmarshal(body, value) == nil
}

func (r *Run) statuses() []entry.Status {
	var list []entry.Status
	for _, address := range r.plan.Status {
		var s entry.Status
		getJSON(address, "/status", &s)
		list = append(list, s)
	}
	return list
}

// collect reads which requests and orders the stand-ins ran.
func (r *Run) collect() {
	for _, t := range r.plan.Targets {
		var runs []plain.Run
		if !getJSON(t.Address, "/runs", &runs) {
			continue
		}
		for _, run := range runs {
			r.runs[run.Request]++
			if run.Order != "" {
				r.orders[run.Order]++
			}
		}
	}
}

// stream sends the requests of one stream. Its random numbers come from the
// plan's seed alone.
func (r *Run) stream(sending, settled context.Context, index int) {
	s := r.plan.Streams[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	if !wait(sending, s.From.Duration) {
		return
	}
	if s.Until.Duration > 0 {
		limited, cancel := context.WithDeadline(sending, r.start.Add(s.Until.Duration))
		defer cancel()
		sending = limited
	}
	var open sync.WaitGroup
	defer open.Wait()
	if s.Backlog > 0 {
		r.keep(sending, settled, index, rng, &open)
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if !wait(sending, time.Until(next)) {
			return
		}
		q := r.draw(index, rng)
		open.Go(func() { r.exchange(settled, q) })
	}
}

// keep has a fixed number of requests outstanding.
func (r *Run) keep(sending, settled context.Context, index int, rng *rand.Rand, open *sync.WaitGroup) {
	var mu sync.Mutex
	for range r.plan.Streams[index].Backlog {
		open.Go(func() {
			for sending.Err() == nil {
				mu.Lock()
				q := r.draw(index, rng)
				mu.Unlock()
				if record := r.exchange(settled, q); !record.Served() && !wait(sending, refusedPause) {
					return
				}
			}
		})
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// query is one request to send.
type query struct {
	stream int
	entry  int
	id     string
	order  string
	prompt string
	size   int // answer tokens, or ms
	twice  bool
}

// draw makes the next request of a stream.
func (r *Run) draw(index int, rng *rand.Rand) query {
	s := r.plan.Streams[index]
	r.mu.Lock()
	r.number++
	number := r.number
	r.mu.Unlock()
	q := query{stream: index, id: fmt.Sprintf("%s-%d", s.Team, number), size: s.Least}
	if s.Most > s.Least {
		q.size += rng.IntN(s.Most - s.Least + 1)
	}
	q.entry = rng.IntN(len(r.plan.Entries))
	if len(s.Entries) > 0 {
		q.entry = s.Entries[rng.IntN(len(s.Entries))]
	}
	if s.Kind == KindOrder {
		q.order = "order-" + q.id
		q.twice = rng.Float64() < s.Twice
	}
	q.prompt = promptFor(s, number, q.size, rng)
	return q
}

func promptFor(s Stream, number, size int, rng *rand.Rand) string {
	var text strings.Builder
	for i := range s.Shared {
		fmt.Fprintf(&text, "%s%d ", s.Team, i)
	}
	for range max(0, s.Prompt-s.Shared) {
		fmt.Fprintf(&text, "w%d ", rng.IntN(1000))
	}
	fmt.Fprintf(&text, "request=%d length=%d", number, size)
	return text.String()
}

// exchange sends a request, and an order that is to be sent twice again.
func (r *Run) exchange(ctx context.Context, q query) *Record {
	if !q.twice {
		return r.send(ctx, q, "")
	}
	var again sync.WaitGroup
	again.Go(func() {
		if wait(ctx, repeatDelay) {
			second := q
			second.entry = (q.entry + 1) % len(r.plan.Entries)
			r.send(ctx, second, "-again")
		}
	})
	record := r.send(ctx, q, "")
	again.Wait()
	return record
}

func (r *Run) send(ctx context.Context, q query, suffix string) *Record {
	record := &Record{Stream: q.stream, ID: q.id + suffix, Order: q.order, Sent: time.Since(r.start)}
	s := r.plan.Streams[q.stream]
	r.clients[q.entry].do(ctx, r.start, s, q, record)
	r.mu.Lock()
	r.records = append(r.records, record)
	r.mu.Unlock()
	return record
}
