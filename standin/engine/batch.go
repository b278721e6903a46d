package engine

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Config configures an Engine.
type Config struct {
	Batch   int           // most requests that run at once
	Base    time.Duration // time of a step with an empty batch
	Slope   time.Duration // further time of a step for each running request
	Prefill int           // prompt tokens that one step takes in for a request
	Memory  int           // tokens of KV memory
	Cache   int           // blocks of prompts that are cached
	Lag     time.Duration // age of the reported load
	Poison  string        // a prompt with this word crashes the engine
	Fence   bool          // refuses an old fencing number
}

// NewConfig returns a Config with the defaults.
func NewConfig() Config {
	return Config{
		Batch: 8, Base: 4 * time.Millisecond, Slope: 200 * time.Microsecond,
		Prefill: 256, Memory: 1 << 16, Cache: 1024, Lag: 500 * time.Millisecond,
	}
}

// sequence is one request in the engine.
type sequence struct {
	ctx     context.Context
	gone    func() bool // whether the caller closed its connection
	prompt  string
	words   int
	cached  int
	length  int
	next    int // index of the next token
	prefill int // prompt tokens still to take in
	tokens  chan int
}

// memory returns the KV memory that a sequence needs at most.
func (q *sequence) memory() int { return q.words + q.length }

// Run is the record of one request that the engine admitted.
type Run struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Tokens  int    `json:"tokens"` // tokens generated
	Prompt  int    `json:"prompt"` // prompt tokens that were not cached
	Done    bool   `json:"done"`
}

// Stats is the state of an engine without lag, for measurements.
type Stats struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Batch   int     `json:"batch"`
	Busy    float64 `json:"busy"` // slot-seconds used since the start
	Up      float64 `json:"up"`   // seconds since the start
}

// Load is what an engine reports of its load, late.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Memory  int `json:"memory"` // tokens of KV memory in use
}

// Event is a change of the prefix cache.
type Event struct {
	Number uint64 `json:"number"`
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// batch runs sequences in steps.
type batch struct {
	config Config

	mu      sync.Mutex
	queue   []*sequence
	running []*sequence
	used    int
	cache   *lru.Cache[uint64, struct{}]
	events  []Event
	number  uint64
	busy    time.Duration
	started time.Time
	loads   []timedLoad
	wake    chan struct{}
}

// timedLoad is a load and when it was so.
type timedLoad struct {
	at   time.Time
	load Load
}

const maxEvents = 4096

func newBatch(config Config) *batch {
	b := &batch{config: config, started: time.Now(), wake: make(chan struct{}, 1)}
	b.cache, _ = lru.NewWithEvict(max(1, config.Cache), func(block uint64, _ struct{}) {
		b.note(block, false)
	})
	return b
}

// note records a cache event. Every eighth event is lost.
func (b *batch) note(block uint64, stored bool) {
	b.number++
	if b.number%8 == 0 {
		return
	}
	b.events = append(b.events, Event{Number: b.number, Block: block, Stored: stored})
	b.events = b.events[max(0, len(b.events)-maxEvents):]
}

// enter queues a sequence in the order of arrival.
func (b *batch) enter(q *sequence) {
	b.mu.Lock()
	b.queue = append(b.queue, q)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run steps until the context ends and reports its end on the channel.
func (b *batch) run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			wait := b.admit()
			if wait == 0 {
				select {
				case <-ctx.Done():
				case <-b.wake:
				}
				continue
			}
			began := time.Now()
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
			case <-timer.C:
				b.step(time.Since(began))
			}
		}
		b.abort()
	}()
	return done
}

// admit fills the batch and returns the time of the next step, or 0 if there
// is nothing to run.
func (b *batch) admit() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) > 0 && len(b.running) < b.config.Batch {
		q := b.queue[0]
		if q.ctx.Err() == nil && b.used > 0 && b.used+q.memory() > b.config.Memory {
			break
		}
		b.queue = b.queue[1:]
		if q.ctx.Err() != nil {
			close(q.tokens)
			continue
		}
		b.lookup(q)
		b.used += q.memory()
		b.running = append(b.running, q)
	}
	b.report()
	if len(b.running) == 0 {
		return 0
	}
	return b.config.Base + time.Duration(len(b.running))*b.config.Slope
}

// lookup finds how much of a prompt is cached and caches the rest.
func (b *batch) lookup(q *sequence) {
	hit := true
	for _, block := range blocks(q.prompt) {
		_, ok := b.cache.Get(block)
		hit = hit && ok
		if hit {
			q.cached += BlockWords
			continue
		}
		b.cache.Add(block, struct{}{})
		b.note(block, true)
	}
	q.prefill = q.words - q.cached
}

// step advances every running sequence by one token or one part of its prompt.
func (b *batch) step(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy += took * time.Duration(len(b.running))
	kept := b.running[:0]
	for _, q := range b.running {
		if q.advance(b.config.Prefill) {
			kept = append(kept, q)
			continue
		}
		close(q.tokens)
		b.used -= q.memory()
	}
	b.running = kept
}

// advance returns false if the sequence has ended.
func (q *sequence) advance(prefill int) bool {
	if q.ctx.Err() != nil || q.gone() {
		return false
	}
	if q.prefill > prefill {
		q.prefill -= prefill
		return true
	}
	q.prefill = 0
	if q.next < q.length {
		q.tokens <- q.next
		q.next++
	}
	return q.next < q.length
}

func (b *batch) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range append(b.running, b.queue...) {
		close(q.tokens)
	}
	b.running, b.queue, b.used = nil, nil, 0
}

// report notes the load so that it can be told with a lag.
func (b *batch) report() {
	now := time.Now()
	b.loads = append(b.loads, timedLoad{at: now, load: Load{
		Running: len(b.running), Waiting: len(b.queue), Memory: b.used,
	}})
	for len(b.loads) > 1 && now.Sub(b.loads[1].at) > b.config.Lag {
		b.loads = b.loads[1:]
	}
}

func (b *batch) load() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.loads) == 0 {
		return Load{}
	}
	return b.loads[0].load
}

func (b *batch) stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Running: len(b.running), Waiting: len(b.queue), Batch: b.config.Batch,
		Busy: b.busy.Seconds(), Up: time.Since(b.started).Seconds(),
	}
}

// eventsAfter returns the cache events after a number that are older than the lag.
func (b *batch) eventsAfter(number uint64) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := []Event{}
	for _, e := range b.events {
		if e.Number > number {
			list = append(list, e)
		}
	}
	return list
}
