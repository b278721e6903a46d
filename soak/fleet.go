package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/loopback"
)

const (
	gracePeriod       = 8 * time.Second // between SIGTERM and the end of a gateway
	recoveryTime      = 3 * time.Second // after a pause of a gateway, during which it still counts as out of contact
	readinessInterval = time.Second     // between two readiness checks of the load balancer
	maxFailedChecks   = 2               // failed checks in a row after which a gateway gets no new connection
	addressBlockSize  = 32              // loopback addresses that share a port; more than the gateways of a fleet use
)

// ErrNotReady means that the gateways were not ready in time after their start.
var ErrNotReady = errors.New("gateways not ready within the start timeout")

// TimeSpan is a span of time. If To is zero, the span has not ended.
type TimeSpan struct{ From, To time.Time }

// overlaps reports whether the span and the time between from and to have a moment in common.
func (s TimeSpan) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// gateway runs one gateway as a process, which may be restarted.
type gateway struct {
	name             string
	program          string
	dir              string
	listenAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	gracePeriod      time.Duration // between a signal to stop and the end

	settingsMu sync.Mutex // guards settings and the settings file
	settings   map[string]any

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed when the process has ended
	outages         []TimeSpan    // spans in which the gateway was out of contact
	stops           []Stop        // planned stops
	logOffset       int           // offset in the log file at which the log of the current process begins
	stopping        bool          // a planned stop has begun, and no new process was started since
	unexpectedExits int           // number of processes that ended without a planned stop
	healthy         bool          // passes the readiness checks and is in rotation
	failedChecks    int           // failed readiness checks in a row
}

// newGateways returns the gateways of a fleet, which read their configuration from the store at the given
// address.
func newGateways(count int, program, dir string, store netip.AddrPort) []*gateway {
	loopback.SkipToSharedPort(addressBlockSize)
	var gateways []*gateway
	var seeds []string
	for n := range count {
		g := &gateway{
			name: fmt.Sprintf("host%d", n+1), program: program, dir: dir,
			listenAddress: loopback.Address(), readinessAddress: loopback.Address(), gracePeriod: gracePeriod,
		}
		peerAddress := loopback.Address()
		seeds = append(seeds, peerAddress.String())
		g.settings = map[string]any{
			"name": g.name, "place": placeName(n), "listen": g.listenAddress.String(), "ready": g.readinessAddress.String(),
			"peer": peerAddress.String(), "store": store.String(), "grace": gracePeriod.String(), "revoke": "5s",
			"heartbeat": "1200ms", "window": "10s", "ratio": "0.2", "fixed": "54", "cores": "1", "memory": "128", "lag": "1m",
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		g.settings["seeds"] = seeds
	}
	return gateways
}

// settingsFile returns the path of the settings file.
func (g *gateway) settingsFile() string { return filepath.Join(g.dir, g.name+".json") }

// writeSettings applies a change to the settings and writes the settings file.
func (g *gateway) writeSettings(change func()) error {
	g.settingsMu.Lock()
	defer g.settingsMu.Unlock()
	change()
	body, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	tempFile := g.settingsFile() + ".next" // renamed below, so that a process that starts meanwhile never reads a partial file
	if err := os.WriteFile(tempFile, body, 0o600); err != nil {
		return err
	}
	return os.Rename(tempFile, g.settingsFile())
}

// start starts a process that runs the gateway.
func (g *gateway) start() error {
	if err := g.writeSettings(func() {}); err != nil {
		return err
	}
	logFile, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own file descriptor
	info, err := logFile.Stat()
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program, "--settings", g.settingsFile())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.stopping, g.healthy, g.logOffset = cmd, done, false, false, int(info.Size())
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status does not matter, only whether a stop was planned
		g.mu.Lock()
		if !g.stopping {
			g.unexpectedExits++
		}
		g.mu.Unlock()
		close(done)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // fails if the process has ended, which the goroutine in start notices
}

// pause suspends the process for the given time and records the outage.
func (g *gateway) pause(duration time.Duration) {
	g.mu.Lock()
	g.outages = append(g.outages, TimeSpan{From: time.Now()})
	n := len(g.outages) - 1
	g.mu.Unlock()
	g.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	g.signal(syscall.SIGCONT)
	g.mu.Lock()
	g.outages[n].To = time.Now().Add(recoveryTime)
	g.mu.Unlock()
}

// reloadSettings changes a setting. If the gateway is in rotation, it has the process reload the settings
// file.
func (g *gateway) reloadSettings(seed uint64) error {
	err := g.writeSettings(func() { g.settings["memory"] = fmt.Sprint(128 + seed%64) })
	if g.inRotation() {
		g.signal(syscall.SIGHUP)
	}
	return err
}

// checkReadiness checks once whether the gateway is ready and updates whether it is in rotation, as a load
// balancer does.
func (g *gateway) checkReadiness(client *http.Client) {
	response, err := client.Get("http://" + g.readinessAddress.String() + platform.PathReady)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close() // only the status matters
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ready {
		g.healthy, g.failedChecks = true, 0
		return
	}
	if g.failedChecks++; g.failedChecks >= maxFailedChecks {
		g.healthy = false
	}
}

// inRotation reports whether the gateway gets new connections.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy
}

// pollReadiness checks the readiness of the gateway at the given interval until the context ends. It closes
// the returned channel when it has finished.
func (g *gateway) pollReadiness(ctx context.Context, interval time.Duration) <-chan struct{} {
	done := make(chan struct{})
	client := &http.Client{Timeout: readinessInterval}
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			g.checkReadiness(client)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}
