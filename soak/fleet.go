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
	recoveryTime      = 3 * time.Second // after a fault of a gateway, before it counts as in touch
	readinessInterval = time.Second     // the balancer asks whether a gateway is ready
	maxFailedChecks   = 2               // after which it gets no new connection
	addressBlockSize  = 32              // addresses that share a port, more than a fleet has
)

// ErrNotReady means that a gateway does not start.
var ErrNotReady = errors.New("gateway does not start")

// TimeSpan is a time span. A zero end means that it lasts.
type TimeSpan struct{ From, To time.Time }

// overlaps returns whether a span has a moment in common with another.
func (s TimeSpan) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// gateway is one gateway: a process, and another one once that has ended.
type gateway struct {
	name             string
	program          string
	dir              string
	listenAddress    netip.AddrPort
	readinessAddress netip.AddrPort
	gracePeriod      time.Duration // between a signal to stop and the end

	settingsMu sync.Mutex // guards the settings and their file
	settings   map[string]any

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed once the process has ended
	outages         []TimeSpan    // not in touch
	stops           []Stop        // planned ends
	logOffset       int           // where the log of the present process begins
	stopping        bool          // asked to end, and not started again yet
	unexpectedExits int           // processes that ended by themselves
	healthy         bool          // in rotation
	failedChecks    int
}

// newGateways returns the gateways of a fleet that reads a store.
func newGateways(count int, program, dir string, store netip.AddrPort) []*gateway {
	loopback.Together(addressBlockSize)
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
			"name": g.name, "place": fmt.Sprintf("place%d", n%2+1), "listen": g.listenAddress.String(), "ready": g.readinessAddress.String(),
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

// settingsFile returns the path of the settings.
func (g *gateway) settingsFile() string { return filepath.Join(g.dir, g.name+".json") }

func (g *gateway) writeSettings(change func()) error {
	g.settingsMu.Lock()
	defer g.settingsMu.Unlock()
	change()
	body, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	tempFile := g.settingsFile() + ".next" // a process that starts meanwhile reads a whole file
	if err := os.WriteFile(tempFile, body, 0o600); err != nil {
		return err
	}
	return os.Rename(tempFile, g.settingsFile())
}

// start starts a process.
func (g *gateway) start() error {
	if err := g.writeSettings(func() {}); err != nil {
		return err
	}
	logFile, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
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
		_ = cmd.Wait() // what counts is that it ended, and whether it was asked to
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
	_ = g.cmd.Process.Signal(s) // fails if the process has ended, which is noticed elsewhere
}

// pause stops the process for a time.
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

// reloadSettings changes a setting and has the process read it, once the process is ready.
func (g *gateway) reloadSettings(seed uint64) error {
	err := g.writeSettings(func() { g.settings["memory"] = fmt.Sprint(128 + seed%64) })
	if g.inRotation() {
		g.signal(syscall.SIGHUP)
	}
	return err
}

// checkReadiness asks whether the gateway is ready, as the balancer does.
func (g *gateway) checkReadiness(client *http.Client) {
	response, err := client.Get("http://" + g.readinessAddress.String() + platform.PathReady)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close() // the status is all that counts
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

// inRotation returns whether the gateway gets new connections.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healthy
}

// pollReadiness asks a gateway until the context ends and reports its end on the channel.
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
