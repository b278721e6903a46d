package entry

import (
	"sync"
)

// promptMeans holds, by service, the mean number of uncached prompt tokens for a
// byte of a request. It stands in where a stream ends before its usage is told.
type promptMeans struct {
	mu    sync.Mutex
	means map[uint32]float64
}

func (p *promptMeans) learn(service uint32, size int, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.means[service]
	sample := float64(tokens) / float64(max(1, size))
	if !ok {
		mean = sample
	}
	p.means[service] = mean + promptLearning*(sample-mean)
}

func (p *promptMeans) estimate(service uint32, size int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.means[service] * float64(size)
}
