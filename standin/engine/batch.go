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
	Slope   time.Duration // additional time of a step per running request
	Prefill int           // most prompt tokens that a step processes per request
	Memory  int           // capacity of the KV memory in tokens
	Cache   int           // capacity of the prefix cache in blocks
	Lag     time.Duration // age of the reported load
	Poison  string        // a prompt that contains this word crashes the engine; empty for none
	Fence   bool          // whether requests with a stale fencing number are refused
}

// NewConfig returns a Config with the defaults.
func NewConfig() Config {
	return Config{
		Batch: 8, Base: 4 * time.Millisecond, Slope: 200 * time.Microsecond,
		Prefill: 256, Memory: 1 << 16, Cache: 1024, Lag: 500 * time.Millisecond,
	}
}

// sequence is a request that the engine queues or generates tokens for.
type sequence struct {
	ctx          context.Context
	callerGone   func() bool // whether the caller closed its connection
	prompt       string
	promptTokens int
	cachedTokens int
	outputTokens int
	next         int // index of the next output token
	prefillLeft  int // prompt tokens that remain to be processed
	tokens       chan int
}

// kvTokens returns the most KV memory that a sequence needs, in tokens.
func (q *sequence) kvTokens() int { return q.promptTokens + q.outputTokens }

// Run records a completion request that the engine accepted.
type Run struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Tokens  int    `json:"tokens"` // tokens generated
	Prompt  int    `json:"prompt"` // prompt tokens that were not found in the cache
	Done    bool   `json:"done"`
}

// Stats is the current state of an engine or a plain service, without the lag of Load.
type Stats struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Batch   int     `json:"batch"`
	Busy    float64 `json:"busy"` // sum of the seconds that slots were in use since the start
	Up      float64 `json:"up"`   // seconds since the start
}

// Load is the load that an engine reports, which is older than the actual one by the configured lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Memory  int `json:"memory"` // tokens of KV memory in use
}

// Event says that the prefix cache stored or evicted a block.
type Event struct {
	Number uint64 `json:"number"`
	Block  uint64 `json:"block"` // hash of the block
	Stored bool   `json:"stored"`
}

// batch runs sequences in steps, as an engine with continuous batching does.
type batch struct {
	config Config

	mu              sync.Mutex
	queue           []*sequence
	running         []*sequence
	usedMemory      int // tokens of KV memory that running sequences may need
	cache           *lru.Cache[uint64, struct{}]
	events          []Event
	lastEventNumber uint64
	busyTime        time.Duration
	started         time.Time
	loads           []timedLoad // the first is the one to report
	wake            chan struct{}
}

// timedLoad is a load and the time at which it was recorded.
type timedLoad struct {
	at   time.Time
	load Load
}

const maxEvents = 4096 // most cache events that are kept

func newBatch(config Config) *batch {
	b := &batch{config: config, started: time.Now(), wake: make(chan struct{}, 1)}
	b.cache, _ = lru.NewWithEvict(max(1, config.Cache), func(block uint64, _ struct{}) {
		b.recordCacheEvent(block, false)
	})
	return b
}

// recordCacheEvent records a cache event under the next number. Every eighth event is lost on purpose,
// so that readers meet gaps in the numbers.
func (b *batch) recordCacheEvent(block uint64, stored bool) {
	b.lastEventNumber++
	if b.lastEventNumber%8 == 0 {
		return
	}
	b.events = append(b.events, Event{Number: b.lastEventNumber, Block: block, Stored: stored})
	b.events = b.events[max(0, len(b.events)-maxEvents):]
}

// enqueue appends a sequence to the queue and wakes the batch.
func (b *batch) enqueue(q *sequence) {
	b.mu.Lock()
	b.queue = append(b.queue, q)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run executes steps until the context ends. The returned channel is closed once all sequences are
// aborted.
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
			start := time.Now()
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
			case <-timer.C:
				b.step(time.Since(start))
			}
		}
		b.abort()
	}()
	return done
}

// admit moves queued sequences into the batch, in order of arrival and as far as slots and memory
// allow, and drops cancelled ones. It returns the duration of the next step, or 0 if the batch is
// empty. A sequence that exceeds the whole memory runs alone.
func (b *batch) admit() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) > 0 && len(b.running) < b.config.Batch {
		q := b.queue[0]
		if q.ctx.Err() == nil && b.usedMemory > 0 && b.usedMemory+q.kvTokens() > b.config.Memory {
			break
		}
		b.queue = b.queue[1:]
		if q.ctx.Err() != nil {
			close(q.tokens)
			continue
		}
		b.lookup(q)
		b.usedMemory += q.kvTokens()
		b.running = append(b.running, q)
	}
	b.recordLoad()
	if len(b.running) == 0 {
		return 0
	}
	return b.config.Base + time.Duration(len(b.running))*b.config.Slope
}

// lookup determines how much of a prompt's prefix is cached and caches the remaining blocks.
func (b *batch) lookup(q *sequence) {
	hit := true
	for _, block := range blockHashes(q.prompt) {
		_, ok := b.cache.Get(block)
		hit = hit && ok
		if hit {
			q.cachedTokens += BlockWords
			continue
		}
		b.cache.Add(block, struct{}{})
		b.recordCacheEvent(block, true)
	}
	q.prefillLeft = q.promptTokens - q.cachedTokens
}

// step advances every running sequence and removes those that have ended.
func (b *batch) step(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busyTime += took * time.Duration(len(b.running))
	kept := b.running[:0]
	for _, q := range b.running {
		if q.advance(b.config.Prefill) {
			kept = append(kept, q)
			continue
		}
		close(q.tokens)
		b.usedMemory -= q.kvTokens()
	}
	b.running = kept
}

// advance processes a part of the prompt or generates a token. It returns false if the sequence has
// ended: it is complete or cancelled, or the caller has closed its connection.
func (q *sequence) advance(prefill int) bool {
	if q.ctx.Err() != nil || q.callerGone() {
		return false
	}
	if q.prefillLeft > prefill {
		q.prefillLeft -= prefill
		return true
	}
	q.prefillLeft = 0
	if q.next < q.outputTokens {
		q.tokens <- q.next
		q.next++
	}
	return q.next < q.outputTokens
}

// abort ends all running and queued sequences.
func (b *batch) abort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range append(b.running, b.queue...) {
		close(q.tokens)
	}
	b.running, b.queue, b.usedMemory = nil, nil, 0
}

// recordLoad records the current load and drops records that are too old to be reported.
func (b *batch) recordLoad() {
	now := time.Now()
	b.loads = append(b.loads, timedLoad{at: now, load: Load{
		Running: len(b.running), Waiting: len(b.queue), Memory: b.usedMemory,
	}})
	for len(b.loads) > 1 && now.Sub(b.loads[1].at) > b.config.Lag {
		b.loads = b.loads[1:]
	}
}

// load returns the load with the configured lag.
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
		Busy: b.busyTime.Seconds(), Up: time.Since(b.started).Seconds(),
	}
}

// eventsAfter returns the kept cache events with numbers above the given one.
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
