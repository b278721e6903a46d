package origin

import "sync"

// Reads shares reads among callers that arrive together. A caller gets the result of a read that began after its
// call. Its zero value with Read set is ready.
type Reads[T any] struct {
	Read func() (T, error)

	mu      sync.Mutex
	running bool
	next    *sharedRead[T] // read that begins after the running one
}

// sharedRead is a read that is not done yet.
type sharedRead[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// Get waits for a read that begins after the call, and returns its result.
func (r *Reads[T]) Get() (T, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &sharedRead[T]{done: make(chan struct{})}
	}
	own := r.next
	if !r.running {
		r.running = true
		go r.run()
	}
	r.mu.Unlock()
	<-own.done
	return own.value, own.err
}

// run reads until nobody waits. Each waiting caller is told on the channel of its read.
func (r *Reads[T]) run() {
	for {
		r.mu.Lock()
		current := r.next
		r.next, r.running = nil, current != nil
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.value, current.err = r.Read()
		close(current.done)
	}
}
