// Package integration_test runs the programs as processes behind the
// fault-injecting proxy.
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
	patience    = 60 * time.Second // a condition that does not come about by then fails the test
	poll        = 20 * time.Millisecond
	operatorKey = "operator-key"
	poisonWord  = "poisonword"
	spareHosts  = 4
)

var programs string // directory of the built programs

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
	programs = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// plan says which fleet to start.
type plan struct {
	places  int
	hosts   int // in each place
	engines int // in each place
	plains  int // in each place
	fence   bool
	poison  string
	step    time.Duration // of an engine
	service func(s *catalog.Service)
}

func smallPlan() plan {
	return plan{places: 2, hosts: 2, engines: 2, plains: 1, step: 4 * time.Millisecond}
}

// fleet is a running fleet of processes.
type fleet struct {
	t        testing.TB
	dir      string
	plan     plan
	platform netip.AddrPort // the platform itself, for its faults
	links    map[string]*faults.Proxy
	hosts    []*host // started, in order
	planned  []*host
	targets  []*targetProcess
	admin    *process
	api      netip.AddrPort
	ctx      context.Context
}

// host is one entry host.
type host struct {
	*process
	settings entry.Settings
	file     string
}

// targetProcess is one target behind its proxy.
type targetProcess struct {
	*process
	name    string
	service string
	place   string
	address netip.AddrPort // of the target itself
	proxy   *faults.Proxy
}

func key(team string) string { return "key-of-" + team }

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// start starts a fleet and waits until it serves.
func start(t testing.TB, p plan) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{t: t, dir: keptDir(t), plan: p, links: map[string]*faults.Proxy{}, ctx: ctx}
	f.platform = loopback.Address()
	f.spawn("platform", "cassia-standin", "platform", "--listen", f.platform.String(), "--lag", "1s")
	f.listening(f.platform)
	f.startTargets()
	f.startAdmin()
	f.planHosts(p.places*p.hosts + spareHosts)
	for range p.places * p.hosts {
		f.addHost()
	}
	f.listHosts()
	f.apply(f.document())
	for _, h := range f.hosts {
		f.ready(h)
	}
	return f
}

func placeName(n int) string { return fmt.Sprintf("place%d", n+1) }

func (f *fleet) startTargets() {
	for n := range f.plan.places {
		for k := range f.plan.engines {
			f.startTarget(fmt.Sprintf("engine%d-%d", n+1, k+1), "model", placeName(n), f.engineArgs())
		}
		for k := range f.plan.plains {
			args := []string{"plain", "--slots", "4", "--work", "20ms"}
			if f.plan.fence {
				args = append(args, "--fence")
			}
			f.startTarget(fmt.Sprintf("desk%d-%d", n+1, k+1), "desk", placeName(n), args)
		}
	}
}

func (f *fleet) engineArgs() []string {
	args := []string{"engine", "--batch", "4", "--base", f.plan.step.String()}
	if f.plan.poison != "" {
		args = append(args, "--poison", f.plan.poison)
	}
	return args
}

func (f *fleet) startTarget(name, service, place string, args []string) {
	address := loopback.Address()
	args = append(args, "--listen", address.String())
	tp := &targetProcess{
		process: f.spawn(name, "cassia-standin", args...), name: name, service: service, place: place, address: address,
	}
	f.listening(address)
	tp.proxy = f.link(name, address)
	f.targets = append(f.targets, tp)
}

func (f *fleet) startAdmin() {
	f.api = loopback.Address()
	s := admin.NewSettings()
	s.Listen, s.Platform = f.api, f.platform
	s.Operators = []admin.Operator{
		{Name: "ana", Digest: digest(operatorKey)}, {Name: "ben", Digest: digest(operatorKey + "2")},
	}
	f.admin = f.spawn("admin", "cassia-admin", "--settings", f.write("admin.json", s))
	f.listening(f.api)
}

func (f *fleet) write(name string, value any) string {
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, body, 0o600))
	return path
}

// planHosts makes the settings of all hosts, spare ones included. Each direction
// between two hosts, and between a host and the platform, has a proxy of its own.
func (f *fleet) planHosts(count int) {
	for n := range count {
		s := entry.NewSettings()
		s.Place, s.Secret = placeName(n%f.plan.places), f.dir // no other fleet has the secret
		s.Listen, s.Peer, s.Status = loopback.Address(), loopback.Address(), loopback.Address()
		s.Platform = f.link(fmt.Sprintf("host%d-platform", n+1), f.platform).Address()
		s.Grace = settings.Duration{Duration: 500 * time.Millisecond}
		f.planned = append(f.planned, &host{settings: s})
	}
	for n, h := range f.planned {
		for k, other := range f.planned {
			if n == k {
				continue
			}
			via := f.link(linkName(n+1, k+1), other.settings.Peer)
			h.settings.Routes = append(h.settings.Routes, entry.Route{To: other.settings.Peer, Via: via.Address()})
		}
	}
}

