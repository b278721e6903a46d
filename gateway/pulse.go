package gateway

import (
	"sync"
	"time"
)

const (
	minStall        = 100 * time.Millisecond // between two beats, from which the process counts as stalled
	stallNoticeTime = 500 * time.Millisecond // after a stall, in which events that happened during it are noticed
)

// stallDetector detects stalls of the process, during which it got no processor time or its host was
// suspended, by gaps between periodic beats. An event that is noticed right after a stall, such as the signal
// to stop, may have happened at its start. Times are those of a clock that advances during a suspension.
type stallDetector struct {
	mu         sync.Mutex
	lastBeat   time.Duration // time of the last beat
	stallStart time.Duration // start of the last stall; stalls within stallNoticeTime of each other count as one
	stallEnd   time.Duration // end of the last stall, 0 if there was none
}

// beat reports that the process runs.
func (p *stallDetector) beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now)
}

// record records a beat. The caller holds the lock.
func (p *stallDetector) record(now time.Duration) {
	if p.lastBeat > 0 && now-p.lastBeat > minStall {
		if p.stallEnd == 0 || p.lastBeat-p.stallEnd > stallNoticeTime {
			p.stallStart = p.lastBeat
		}
		p.stallEnd = now
	}
	p.lastBeat = now
}

// earliestTime returns the earliest time at which an event that is noticed now may have happened, but at most
// the duration most ago.
func (p *stallDetector) earliestTime(now, most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now)
	if p.stallEnd == 0 || now-p.stallEnd > stallNoticeTime {
		return now
	}
	return max(p.stallStart, now-most)
}
