package route

import "time"

// readEras knows in which eras of the store the list of targets was read, here or by the hosts that told it.
type readEras struct {
	known  bool // the list was read
	newest uint64
	began  time.Time // when the newest era was first known, zero if it is the first one
	own    uint64    // era of the last read of this host
}

// advance records that a list was read in an era.
func (e *readEras) advance(now time.Time, era uint64) {
	switch {
	case !e.known:
		e.known, e.newest = true, era
	case era > e.newest:
		e.newest, e.began = era, now
	}
}

// read records that this host has read the list in an era. It returns whether the list may be that of a copy which is
// older than the list known before: this host has not read that era before, and it began within a period.
func (e *readEras) read(now time.Time, era uint64, period time.Duration) bool {
	if era < e.newest {
		*e = readEras{known: true, newest: era, began: now} // the tracker of eras has corrected a wrong one
	}
	e.advance(now, era)
	other := e.own != era
	e.own = era
	return other && !e.began.IsZero() && now.Sub(e.began) < period
}
