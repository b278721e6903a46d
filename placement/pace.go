package placement

import "time"

// Pace learns how long engines need before the first event of a request, as
// start + slope × prompt tokens ahead. It answers engines whose speed nobody
// configures, and changes with the load of streams beside the prompts.
//
// It is a least-squares line over samples whose weight decays.
type Pace struct {
	weight, x, y, xx, xy float64
}

const (
	paceDecay        = 0.99
	paceStart        = 0.050   // seconds before the first event of an empty prompt, until learnt
	paceSlope        = 0.00001 // seconds per prompt token, until learnt
	paceMinSlope     = 0.000002
	paceMaxSlope     = 0.0005
	pacePriorSamples = 8
	pacePriorTokens  = 30000
)

// NewPace returns a Pace that holds a few samples of a usual engine.
func NewPace() *Pace {
	p := &Pace{}
	for i := range pacePriorSamples {
		tokens := pacePriorTokens * float64(i) / pacePriorSamples
		p.add(tokens, paceStart+paceSlope*tokens)
	}
	return p
}

// Learn takes the time to the first event of a request that was sent with so
// many prompt tokens ahead of its first event, its own included.
func (p *Pace) Learn(tokens int, took time.Duration) {
	p.add(float64(tokens), took.Seconds())
}

func (p *Pace) add(x, y float64) {
	p.weight = p.weight*paceDecay + 1
	p.x = p.x*paceDecay + x
	p.y = p.y*paceDecay + y
	p.xx = p.xx*paceDecay + x*x
	p.xy = p.xy*paceDecay + x*y
}

// Slope returns the seconds that one prompt token takes.
func (p *Pace) Slope() float64 {
	spread := p.xx*p.weight - p.x*p.x
	if spread <= 0 {
		return paceSlope
	}
	return min(paceMaxSlope, max(paceMinSlope, (p.xy*p.weight-p.x*p.y)/spread))
}

// Start returns the seconds before the first event of an empty prompt.
func (p *Pace) Start() float64 {
	return max(0, (p.y-p.Slope()*p.x)/p.weight)
}

// Wait returns the time that so many prompt tokens take.
func (p *Pace) Wait(tokens int) time.Duration {
	return seconds(p.Slope() * float64(tokens))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
