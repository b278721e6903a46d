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
	samplePeriod      = 100 * time.Millisecond
	sampleTimeout     = time.Second
	defaultSettleTime = 10 * time.Second
	refusalBackoff    = 50 * time.Millisecond
	duplicateDelay    = 20 * time.Millisecond
	statusOK          = fasthttp.StatusOK
)

// Run is the execution of a plan.
type Run struct {
	plan    Plan
	clients []*client
	start   time.Time

	mu            sync.Mutex
	records       []*Record
	samples       map[string][]Sample
	runsByRequest map[string]int // number of runs by request ID, as the target stand-ins report
	runsByOrder   map[string]int // number of runs by order, as the target stand-ins report
	statusBefore  []entry.Status
	statusAfter   []entry.Status
	requestCount  int
}

// New returns a Run of a plan. The error is marked settings.ErrInvalid.
func New(plan Plan) (*Run, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if plan.Settle.Duration == 0 {
		plan.Settle.Duration = defaultSettleTime
	}
	r := &Run{plan: plan, samples: map[string][]Sample{}, runsByRequest: map[string]int{}, runsByOrder: map[string]int{}}
	for _, address := range plan.Entries {
		r.clients = append(r.clients, newClient(address))
	}
	return r, nil
}

// Do sends the load of the plan and returns the results. It calls progress about
// once a second.
func (r *Run) Do(ctx context.Context, progress func(Progress)) (*Report, error) {
	r.start = time.Now()
	r.statusBefore = r.entryStatuses()
	sendCtx, stop := context.WithTimeout(ctx, r.plan.Length.Duration)
	defer stop()
	drainCtx, cancel := context.WithTimeout(ctx, r.plan.Length.Duration+r.plan.Settle.Duration)
	defer cancel()
	samplingDone := r.startSampling(sendCtx, progress)
	var streams sync.WaitGroup
	for i := range r.plan.Streams {
		streams.Go(func() { r.runStream(sendCtx, drainCtx, i) })
	}
	streams.Wait()
	<-samplingDone
	r.statusAfter = r.entryStatuses()
	r.collectRuns()
	return r.report(), ctx.Err()
}

// Progress is the state of a run while it sends.
type Progress struct {
	Elapsed  time.Duration
	Sent     int
	Answered int
	Refused  int
}

// startSampling samples the targets until the context ends, and closes the channel
// afterwards.
func (r *Run) startSampling(ctx context.Context, progress func(Progress)) <-chan struct{} {
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
			r.sampleTargets()
			if progress != nil && n%10 == 9 {
				progress(r.currentProgress())
			}
		}
	}()
	return done
}

// currentProgress counts the requests so far.
func (r *Run) currentProgress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Elapsed: time.Since(r.start), Sent: r.requestCount}
	for _, record := range r.records {
		if record.Served() {
			p.Answered++
		} else {
			p.Refused++
		}
	}
	return p
}

// sampleTargets reads the state of the targets and adds one sample for each
// service.
func (r *Run) sampleTargets() {
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

// getJSON decodes the JSON at a path and reports whether that succeeded.
func getJSON(address netip.AddrPort, path string, value any) bool {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address.String()+path, sampleTimeout)
	return err == nil && status == statusOK && json.Unmarshal(body, value) == nil
}

// entryStatuses returns the status of each entry host, which is empty if the host
// does not answer.
func (r *Run) entryStatuses() []entry.Status {
	var list []entry.Status
	for _, address := range r.plan.Status {
		var s entry.Status
		getJSON(address, "/status", &s)
		list = append(list, s)
	}
	return list
}

// collectRuns counts the runs of each request and order that the target stand-ins
// recorded.
func (r *Run) collectRuns() {
	for _, t := range r.plan.Targets {
		var runs []plain.Run
		if !getJSON(t.Address, "/runs", &runs) {
			continue
		}
		for _, run := range runs {
			r.runsByRequest[run.Request]++
			if run.Order != "" {
				r.runsByOrder[run.Order]++
			}
		}
	}
}

