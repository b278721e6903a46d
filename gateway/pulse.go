package gateway

import (
	"sync"
	"time"
)

const (
	stillTime  = 100 * time.Millisecond // between two beats, from which the process stood still
	noticeTime = 500 * time.Millisecond // after that, in which what came meanwhile is noticed
)

// pulse notes when the process stood still, by the time that runs on meanwhile: a signal that is
// noticed then may have come before. It answers hosts that are suspended, or get no processor time,
// as they are told to stop.
type pulse struct {
	mu   sync.Mutex
	last time.Duration // beat
	from time.Duration // since which it stood still, with short breaks
	to   time.Duration // when it went on, 0 if it never stood still
}

// beat tells that the process runs.
func (p *pulse) beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now)
}

// note takes a beat. The caller holds the lock.
func (p *pulse) note(now time.Duration) {
	if p.last > 0 && now-p.last > stillTime {
		if p.to == 0 || p.last-p.to > noticeTime {
			p.from = p.last
		}
		p.to = now
	}
	p.last = now
}

// began returns the earliest time at which what is noticed now may have happened, but not longer ago
// than a time.
func (p *pulse) began(now, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(now)
	if p.to == 0 || now-p.to > noticeTime {
		return now
	}
	return max(p.from, now-most)
}
