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
	grace        = 8 * time.Second // between SIGTERM and the end of a gateway
	contactTime  = 3 * time.Second // after a fault of a gateway, before it counts as in touch
	askEvery     = time.Second     // the balancer asks whether a gateway is ready
	askMisses    = 2               // after which it gets no new connection
	addressBlock = 32              // addresses that share a port, more than a fleet has
)

// ErrStart means that a gateway does not start.
var ErrStart = errors.New("gateway does not start")

// Span is a time span. A zero end means that it lasts.
type Span struct{ From, To time.Time }

// overlaps returns whether a span has a moment in common with another.
func (s Span) overlaps(from, to time.Time) bool {
	return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
}

// gateway is one gateway: a process, and another one once that has ended.
type gateway struct {
	name    string
	program string
	dir     string
	listen  netip.AddrPort
	ready   netip.AddrPort
	grace   time.Duration // between a signal to stop and the end

	files    sync.Mutex // guards the settings and their file
	settings map[string]any

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{} // closed once the process has ended
	away    []Span        // not in touch
	stops   []Stop        // planned ends
	logFrom int           // where the log of the present process begins
	ending  bool          // asked to end, and not started again yet
	ended   int           // processes that ended by themselves
	in      bool          // in rotation
	misses  int
}

// newGateways returns the gateways of a fleet that reads a store.
func newGateways(count int, program, dir string, store netip.AddrPort) []*gateway {
	loopback.Together(addressBlock)
	var all []*gateway
	var seeds []string
	for n := range count {
		g := &gateway{
			name: fmt.Sprintf("host%d", n+1), program: program, dir: dir,
			listen: loopback.Address(), ready: loopback.Address(), grace: grace,
		}
		peer := loopback.Address()
		seeds = append(seeds, peer.String())
		g.settings = map[string]any{
			"name": g.name, "place": fmt.Sprintf("place%d", n%2+1), "listen": g.listen.String(), "ready": g.ready.String(),
			"peer": peer.String(), "store": store.String(), "grace": grace.String(), "revoke": "5s",
			"heartbeat": "1200ms", "window": "10s", "ratio": "0.2", "fixed": "54", "cores": "1", "memory": "128", "lag": "1m",
		}
		all = append(all, g)
	}
	for _, g := range all {
		g.settings["seeds"] = seeds
	}
	return all
}

// file returns the path of the settings.
func (g *gateway) file() string { return filepath.Join(g.dir, g.name+".json") }

func (g *gateway) write(change func()) error {
	g.files.Lock()
	defer g.files.Unlock()
	change()
	body, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	next := g.file() + ".next" // a process that starts meanwhile reads a whole file
	if err := os.WriteFile(next, body, 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.file())
}

// start starts a process.
func (g *gateway) start() error {
	if err := g.write(func() {}); err != nil {
		return err
	}
	out, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	info, err := out.Stat()
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program, "--settings", g.file())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done, g.ending, g.in, g.logFrom = cmd, done, false, false, int(info.Size())
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // what counts is that it ended, and whether it was asked to
		g.mu.Lock()
		if !g.ending {
			g.ended++
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
func (g *gateway) pause(length time.Duration) {
	g.mu.Lock()
	g.away = append(g.away, Span{From: time.Now()})
	n := len(g.away) - 1
	g.mu.Unlock()
	g.signal(syscall.SIGSTOP)
	time.Sleep(length)
	g.signal(syscall.SIGCONT)
	g.mu.Lock()
	g.away[n].To = time.Now().Add(contactTime)
	g.mu.Unlock()
}

// hangup changes a setting and has the process read it, once the process is ready.
func (g *gateway) hangup(draw uint64) error {
	err := g.write(func() { g.settings["memory"] = fmt.Sprint(128 + draw%64) })
	if g.inRotation() {
		g.signal(syscall.SIGHUP)
	}
	return err
}

// ask asks whether the gateway is ready, as the balancer does.
func (g *gateway) ask(client *http.Client) {
	response, err := client.Get("http://" + g.ready.String() + platform.PathReady)
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close() // the status is all that counts
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.in, g.misses = true, 0
		return
	}
	if g.misses++; g.misses >= askMisses {
		g.in = false
	}
}

// inRotation returns whether the gateway gets new connections.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.in
}

// balance asks a gateway until the context ends and reports its end on the channel.
func (g *gateway) balance(ctx context.Context, every time.Duration) <-chan struct{} {
	done := make(chan struct{})
	client := &http.Client{Timeout: askEvery}
	go func() {
		defer close(done)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			g.ask(client)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}