// runStream sends the requests of one stream. Its random numbers depend only on
// the seed of the plan and the index of the stream.
func (r *Run) runStream(sendCtx, drainCtx context.Context, index int) {
	s := r.plan.Streams[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	if !sleep(sendCtx, s.From.Duration) {
		return
	}
	if s.Until.Duration > 0 {
		limited, cancel := context.WithDeadline(sendCtx, r.start.Add(s.Until.Duration))
		defer cancel()
		sendCtx = limited
	}
	var pending sync.WaitGroup
	defer pending.Wait()
	if s.Backlog > 0 {
		r.keepBacklog(sendCtx, drainCtx, index, rng, &pending)
		return
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if !sleep(sendCtx, time.Until(next)) {
			return
		}
		q := r.nextRequest(index, rng)
		pending.Go(func() { r.sendWithDuplicate(drainCtx, q) })
	}
}

// keepBacklog keeps a fixed number of requests outstanding.
func (r *Run) keepBacklog(sendCtx, drainCtx context.Context, index int, rng *rand.Rand, pending *sync.WaitGroup) {
	var mu sync.Mutex
	for range r.plan.Streams[index].Backlog {
		pending.Go(func() {
			for sendCtx.Err() == nil {
				mu.Lock()
				q := r.nextRequest(index, rng)
				mu.Unlock()
				if record := r.sendWithDuplicate(drainCtx, q); !record.Served() && !sleep(sendCtx, refusalBackoff) {
					return
				}
			}
		})
	}
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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

// requestSpec describes one request to send.
type requestSpec struct {
	streamIndex int
	entryIndex  int
	id          string
	orderID     string
	prompt      string
	size        int // answer tokens, or ms of work
	duplicate   bool
}

// nextRequest draws the next request of a stream.
func (r *Run) nextRequest(index int, rng *rand.Rand) requestSpec {
	s := r.plan.Streams[index]
	r.mu.Lock()
	r.requestCount++
	number := r.requestCount
	r.mu.Unlock()
	q := requestSpec{streamIndex: index, id: fmt.Sprintf("%s-%d", s.Team, number), size: s.MinSize}
	if s.MaxSize > s.MinSize {
		q.size += rng.IntN(s.MaxSize - s.MinSize + 1)
	}
	q.entryIndex = rng.IntN(len(r.plan.Entries))
	if len(s.Entries) > 0 {
		q.entryIndex = s.Entries[rng.IntN(len(s.Entries))]
	}
	if s.Kind == KindOrder {
		q.orderID = "order-" + q.id
		q.duplicate = rng.Float64() < s.DuplicateShare
	}
	q.prompt = promptFor(s, number, q.size, rng)
	return q
}

// promptFor returns the prompt of a request: the words shared by the stream,
// random words, and the length of the answer that the engine reads from it.
func promptFor(s Stream, number, size int, rng *rand.Rand) string {
	var text strings.Builder
	for i := range s.SharedWords {
		fmt.Fprintf(&text, "%s%d ", s.Team, i)
	}
	for range max(0, s.PromptWords-s.SharedWords) {
		fmt.Fprintf(&text, "w%d ", rng.IntN(1000))
	}
	fmt.Fprintf(&text, "request=%d length=%d", number, size)
	return text.String()
}

// sendWithDuplicate sends a request. An order marked as duplicate is sent a second
// time through the next entry host after duplicateDelay.
func (r *Run) sendWithDuplicate(ctx context.Context, q requestSpec) *Record {
	if !q.duplicate {
		return r.send(ctx, q, "")
	}
	var duplicate sync.WaitGroup
	duplicate.Go(func() {
		if sleep(ctx, duplicateDelay) {
			second := q
			second.entryIndex = (q.entryIndex + 1) % len(r.plan.Entries)
			r.send(ctx, second, "-again")
		}
	})
	record := r.send(ctx, q, "")
	duplicate.Wait()
	return record
}

// send sends a request once and adds its record.
func (r *Run) send(ctx context.Context, q requestSpec, suffix string) *Record {
	record := &Record{Stream: q.streamIndex, ID: q.id + suffix, Order: q.orderID, Sent: time.Since(r.start)}
	s := r.plan.Streams[q.streamIndex]
	r.clients[q.entryIndex].send(ctx, r.start, s, q, record)
	r.mu.Lock()
	r.records = append(r.records, record)
	r.mu.Unlock()
	return record
}
