package target

import (
	"context"
	"net"
	"time"
)

// relistenInterval is the time between two attempts to listen again, as the address may still be in use.
const relistenInterval = 10 * time.Millisecond

// Crash resets all connections and refuses new ones for a time. Then the target serves as a new process under the same
// ID. A crash while the target is down has no effect.
func (t *Target) Crash(down time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crash.Target != "" && t.crash.ServedAt.IsZero() {
		return
	}
	t.crash = Crash{Target: t.id, At: time.Now()}
	t.downUntil = t.crash.At.Add(down)
	t.stalledUntil, t.rejectUntil = time.Time{}, time.Time{}
	t.listener.Close() // endProcess closes it later, and a connection that arrives before that is not refused
	t.endProcess()
}

// listenAgain listens at the same address once the target is no longer down. It returns false if the context ended.
func (t *Target) listenAgain(ctx context.Context) bool {
	address := t.Address().String()
	t.mu.Lock()
	wait := time.Until(t.downUntil)
	t.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			t.recordRestart(l)
			return true
		}
		wait = relistenInterval
	}
}

// recordRestart records that the target serves again.
func (t *Target) recordRestart(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = l
	t.crash.ServedAt = time.Now()
	t.ledger.recordCrash(t.crash)
}

// crashed reports whether the process that serves the connection has ended.
func (s *session) crashed() bool { return s.process.Err() != nil }

// close closes the connection, with a reset if the target crashed.
func (s *session) close() {
	if s.crashed() {
		s.reset()
		return
	}
	s.conn.Close()
}

// recordCrashed records the run of a request that waited when the target crashed, as its caller can't know that it
// never began.
func (s *session) recordCrashed(c *call) {
	if s.crashed() {
		run := s.target.ledger.recordRun(Run{ID: c.id, Target: s.target.ID(), Service: s.target.config.Service, Arrived: c.received})
		s.target.ledger.recordEnd(run, EndReset)
	}
}
