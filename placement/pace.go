package placement

import "time"

// PrefillModel estimates the time engines need to the first event of a request as a base latency
// plus a time per prompt token queued. The speed of engines is not configured and changes with
// the streams that run beside the prompts, so it is measured.
//
// The estimate is a least-squares line over samples with exponentially decaying weight.
type PrefillModel struct {
	weight, x, y, xx, xy float64
}

// Initial estimate of a PrefillModel and the bounds of its slope.
const (
	sampleDecay            = 0.99     // weight that earlier samples keep with each new one
	initialBaseLatency     = 0.050    // seconds to the first event of an empty prompt, until measured
	initialSecondsPerToken = 0.00001  // seconds per prompt token, until measured
	minSecondsPerToken     = 0.000002 // seconds per prompt token
	maxSecondsPerToken     = 0.0005   // seconds per prompt token
	priorSamples           = 8
	priorTokens            = 30000
)

// NewPrefillModel returns a PrefillModel primed with a few samples of a typical engine.
func NewPrefillModel() *PrefillModel {
	p := &PrefillModel{}
	for i := range priorSamples {
		tokens := priorTokens * float64(i) / priorSamples
		p.add(tokens, initialBaseLatency+initialSecondsPerToken*tokens)
	}
	return p
}

// Learn adds the time to the first event of a request. The tokens are those queued at the target
// when it was sent, its own included.
func (p *PrefillModel) Learn(tokens int, took time.Duration) {
	p.add(float64(tokens), took.Seconds())
}

// add adds a sample: y seconds for x tokens.
func (p *PrefillModel) add(x, y float64) {
	p.weight = p.weight*sampleDecay + 1
	p.x = p.x*sampleDecay + x
	p.y = p.y*sampleDecay + y
	p.xx = p.xx*sampleDecay + x*x
	p.xy = p.xy*sampleDecay + x*y
}

// SecondsPerToken returns the time per prompt token in seconds.
func (p *PrefillModel) SecondsPerToken() float64 {
	spread := p.xx*p.weight - p.x*p.x
	if spread <= 0 {
		return initialSecondsPerToken
	}
	return min(maxSecondsPerToken, max(minSecondsPerToken, (p.xy*p.weight-p.x*p.y)/spread))
}

// BaseLatency returns the time to the first event of an empty prompt in seconds.
func (p *PrefillModel) BaseLatency() float64 {
	return max(0, (p.y-p.SecondsPerToken()*p.x)/p.weight)
}

// PrefillTime returns the time to prefill a number of prompt tokens.
func (p *PrefillModel) PrefillTime(tokens int) time.Duration {
	return seconds(p.SecondsPerToken() * float64(tokens))
}

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
