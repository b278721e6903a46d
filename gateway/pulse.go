package gateway

import (
	"sync"
	"time"
)

const (
	minStall        = 100 * time.Millisecond // shortest gap between two beats that counts as a stall
	stallNoticeTime = 500 * time.Millisecond // after a stall; events noticed within it may have happened during the stall
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
func (d *stallDetector) beat(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(now)
}

// record records a beat. The caller holds the lock.
func (d *stallDetector) record(now time.Duration) {
	if d.lastBeat > 0 && now-d.lastBeat > minStall {
		if d.stallEnd == 0 || d.lastBeat-d.stallEnd > stallNoticeTime {
			d.stallStart = d.lastBeat
		}
		d.stallEnd = now
	}
	d.lastBeat = now
}

// earliestTime returns the earliest time at which an event that is noticed now may have happened, limited to
// maxAge ago.
func (d *stallDetector) earliestTime(now, maxAge time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record(now)
	if d.stallEnd == 0 || now-d.stallEnd > stallNoticeTime {
		return now
	}
	return max(d.stallStart, now-maxAge)
}
