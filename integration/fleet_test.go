// Package integration_test runs the programs as processes with fault-injecting
// proxies between them.
package integration_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/faults"
	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/standin/plain"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	waitTimeout  = 60 * time.Second // limit for a condition to become true and for a request
	pollInterval = 20 * time.Millisecond
	operatorKey  = "operator-key"
	poisonWord   = "poisonword"
	spareHosts   = 4 // hosts that are configured and can be started later
)

var programDir string // directory that holds the built programs

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cassia")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// fleetConfig describes the fleet that a test starts.
type fleetConfig struct {
	places        int
	hosts         int                      // per place
	engines       int                      // per place
	plainTargets  int                      // per place
	fencing       bool                     // plain targets reject an order with an outdated fencing number
	poison        string                   // word in a prompt that makes an engine crash, if set
	stepTime      time.Duration            // time of one step of an engine
	adjustService func(s *catalog.Service) // changes each service before it is published, if set
}

// smallConfig describes two places with two hosts, two engines and a plain target each.
func smallConfig() fleetConfig {
	return fleetConfig{places: 2, hosts: 2, engines: 2, plainTargets: 1, stepTime: 4 * time.Millisecond}
}

// fleet is a fleet of running processes.
type fleet struct {
	t            testing.TB
	dir          string
	config       fleetConfig
	platform     netip.AddrPort // of the platform itself, without a proxy
	proxies      map[string]*faults.Proxy
	hosts        []*host // in the order of their start
	configured   []*host
	targets      []*targetProcess
	admin        *process
	adminAddress netip.AddrPort
	ctx          context.Context
}

// host is an entry host.
type host struct {
	*process
	settings     entry.Settings
	settingsFile string
}

// targetProcess is a target behind a proxy.
type targetProcess struct {
	*process
	name    string
	service string
	place   string
	address netip.AddrPort // of the target itself, without the proxy
	proxy   *faults.Proxy
}

func keyOf(team string) string { return "key-of-" + team }

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// startFleet starts a fleet and waits until every host is ready.
func startFleet(t testing.TB, config fleetConfig) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{t: t, dir: tempDirKeptOnFailure(t), config: config, proxies: map[string]*faults.Proxy{}, ctx: ctx}
	f.platform = loopback.Address()
	f.startProcess("platform", "cassia-standin", "platform", "--listen", f.platform.String(), "--lag", "1s")
	f.awaitListening(f.platform)
	f.startTargets()
	f.startAdmin()
	f.configureHosts(config.places*config.hosts + spareHosts)
	for range config.places * config.hosts {
		f.addHost()
	}
	f.publishHosts()
	f.apply(f.document())
	for _, h := range f.hosts {
		f.awaitReady(h)
	}
	return f
}

func placeName(n int) string { return fmt.Sprintf("place%d", n+1) }

func (f *fleet) startTargets() {
	for n := range f.config.places {
		for k := range f.config.engines {
			f.startTarget(fmt.Sprintf("engine%d-%d", n+1, k+1), "model", placeName(n), f.engineArgs())
		}
		for k := range f.config.plainTargets {
			args := []string{"plain", "--slots", "4", "--work", "20ms"}
			if f.config.fencing {
				args = append(args, "--fence")
			}
			f.startTarget(fmt.Sprintf("desk%d-%d", n+1, k+1), "desk", placeName(n), args)
		}
	}
}

func (f *fleet) engineArgs() []string {
	args := []string{"engine", "--batch", "4", "--base", f.config.stepTime.String()}
	if f.config.poison != "" {
		args = append(args, "--poison", f.config.poison)
	}
	return args
}

func (f *fleet) startTarget(name, service, place string, args []string) {
	address := loopback.Address()
	args = append(args, "--listen", address.String())
	target := &targetProcess{
		process: f.startProcess(name, "cassia-standin", args...), name: name, service: service, place: place, address: address,
	}
	f.awaitListening(address)
	target.proxy = f.addProxy(name, address)
	f.targets = append(f.targets, target)
}

func (f *fleet) startAdmin() {
	f.adminAddress = loopback.Address()
	s := admin.NewSettings()
	s.Listen, s.Platform = f.adminAddress, f.platform
	s.Operators = []admin.Operator{
		{Name: "ana", Digest: digest(operatorKey)}, {Name: "ben", Digest: digest(operatorKey + "2")},
	}
	f.admin = f.startProcess("admin", "cassia-admin", "--settings", f.writeJSON("admin.json", s))
	f.awaitListening(f.adminAddress)
}

// writeJSON writes a value to a file of the test directory and returns its path.
func (f *fleet) writeJSON(name string, value any) string {
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, body, 0o600))
	return path
}

// configureHosts makes the settings of all hosts, including the spare ones. Each
// direction between two hosts has a proxy of its own, and so does the connection
// of each host to the platform.
func (f *fleet) configureHosts(count int) {
	for n := range count {
		s := entry.NewSettings()
		s.Place, s.Secret = placeName(n%f.config.places), f.dir // a secret of its own, so that hosts of other fleets are rejected
		s.Listen, s.Peer, s.Status = loopback.Address(), loopback.Address(), loopback.Address()
		s.Platform = f.addProxy(fmt.Sprintf("host%d-platform", n+1), f.platform).Address()
		s.Grace = settings.Duration{Duration: 500 * time.Millisecond}
		f.configured = append(f.configured, &host{settings: s})
	}
	for n, h := range f.configured {
		for k, other := range f.configured {
			if n == k {
				continue
			}
			via := f.addProxy(proxyName(n+1, k+1), other.settings.Peer)
			h.settings.Routes = append(h.settings.Routes, entry.Route{To: other.settings.Peer, Via: via.Address()})
		}
	}
}

