// Package fleet runs a small fleet in one process over loopback: the platform,
// places with entry hosts, targets and the administration API. It is meant for
// demonstrations and experiments.
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
	readyPoll        = 20 * time.Millisecond
	readyTimeout     = 10 * time.Second
	adminKey         = "demo-operator"
	peerSecret       = "demo-secret-of-the-peers"
	plainServiceTime = 20 * time.Millisecond
	hostListLag      = time.Second
)

// ErrNotReady means that the fleet did not become ready in time.
var ErrNotReady = errors.New("fleet did not become ready in time")

// Config configures a Fleet.
type Config struct {
	Places       int           // number of data centres
	Hosts        int           // entry hosts in each place
	Engines      int           // total number of model engines, spread over the places
	PlainTargets int           // total number of plain targets, spread over the places
	Teams        []string      // names of the teams
	Engine       engine.Config // configuration of each engine
	Slots        int           // slots of each plain target
	Policy       string        // scheduling policy of the entry hosts
	WithoutPeers bool          // hosts run without peers
	Log          zerolog.Logger
}

// NewConfig returns a Config with the size of the fleet of one user.
func NewConfig() Config {
	return Config{
		Places: 3, Hosts: 2, Engines: 10, PlainTargets: 3, Engine: engine.NewConfig(), Slots: 8,
		Policy: "fair", Log: zerolog.Nop(),
	}
}

// Fleet is a running fleet.
type Fleet struct {
	Config          Config
	Entries         []*EntryHost
	Engines         []*engine.Engine
	Platform        *standin.Platform
	Targets         []TargetAddress
	Admin           netip.AddrPort
	ctx             context.Context
	cancel          context.CancelFunc
	done            []<-chan struct{}
	platformAddress netip.AddrPort
}

// TargetAddress describes a target and where it listens.
type TargetAddress struct {
	Name    string
	Service string
	Place   string
	Address netip.AddrPort
	Slots   int
}

// EntryHost is a running entry host.
type EntryHost struct {
	Settings entry.Settings
	stop     context.CancelFunc
	done     <-chan struct{}
}

// Stop stops the host gracefully and waits until it has ended.
func (n *EntryHost) Stop() {
	n.stop()
	<-n.done
}

// Key returns the bearer key of a team's router.
func Key(team string) string { return "key-of-" + team }

// keyDigest returns the digest of a key as the configuration stores it.
func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PlaceName returns the name of the place with an index.
func PlaceName(n int) string { return fmt.Sprintf("place%d", n+1) }

// listenLoopback returns a listener on a free loopback port, and its address.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "listen")
	}
	return l, l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (netip.AddrPort, error) {
	l, address, err := listenLoopback()
	if err != nil {
		return address, err
	}
	return address, l.Close()
}

// Start starts a fleet, applies its configuration and waits until every entry host
// is ready. The error is ErrNotReady or that of the step that failed.
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

// Stop stops the entry hosts gracefully, and then everything else.
func (f *Fleet) Stop() {
	for _, n := range f.Entries {
		n.stop()
	}
	for _, n := range f.Entries {
		<-n.done
	}
	f.cancel()
	for _, done := range f.done {
		<-done
	}
}

func (f *Fleet) startPlatform() error {
	l, address, err := listenLoopback()
	if err != nil {
		return err
	}
	f.platformAddress = address
	config := standin.NewConfig()
	config.Lag = hostListLag
	f.Platform = standin.New(config, l)
	f.done = append(f.done, f.Platform.Run(f.ctx))
	return nil
}

func (f *Fleet) startTargets() error {
	for i := range f.Config.Engines {
		l, address, err := listenLoopback()
		if err != nil {
			return err
		}
		e := engine.New(f.Config.Engine, l)
		f.Engines = append(f.Engines, e)
		f.done = append(f.done, e.Run(f.ctx))
		f.Targets = append(f.Targets, TargetAddress{
			Name: fmt.Sprintf("engine%d", i+1), Service: "model", Place: PlaceName(i % f.Config.Places),
			Address: address, Slots: f.Config.Engine.Batch,
		})
	}
	for i := range f.Config.PlainTargets {
		l, address, err := listenLoopback()
		if err != nil {
			return err
		}
		s := plain.New(plain.Config{Slots: f.Config.Slots, Work: plainServiceTime}, l)
		f.done = append(f.done, s.Run(f.ctx))
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

func (f *Fleet) startEntry(place string) (*EntryHost, error) {
	s := entry.NewSettings()
	s.Place, s.Platform, s.Secret, s.Policy, s.WithoutPeers = place, f.platformAddress, peerSecret, f.Config.Policy, f.Config.WithoutPeers
	s.Grace = settings.Duration{Duration: 200 * time.Millisecond}
	for _, address := range []*netip.AddrPort{&s.Listen, &s.Peer, &s.Status} {
		var err error
		if *address, err = freeAddress(); err != nil {
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
	return &EntryHost{Settings: s, stop: stop, done: done}, nil
}

func (f *Fleet) startAdmin() error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	f.Admin = address
	s := admin.NewSettings()
	s.Listen, s.Platform = address, f.platformAddress
	s.Operators = []admin.Operator{{Name: "demo", Digest: keyDigest(adminKey)}}
	a, err := admin.New(s)
	if err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(f.ctx)
	}()
	f.done = append(f.done, done)
	return nil
}

// Document returns the configuration of the fleet.
func (f *Fleet) Document() (*admin.Document, error) {
	set := catalog.NewSet()
	for _, team := range f.Config.Teams {
		set.Teams[team] = catalog.Team{}
		set.Keys[team] = catalog.Key{Digest: keyDigest(Key(team)), Teams: []string{team}}
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

// documentBody encodes the objects of a set that operators may write.
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

// apply applies the configuration of the fleet.
func (f *Fleet) apply() error {
	d, err := f.Document()
	if err != nil {
		return err
	}
	return f.Apply(d)
}

// Apply applies a configuration document through the administration API.
func (f *Fleet) Apply(d *admin.Document) error {
	body, err := json.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode the configuration document")
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
		return errors.Newf("apply the configuration document: status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

// awaitReady waits until every entry host is ready and knows the other hosts of
// its place.
func (f *Fleet) awaitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !f.allReady() {
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-ticker.C:
		}
	}
	return nil
}

func (f *Fleet) allReady() bool {
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
