//go:build review

// Package kit starts a small deployment for the cases of the review: gateways as separate processes,
// and stand-ins of the store and the replicas, all on loopback addresses.
package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	startTimeout = 10 * time.Second
	program      = "target/cassia-gateway" // as deploy/system.toml starts it
	settingsEnv  = "CASSIACHUTE_CONFIG"
	sharedPort   = 16 // loopback addresses that share a port, more than the gateways of a case
)

// World is a small deployment.
type World struct {
	Store    *standin.Platform
	Gateways []*Gateway
	Record   *Record

	dir     string
	address netip.AddrPort
	cancel  context.CancelFunc
}

// NewWorld starts the store with a configuration. The record is written to file.
func NewWorld(file string, config operator.Config) (*World, error) {
	record, err := NewRecord(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &World{Store: standin.New(standin.NewConfig(), l), Record: record, dir: dir, cancel: cancel, address: l.Addr().(*net.TCPAddr).AddrPort()}
	w.Store.Run(ctx)
	return w, w.Publish(config)
}

// maxBodyBytes is the limit of the site for the body of a request.
const maxBodyBytes = 4194304

// Publish writes a configuration to the store, with the limit for bodies, which the operator's stand-in lacks.
func (w *World) Publish(config operator.Config) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	document["limits"].(map[string]any)["maxBodyBytes"] = maxBodyBytes
	text, err = json.Marshal(document)
	if err != nil {
		return err
	}
	w.Store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableOperator, Key: platform.KeyConfig, Value: text}}})
	return nil
}

// Close ends all gateways and removes the temporary folder.
func (w *World) Close() {
	for _, g := range w.Gateways {
		g.Kill()
	}
	w.cancel()
	_ = os.RemoveAll(w.dir)
	w.Record.Close()
}

// Gateway is a gateway process.
type Gateway struct {
	Name   string
	Listen netip.AddrPort
	Ready  netip.AddrPort

	settings string
	logFile  string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// StartGateways starts gateways and waits until all are ready. Their settings are those of the template of
// the deploy file, filled in for the deployment of the site file guild-tint.
func (w *World) StartGateways(count int) error {
	loopback.SkipToSharedPort(sharedPort)
	var peers []string
	for n := range count {
		peer := loopback.Address()
		peers = append(peers, peer.String())
		g := &Gateway{Name: fmt.Sprintf("edge-%d", n+1), Listen: loopback.Address(), Ready: loopback.Address()}
		g.settings, g.logFile = filepath.Join(w.dir, g.Name+".json"), filepath.Join(w.dir, g.Name+".log")
		w.Gateways = append(w.Gateways, g)
	}
	for n, g := range w.Gateways {
		body, err := json.Marshal(map[string]any{
			"name": g.Name, "place": fmt.Sprintf("zone-%d", n+1), "listen": g.Listen.String(), "ready": g.Ready.String(),
			"peer": peers[n], "store": w.address.String(), "seeds": peers[:min(3, len(peers))], "memory": "284", "cores": "1",
			"grace": "8s", "revoke": "5000ms", "heartbeat": "1200ms", "window": "10s", "ratio": "0.2", "fixed": "54",
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(g.settings, body, 0o600); err != nil {
			return err
		}
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range w.Gateways {
		if err := g.AwaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

// Start starts the process.
func (g *Gateway) Start() error {
	out, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsEnv + "=" + g.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Pid returns the id of the process.
func (g *Gateway) Pid() int { return g.cmd.Process.Pid }

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Exited returns a channel that is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
}

// Log returns what the process logged.
func (g *Gateway) Log() string {
	text, _ := os.ReadFile(g.logFile)
	return string(text)
}

// AwaitReady waits until the process reports that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.Ready.String() + platform.PathReady)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.Name)
}
