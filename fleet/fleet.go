// Package fleet runs a whole small fleet in one process over loopback: the
// platform, places with entry hosts, targets and the administration API. It is
// for demonstrations and experiments.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/plain"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	readyPoll    = 20 * time.Millisecond
	readyTimeout = 10 * time.Second
	adminKey     = "demo-operator"
	secret       = "demo-secret-of-the-peers"
	plainWork    = 20 * time.Millisecond
	hostLag      = time.Second
)

// ErrNotReady means that the fleet did not come up in time.
var ErrNotReady = errors.New("fleet not ready in time")

// Config configures a Fleet.
type Config struct {
	Places  int           // data centres
	Hosts   int           // entry hosts in each place
	Engines int           // model engines in all, spread over the places
	Plains  int           // plain replicas in all
	Teams   []string      // names of the teams
	Engine  engine.Config // of every engine
	Slots   int           // slots of a plain replica
	Policy  string
	Alone   bool
	Log     zerolog.Logger
}

// NewConfig returns a Config with the size of one user of today.
func NewConfig() Config {
	return Config{
		Places: 3, Hosts: 2, Engines: 10, Plains: 3, Engine: engine.NewConfig(), Slots: 8,
		Policy: "fair", Log: zerolog.Nop(),
	}
}

// Fleet is a running fleet.
type Fleet struct {
	Config   Config
	Entries  []*Node
	Engines  []*engine.Engine
	Platform *standin.Platform
	Targets  []TargetAddress
	Admin    netip.AddrPort
	ctx      context.Context
	cancel   context.CancelFunc
	ends     []<-chan struct{}
	base     netip.AddrPort // of the platform
}

// TargetAddress is where a target listens.
type TargetAddress struct {
	Name    string
	Service string
	Place   string
	Address netip.AddrPort
	Slots   int
}

// Node is one entry host.
type Node struct {
	Settings entry.Settings
	stop     context.CancelFunc
	done     <-chan struct{}
}

// Stop stops a host as planned and waits for its end.
func (n *Node) Stop() {
	n.stop()
	<-n.done
}

// Key returns the bearer key of a team's router.
func Key(team string) string { return "key-of-" + team }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PlaceName returns the name of a place by its position.
func PlaceName(n int) string { return fmt.Sprintf("place%d", n+1) }

// free returns a listener at a free loopback port.
func free() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// port returns a free loopback address.
func port() (netip.AddrPort, error) {
	l, address, err := free()
	if err != nil {
		return address, err
	}
	return address, l.Close()
}

