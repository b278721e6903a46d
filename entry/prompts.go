package entry

import (
	"sync"
)

// promptMeans holds, by service, the moving average of uncached prompt tokens per byte of request
// body. It estimates the prompt tokens of streams that end without a usage report.
type promptMeans struct {
	mu    sync.Mutex
	means map[uint32]float64
}

// learn adds the reported tokens of a request body of the given size to the average of a service.
func (p *promptMeans) learn(service uint32, size int, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.means[service]
	sample := float64(tokens) / float64(max(1, size))
	if !ok {
		mean = sample
	}
	p.means[service] = mean + promptMeanWeight*(sample-mean)
}

// estimate returns the expected number of uncached tokens for a request body of the given size, 0
// for an unknown service.
func (p *promptMeans) estimate(service uint32, size int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.means[service] * float64(size)
}
