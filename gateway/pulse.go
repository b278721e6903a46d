package gateway

import (
	"sync"
	"time"
)

const (
	minStall  = 100 * time.Millisecond // between two beats, from which the process stood still
	stallNoticeTime = 500 * time.Millisecond // after that, in which what came meanwhile is noticed
)

// stallDetector notes when the process stood still, by the time that runs on meanwhile: a signal that is
// noticed then may have come before. It answers hosts that are suspended, or get no processor time,
// as they are told to stop.
type stallDetector struct {
	mu   sync.Mutex
	lastBeat time.Duration // beat
	stallStart time.Duration // since which it stood still, with short breaks
	stallEnd   time.Duration // when it went on, 0 if it never stood still
}

// beat tells that the process runs.
func (p *stallDetector) beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now)
}

// record takes a beat. The caller holds the lock.
func (p *stallDetector) record(now time.Duration) {
	if p.lastBeat > 0 && now-p.lastBeat > minStall {
		if p.stallEnd == 0 || p.lastBeat-p.stallEnd > stallNoticeTime {
			p.stallStart = p.lastBeat
		}
		p.stallEnd = now
	}
	p.lastBeat = now
}

// earliestTime returns the earliest time at which what is noticed now may have happened, but not longer ago
// than a time.
func (p *stallDetector) earliestTime(now, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now)
	if p.stallEnd == 0 || now-p.stallEnd > stallNoticeTime {
		return now
	}
	return max(p.stallStart, now-most)
}