// addHost starts the next planned host. The hosts that run are its seeds.
func (f *fleet) addHost() *host {
	h := f.planned[len(f.hosts)]
	n := len(f.hosts) + 1
	for _, other := range f.hosts {
		h.settings.Peers = append(h.settings.Peers, entry.Peer{Address: other.settings.Peer, Place: other.settings.Place})
	}
	h.file = f.write(fmt.Sprintf("host%d.json", n), h.settings)
	h.process = f.spawn(fmt.Sprintf("host%d", n), "cassia-entry", "--settings", h.file)
	f.hosts = append(f.hosts, h)
	f.listening(h.settings.Status)
	return h
}

// linkName names the proxy of one direction between two hosts.
func linkName(from, to int) string { return fmt.Sprintf("host%d-host%d", from, to) }

// listHosts tells the platform which hosts there are.
func (f *fleet) listHosts() {
	var list standin.HostList
	for _, h := range f.hosts {
		list.Hosts = append(list.Hosts, platform.Host{Address: h.settings.Peer, Place: h.settings.Place})
	}
	f.control(standin.PathHosts, list)
}

// control sets the state of the platform's stand-in.
func (f *fleet) control(path string, value any) {
	f.t.Helper()
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	status, _ := f.http(fasthttp.MethodPost, f.platform, path, nil, body)
	require.Equal(f.t, fasthttp.StatusOK, status)
}

func (f *fleet) platformFaults(value standin.Faults) { f.control(standin.PathFaults, value) }

// document is the configuration of the fleet.
func (f *fleet) document() *admin.Document {
	d := &admin.Document{
		Teams: map[string]json.RawMessage{}, Keys: map[string]json.RawMessage{}, Places: map[string]json.RawMessage{},
		Services: map[string]json.RawMessage{}, Targets: map[string]json.RawMessage{},
	}
	for _, team := range []string{"red", "blue"} {
		d.Teams[team] = f.raw(catalog.Team{})
		d.Keys[team] = f.raw(catalog.Key{Digest: digest(key(team)), Teams: []string{team}})
	}
	for n := range f.plan.places {
		d.Places[placeName(n)] = f.raw(catalog.Place{})
	}
	for name, kind := range map[string]string{"model": catalog.KindModel, "desk": catalog.KindPlain} {
		s := catalog.Service{Kind: kind, Fencing: f.plan.fence && kind == catalog.KindPlain}
		if f.plan.service != nil {
			f.plan.service(&s)
		}
		d.Services[name] = f.raw(s)
	}
	for _, t := range f.targets {
		d.Targets[t.name] = f.raw(catalog.Target{Service: t.service, Place: t.place, Address: t.proxy.Address(), Slots: 4})
	}
	return d
}

func (f *fleet) raw(value any) json.RawMessage {
	body, err := json.Marshal(value)
	require.NoError(f.t, err)
	return body
}

// ctl runs the command line and returns its output and exit code.
func (f *fleet) ctl(args ...string) (string, int) {
	f.t.Helper()
	args = append([]string{"--api", f.api.String(), "--key", operatorKey}, args...)
	cmd := exec.Command(filepath.Join(programs, "cassia-ctl"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		require.IsType(f.t, &exec.ExitError{}, err, string(out))
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func (f *fleet) apply(d *admin.Document) {
	f.t.Helper()
	out, code := f.ctl("apply", f.write("document.json", d))
	require.Zero(f.t, code, out)
}

func (f *fleet) ready(h *host) {
	f.t.Helper()
	f.eventually(h.name+" ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// status returns the state of a host, or false if it does not answer.
func (f *fleet) status(h *host) (entry.Status, bool) {
	var s entry.Status
	status, body, err := fasthttp.GetTimeout(nil, "http://"+h.settings.Status.String()+"/status", time.Second)
	ok := err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &s) == nil
	return s, ok
}

// owner returns the host that owns a service's shard in a place, or nil.
func (f *fleet) owner(service, place string, among ...*host) *host {
	for _, h := range among {
		s, _ := f.status(h)
		for _, shard := range s.Shards {
			if shard.Service == service && shard.Place == place {
				return h
			}
		}
	}
	return nil
}

// http makes one call.
func (f *fleet) http(method string, address netip.AddrPort, path string, headers map[string]string, body []byte) (int, *fasthttp.Response) {
	f.t.Helper()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address.String() + path)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.SetBody(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := client.DoTimeout(request, response, patience); err != nil {
		return 0, response
	}
	return response.StatusCode(), response
}

// runs returns the records of all targets of a service.
func (f *fleet) runs(service string) []plain.Run {
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

// ranOrder returns how often an order ran.
func (f *fleet) ranOrder(order string) int {
	count := 0
	for _, r := range f.runs("desk") {
		if r.Order == order {
			count++
		}
	}
	return count
}
