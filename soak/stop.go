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
	lateRequestWindow   = 3 * time.Second     // after a signal to stop, in which what a gateway takes may outlast its grace
	lateGraceOffset     = gracePeriod * 5 / 6 // of a grace, after which work of a target excuses a cut
	firstLogLineTimeout = 2 * time.Second     // for the first line of a process, before it is told to stop
	stoppedEvent        = `"event":"stopped"` // in the last line of a process that ended as planned
)

// Stop is a planned end of a process.
type Stop struct {
	TimeSpan           // from the signal to stop to the end of the process
	Killed      bool   // it was still there at the end of the grace
	Paused      bool   // it stood still in the grace
	LastLogLine string // line of its log
}

// restart ends the process as planned and starts another one, unless that is under way.
func (g *gateway) restart() error {
	if !g.stop() {
		return nil
	}
	return g.start()
}

// stop ends the process as planned, as the platform does: it is killed at the stop of the grace. It
// returns false if that is under way.
func (g *gateway) stop() bool {
	g.awaitFirstLogLine()
	g.mu.Lock()
	if g.stopping {
		g.mu.Unlock()
		return false
	}
	g.stopping = true
	cmd, done, from := g.cmd, g.exited, time.Now()
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(time.Until(from.Add(g.gracePeriod))):
		g.signal(syscall.SIGKILL) // ends a stopped process too
		<-done
	}
	status, _ := cmd.ProcessState.Sys().(syscall.WaitStatus)
	stop := Stop{TimeSpan: TimeSpan{From: from, To: time.Now()}, Killed: status.Signaled() && status.Signal() == syscall.SIGKILL}
	g.mu.Lock()
	stop.LastLogLine = g.lastLogLine()
	g.stops = append(g.stops, stop)
	g.mu.Unlock()
	return true
}

// logFile returns the path of the log, to which one process after the other writes.
func (g *gateway) logFile() string { return filepath.Join(g.dir, g.name+".log") }

// readLog returns what the present process has readLog. The caller holds the lock.
func (g *gateway) readLog() []byte {
	body, err := os.ReadFile(g.logFile())
	if err != nil {
		return nil
	}
	return body[min(g.logOffset, len(body)):]
}

// lastLogLine returns the last line that the present process has logged. The caller holds the lock.
func (g *gateway) lastLogLine() string {
	body := bytes.TrimRight(g.readLog(), "\n")
	return string(body[bytes.LastIndexByte(body, '\n')+1:])
}

// awaitFirstLogLine waits until the process has logged something, as it takes signals from then on.
func (g *gateway) awaitFirstLogLine() {
	for deadline := time.Now().Add(firstLogLineTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		g.mu.Lock()
		started := len(g.readLog()) > 0
		g.mu.Unlock()
		if started {
			return
		}
	}
}

// plannedStops returns the plannedStops ends of the processes.
func (g *gateway) plannedStops() []Stop {
	stops := slices.Clone(g.stops)
	for n := range stops {
		for _, s := range g.outages {
			if !s.To.IsZero() {
				s.To = s.To.Add(-recoveryTime) // when it went on
			}
			stops[n].Paused = stops[n].Paused || s.overlaps(stops[n].From, stops[n].To)
		}
	}
	return stops
}

// cutByStop returns whether the end of a gateway that was told to stop excuses a request: it was
// sent soon after the signal, and its target was still at work on it late in the grace. Only an
// answer that has no end of its own may be cut, a stream.
func (v *View) cutByStop(s *SentRequest) bool {
	if !s.Complete && s.ExpectedEvents == 0 {
		return false
	}
	for _, stop := range v.Stops[s.Gateway] {
		last := TimeSpan{From: stop.From.Add(lateGraceOffset), To: stop.From.Add(gracePeriod)}
		if !s.SentAt.After(stop.From.Add(lateRequestWindow)) && s.DoneAt.After(last.From) && v.targetWorking(s.ID, last) {
			return true
		}
	}
	return false
}

// targetWorking returns whether a target was at work on a request at some moment of a span.
func (v *View) targetWorking(id string, span TimeSpan) bool {
	return slices.ContainsFunc(v.begunRuns[id], func(r target.Run) bool {
		return TimeSpan{From: r.Began, To: r.Ended}.overlaps(span.From, span.To)
	})
}

// checkStops returns a line for each planned end that breaks a rule.
func (v *View) checkStops(violates func(s Stop) bool) []string {
	var lines []string
	for _, g := range slices.Sorted(maps.Keys(v.Stops)) {
		for _, s := range v.Stops[g] {
			if violates(s) {
				lines = append(lines, fmt.Sprintf("host%d told to stop %s ended +%v killed %v last line %q",
					g+1, s.From.UTC().Format("15:04:05.000"), s.To.Sub(s.From).Round(time.Millisecond), s.Killed, s.LastLogLine))
			}
		}
	}
	return lines
}

// exceededGracePeriods: a process that is told to stop has ended at the end of its grace, unless it stood
// still meanwhile.
func exceededGracePeriods(v *View) []string {
	return v.checkStops(func(s Stop) bool { return s.Killed && !s.Paused })
}

// missingStopLogs: a process that ended as planned says so in the last line of its log.
func missingStopLogs(v *View) []string {
	return v.checkStops(func(s Stop) bool { return !s.Killed && !strings.Contains(s.LastLogLine, stoppedEvent) })
}
