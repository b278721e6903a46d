// Package placement decides where a request runs, whether it waits here, or
// whether it is refused. It does no I/O, starts no goroutine and reads no clock:
// every call is given the time.
//
// Each host decides alone, from what it sent itself, what peers tell of theirs,
// and what the answers of targets show.
package placement
