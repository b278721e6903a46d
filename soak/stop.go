package soak

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	lateTake   = 3 * time.Second     // after a signal to stop, in which what a gateway takes may outlast its grace
	lastPart   = grace * 5 / 6       // of a grace, after which work of a target excuses a cut
	signalWait = 2 * time.Second     // for the first line of a process, before it is told to stop
	lastEvent  = `"event":"stopped"` // in the last line of a process that ended as planned
)

// Stop is a planned end of a process.
type Stop struct {
	Span          // from the signal to stop to the end of the process
	Killed bool   // it was still there at the end of the grace
	Still  bool   // it stood still in the grace
	Last   string // line of its log
}

// restart ends the process as planned and starts another one, unless that is under way.
func (g *gateway) restart() error {
	if !g.end() {
		return nil
	}
	return g.start()
}

// end ends the process as planned, as the platform does: it is killed at the end of the grace. It
// returns false if that is under way.
func (g *gateway) end() bool {
	g.awaitLine()
	g.mu.Lock()
	if g.ending {
		g.mu.Unlock()
		return false
	}
	g.ending = true
	cmd, done, from := g.cmd, g.done, time.Now()
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(time.Until(from.Add(g.grace))):
		g.signal(syscall.SIGKILL) // ends a stopped process too
		<-done
	}
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	stop := Stop{Span: Span{From: from, To: time.Now()}, Killed: status.Signaled() && status.Signal() == syscall.SIGKILL}
	g.mu.Lock()
	stop.Last = g.lastLine()
	g.stops = append(g.stops, stop)
	g.mu.Unlock()
	return true
}

// logFile returns the path of the log, to which one process after the other writes.
func (g *gateway) logFile() string { return filepath.Join(g.dir, g.name+".log") }

// logged returns what the present process has logged. The caller holds the lock.
func (g *gateway) logged() []byte {
	body, err := os.ReadFile(g.logFile())
	if err != nil {
		return nil
	}
	return body[min(g.logFrom, len(body)):]
}

// lastLine returns the last line that the present process has logged. The caller holds the lock.
func (g *gateway) lastLine() string {
	body := bytes.TrimRight(g.logged(), "\n")
	return string(body[bytes.LastIndexByte(body, '\n')+1:])
}

// awaitLine waits until the process has logged something, as it takes signals from then on.
func (g *gateway) awaitLine() {
	for end := time.Now().Add(signalWait); time.Now().Before(end); time.Sleep(poll) {
		g.mu.Lock()
		begun := len(g.logged()) > 0
		g.mu.Unlock()
		if begun {
			return
		}
	}
}

// planned returns the planned ends of the processes.
func (g *gateway) planned() []Stop {
	stops := slices.Clone(g.stops)
	for n := range stops {
		for _, s := range g.away {
			if !s.To.IsZero() {
				s.To = s.To.Add(-contactTime) // when it went on
			}
			stops[n].Still = stops[n].Still || s.overlaps(stops[n].From, stops[n].To)
		}
	}
	return stops
}

// stopped returns whether the end of a gateway that was told to stop excuses a request: it was
// sent soon after the signal, and its target was still at work on it late in the grace. Only an
// answer that has no end of its own may be cut, a stream.
func (v *View) stopped(s *Seen) bool {
	if !s.Whole && s.Events == 0 {
		return false
	}
	for _, stop := range v.Stops[s.Gateway] {
		last := Span{From: stop.From.Add(lastPart), To: stop.From.Add(grace)}
		if !s.Sent.After(stop.From.Add(lateTake)) && s.Done.After(last.From) && v.works(s.ID, last) {
			return true
		}
	}
	return false
}

// works returns whether a target was at work on a request at some moment of a span.
func (v *View) works(id string, span Span) bool {
	return slices.ContainsFunc(v.runs[id], func(r target.Run) bool {
		return Span{From: r.Began, To: r.Ended}.overlaps(span.From, span.To)
	})
}

// eachStop returns a line for each planned end that breaks a rule.
func (v *View) eachStop(broken func(s Stop) bool) []string {
	var lines []string
	for _, g := range slices.Sorted(maps.Keys(v.Stops)) {
		for _, s := range v.Stops[g] {
			if broken(s) {
				lines = append(lines, fmt.Sprintf("host%d told to stop %s ended +%v killed %v last line %q",
					g+1, s.From.UTC().Format("15:04:05.000"), s.To.Sub(s.From).Round(time.Millisecond), s.Killed, s.Last))
			}
		}
	}
	return lines
}

// outlived: a process that is told to stop has ended at the end of its grace, unless it stood
// still meanwhile.
func outlived(v *View) []string {
	return v.eachStop(func(s Stop) bool { return s.Killed && !s.Still })
}

// unlogged: a process that ended as planned says so in the last line of its log.
func unlogged(v *View) []string {
	return v.eachStop(func(s Stop) bool { return !s.Killed && !strings.Contains(s.Last, lastEvent) })
}