// Start starts a fleet, applies its configuration and waits until every entry
// host has it. The error is ErrNotReady or that of a part.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	f := &Fleet{Config: config}
	f.ctx, f.cancel = context.WithCancel(ctx)
	steps := []func() error{f.startPlatform, f.startTargets, f.startAdmin, f.startEntries, f.apply, f.awaitReady}
	for _, step := range steps {
		if err := step(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop ends all parts.
func (f *Fleet) Stop() {
	for _, n := range f.Entries {
		n.stop()
	}
	for _, n := range f.Entries {
		<-n.done
	}
	f.cancel()
	for _, end := range f.ends {
		<-end
	}
}

func (f *Fleet) startPlatform() error {
	l, address, err := free()
	if err != nil {
		return err
	}
	f.base = address
	config := standin.NewConfig()
	config.Lag = hostLag
	f.Platform = standin.New(config, l)
	f.ends = append(f.ends, f.Platform.Run(f.ctx))
	return nil
}

func (f *Fleet) startTargets() error {
	for i := range f.Config.Engines {
		l, address, err := free()
		if err != nil {
			return err
		}
		e := engine.New(f.Config.Engine, l)
		f.Engines = append(f.Engines, e)
		f.ends = append(f.ends, e.Run(f.ctx))
		f.Targets = append(f.Targets, TargetAddress{
			Name: fmt.Sprintf("engine%d", i+1), Service: "model", Place: PlaceName(i % f.Config.Places),
			Address: address, Slots: f.Config.Engine.Batch,
		})
	}
	for i := range f.Config.Plains {
		l, address, err := free()
		if err != nil {
			return err
		}
		s := plain.New(plain.Config{Slots: f.Config.Slots, Work: plainWork}, l)
		f.ends = append(f.ends, s.Run(f.ctx))
		f.Targets = append(f.Targets, TargetAddress{
			Name: fmt.Sprintf("desk%d", i+1), Service: "desk", Place: PlaceName(i % f.Config.Places),
			Address: address, Slots: f.Config.Slots,
		})
	}
	return nil
}

func (f *Fleet) startEntries() error {
	var hosts []platform.Host
	for i := range f.Config.Places * f.Config.Hosts {
		n, err := f.startEntry(PlaceName(i % f.Config.Places))
		if err != nil {
			return err
		}
		f.Entries = append(f.Entries, n)
		hosts = append(hosts, platform.Host{Address: n.Settings.Peer, Place: n.Settings.Place})
	}
	f.Platform.SetHosts(hosts)
	return nil
}

func (f *Fleet) startEntry(place string) (*Node, error) {
	s := entry.NewSettings()
	s.Place, s.Platform, s.Secret, s.Policy, s.WithoutPeers = place, f.base, secret, f.Config.Policy, f.Config.Alone
	s.Grace = settings.Duration{Duration: 200 * time.Millisecond}
	for _, into := range []*netip.AddrPort{&s.Listen, &s.Peer, &s.Status} {
		var err error
		if *into, err = port(); err != nil {
			return nil, err
		}
	}
	for _, n := range f.Entries {
		s.Peers = append(s.Peers, entry.Peer{Address: n.Settings.Peer, Place: n.Settings.Place})
	}
	e, err := entry.New(s, entry.WithLog(f.Config.Log))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	return &Node{Settings: s, stop: stop, done: done}, nil
}

func (f *Fleet) startAdmin() error {
	address, err := port()
	if err != nil {
		return err
	}
	f.Admin = address
	s := admin.NewSettings()
	s.Listen, s.Platform = address, f.base
	s.Operators = []admin.Operator{{Name: "demo", Digest: digest(adminKey)}}
	a, err := admin.New(s)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(f.ctx)
	}()
	f.ends = append(f.ends, done)
	return nil
}

// Document returns the configuration of the fleet.
func (f *Fleet) Document() (*admin.Document, error) {
	set := catalog.NewSet()
	for _, team := range f.Config.Teams {
		set.Teams[team] = catalog.Team{}
		set.Keys[team] = catalog.Key{Digest: digest(Key(team)), Teams: []string{team}}
	}
	for i := range f.Config.Places {
		set.Places[PlaceName(i)] = catalog.Place{}
	}
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel}
	set.Services["desk"] = catalog.Service{Kind: catalog.KindPlain}
	for _, t := range f.Targets {
		set.Targets[t.Name] = catalog.Target{Service: t.Service, Place: t.Place, Address: t.Address, Slots: t.Slots}
	}
	var d admin.Document
	return &d, errors.Wrap(settings.Parse(documentBody(set), &d), "document")
}

// documentBody returns the objects of a set without what is not an operator's.
func documentBody(set *catalog.Set) []byte {
	body, err := json.Marshal(struct {
		Teams    map[string]catalog.Team    `json:"teams"`
		Keys     map[string]catalog.Key     `json:"keys"`
		Places   map[string]catalog.Place   `json:"places"`
		Services map[string]catalog.Service `json:"services"`
		Targets  map[string]catalog.Target  `json:"targets"`
	}{set.Teams, set.Keys, set.Places, set.Services, set.Targets})
	if err != nil {
		return nil
	}
	return body
}

// apply sends the configuration to the administration API.
func (f *Fleet) apply() error {
	d, err := f.Document()
	if err != nil {
		return err
	}
	return f.Apply(d)
}

// Apply applies a document through the administration API.
func (f *Fleet) Apply(d *admin.Document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + f.Admin.String() + admin.PathApply)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+adminKey)
	request.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(request, response, readyTimeout); err != nil {
		return errors.Wrap(err, "apply")
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("apply: status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

// awaitReady waits until every entry host is ready and knows the others of its
// place.
func (f *Fleet) awaitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !f.ready() {
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-ticker.C:
		}
	}
	return nil
}

func (f *Fleet) ready() bool {
	for _, n := range f.Entries {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+n.Settings.Status.String()+"/status", time.Second)
		var s entry.Status
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &s) != nil {
			return false
		}
		if !s.Ready || len(s.Live) < f.Config.Hosts {
			return false
		}
	}
	return true
}
