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
	lateRequestWindow   = 3 * time.Second     // after the stop signal, in which requests are accepted that may not finish within the grace period
	lateGraceOffset     = gracePeriod * 5 / 6 // from the stop signal; a run that is active after it excuses a stream that is cut off
	firstLogLineTimeout = 2 * time.Second     // how long to wait for the first log line of a process before the stop signal
	stoppedEvent        = `"event":"stopped"` // in the last log line of a process that stopped as planned
)

// Stop is a planned stop of a process.
type Stop struct {
	TimeSpan         // from the stop signal to the end of the process
	Killed      bool // it was still running at the end of the grace period
	Paused      bool // it was suspended at some moment of the span
	LastLogLine string
}

// restart stops the process as planned and starts another one. It does nothing if a stop is already in
// progress.
func (g *gateway) restart() error {
	if !g.stop() {
		return nil
	}
	return g.start()
}

// stop sends the process SIGTERM and kills it at the end of the grace period, as the platform does. It
// returns false if a stop is already in progress.
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
		g.signal(syscall.SIGKILL) // also ends a suspended process
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

// logFile returns the path of the log file, to which all processes of the gateway append.
func (g *gateway) logFile() string { return filepath.Join(g.dir, g.name+".log") }

// readLog returns what the current process has logged. The caller holds mu.
func (g *gateway) readLog() []byte {
	body, err := os.ReadFile(g.logFile())
	if err != nil {
		return nil
	}
	return body[min(g.logOffset, len(body)):]
}

// lastLogLine returns the last line that the current process has logged. The caller holds mu.
func (g *gateway) lastLogLine() string {
	body := bytes.TrimRight(g.readLog(), "\n")
	return string(body[bytes.LastIndexByte(body, '\n')+1:])
}

// awaitFirstLogLine waits until the process has logged a line, since it handles signals from then on. It
// gives up after firstLogLineTimeout.
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

// plannedStops returns the planned stops, each marked as paused if the process was suspended meanwhile.
func (g *gateway) plannedStops() []Stop {
	stops := slices.Clone(g.stops)
	for n := range stops {
		for _, s := range g.outages {
			if !s.To.IsZero() {
				s.To = s.To.Add(-recoveryTime) // when it was continued
			}
			stops[n].Paused = stops[n].Paused || s.overlaps(stops[n].From, stops[n].To)
		}
	}
	return stops
}

// cutByStop reports whether a planned stop of the gateway excuses a request: the request was sent soon enough
// after the signal, and a target still worked on it late in the grace period. Only a stream may be cut off,
// as only a stream has no fixed end.
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

// targetWorking reports whether a target worked on a request at some moment of a span.
func (v *View) targetWorking(id string, span TimeSpan) bool {
	return slices.ContainsFunc(v.begunRuns[id], func(r target.Run) bool {
		return TimeSpan{From: r.Began, To: r.Ended}.overlaps(span.From, span.To)
	})
}

// checkStops returns a line for each planned stop that violates a rule.
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

// exceededGracePeriods finds processes that had to be killed at the end of the grace period and were not
// suspended during it.
func exceededGracePeriods(v *View) []string {
	return v.checkStops(func(s Stop) bool { return s.Killed && !s.Paused })
}

// missingStopLogs finds processes that stopped as planned but did not log so in their last line.
func missingStopLogs(v *View) []string {
	return v.checkStops(func(s Stop) bool { return !s.Killed && !strings.Contains(s.LastLogLine, stoppedEvent) })
}