// addHost starts the next configured host. The started hosts are its seed peers.
func (f *fleet) addHost() *host {
	h := f.configured[len(f.hosts)]
	n := len(f.hosts) + 1
	for _, other := range f.hosts {
		h.settings.Peers = append(h.settings.Peers, entry.Peer{Address: other.settings.Peer, Place: other.settings.Place})
	}
	h.settingsFile = f.writeJSON(fmt.Sprintf("host%d.json", n), h.settings)
	h.process = f.startProcess(fmt.Sprintf("host%d", n), "cassia-entry", "--settings", h.settingsFile)
	f.hosts = append(f.hosts, h)
	f.awaitListening(h.settings.Status)
	return h
}

// proxyName returns the name of the proxy for one direction between two hosts.
func proxyName(from, to int) string { return fmt.Sprintf("host%d-host%d", from, to) }

// publishHosts sets the host list of the platform to the started hosts.
func (f *fleet) publishHosts() {
	var list standin.HostList
	for _, h := range f.hosts {
		list.Hosts = append(list.Hosts, platform.Host{Address: h.settings.Peer, Place: h.settings.Place})
	}
	f.setPlatformState(standin.PathHosts, list)
}

// setPlatformState sends a value to the control interface of the platform
// stand-in.
func (f *fleet) setPlatformState(path string, value any) {
	f.t.Helper()
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	status, _ := f.sendRequest(fasthttp.MethodPost, f.platform, path, nil, body)
	require.Equal(f.t, fasthttp.StatusOK, status)
}

// setPlatformFaults sets the faults that the platform injects.
func (f *fleet) setPlatformFaults(v standin.Faults) { f.setPlatformState(standin.PathFaults, v) }

// document returns the configuration of the fleet.
func (f *fleet) document() *admin.Document {
	d := &admin.Document{
		Teams: map[string]json.RawMessage{}, Keys: map[string]json.RawMessage{}, Places: map[string]json.RawMessage{},
		Services: map[string]json.RawMessage{}, Targets: map[string]json.RawMessage{},
	}
	for _, team := range []string{"red", "blue"} {
		d.Teams[team] = f.rawJSON(catalog.Team{})
		d.Keys[team] = f.rawJSON(catalog.Key{Digest: digest(keyOf(team)), Teams: []string{team}})
	}
	for n := range f.config.places {
		d.Places[placeName(n)] = f.rawJSON(catalog.Place{})
	}
	for name, kind := range map[string]string{"model": catalog.KindModel, "desk": catalog.KindPlain} {
		s := catalog.Service{Kind: kind, Fencing: f.config.fencing && kind == catalog.KindPlain}
		if f.config.adjustService != nil {
			f.config.adjustService(&s)
		}
		d.Services[name] = f.rawJSON(s)
	}
	for _, t := range f.targets {
		d.Targets[t.name] = f.rawJSON(catalog.Target{Service: t.service, Place: t.place, Address: t.proxy.Address(), Slots: 4})
	}
	return d
}

func (f *fleet) rawJSON(value any) json.RawMessage {
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	return body
}

// ctl runs cassia-ctl and returns its output and exit code.
func (f *fleet) ctl(args ...string) (string, int) {
	f.t.Helper()
	args = append([]string{"--api", f.adminAddress.String(), "--key", operatorKey}, args...)
	cmd := exec.Command(filepath.Join(programDir, "cassia-ctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.IsType(f.t, &exec.ExitError{}, err, string(out))
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// apply applies a configuration document with cassia-ctl.
func (f *fleet) apply(d *admin.Document) {
	f.t.Helper()
	out, code := f.ctl("apply", f.writeJSON("document.json", d))
	require.Zero(f.t, code, out)
}

// awaitReady waits until a host reports that it is ready.
func (f *fleet) awaitReady(h *host) {
	f.t.Helper()
	f.eventually(h.name+" ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// status returns the status of a host, or false if the host does not answer.
func (f *fleet) status(h *host) (entry.Status, bool) {
	var s entry.Status
	status, body, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/status", time.Second)
	ok := err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &s) == nil
	return s, ok
}

// owner returns which of the candidates owns the shard of a service in a place, or
// nil if none does.
func (f *fleet) owner(service, place string, candidates ...*host) *host {
	for _, h := range candidates {
		s, _ := f.status(h)
		for _, shard := range s.Shards {
			if shard.Service == service && shard.Place == place {
				return h
			}
		}
	}
	return nil
}

// sendRequest sends one request without retries. The status is 0 if no response
// arrives.
func (f *fleet) sendRequest(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, *fasthttp.Response) {
	f.t.Helper()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address.String() + path)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := client.DoTimeout(request, response, waitTimeout); err != nil {
		return 0, response
	}
	return response.StatusCode(), response
}

// runRecords returns the run records of all targets of a service.
func (f *fleet) runRecords(service string) []plain.Run {
	var all []plain.Run
	for _, t := range f.targets {
		if t.service != service {
			continue
		}
		status, body, err := fasthttp.GetTimeout(nil, "http://"+t.address.String()+"/runs", time.Second)
		var runs []plain.Run
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &runs) == nil {
			all = append(all, runs...)
		}
	}
	return all
}

// orderRuns returns how many times an order was run.
func (f *fleet) orderRuns(order string) int {
	count := 0
	for _, r := range f.runRecords("desk") {
		if r.Order == order {
			count++
		}
	}
	return count
}
