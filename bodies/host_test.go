package bodies_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	serviceName = "desk"
	teamKey     = "key1"
	largePath   = "/large" // the target answers a path that ends with it with largeAnswer
)

// largeAnswer is the body of a large answer of the target.
var largeAnswer = bytes.Repeat([]byte("a"), largeAnswerBytes)

// host is a running program that serves callers, with a store and a target of its own.
type host struct {
	*process
	address netip.AddrPort // for callers
	path    string         // before the path of a request
}

// startTarget starts a target that reads each request whole and answers it, and returns its address.
func startTarget(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(answer)}
	go func() { _ = server.Serve(l) }() // returns an error once it is closed
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// answer is the answer of the target.
func answer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	w.Header().Set(target.HeaderSeal, "seal")
	body := []byte("ok")
	if strings.HasSuffix(r.URL.Path, largePath) {
		body = largeAnswer
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body) // fails if the host has left
}

// startStore starts the stand-in of the platform's store, and returns it and its address.
func startStore(t *testing.T) (*standin.Platform, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	store := standin.New(standin.NewConfig(), l)
	done := store.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return store, l.Addr().(*net.TCPAddr).AddrPort()
}

// gatewaySettings are the settings of cassia-gateway as its settings file has them.
type gatewaySettings struct {
	Name   string         `json:"name"`
	Place  string         `json:"place"`
	Listen netip.AddrPort `json:"listen"`
	Ready  netip.AddrPort `json:"ready"`
	Peer   netip.AddrPort `json:"peer"`
	Store  netip.AddrPort `json:"store"`
	Memory string         `json:"memory"`
	Cores  string         `json:"cores"`
}

// limitedConfig is a configuration of the operator with the limit on bodies, which the stand-in lacks.
type limitedConfig struct {
	operator.Config
	Limits bodyLimits `json:"limits"`
}

// bodyLimits are the limits on callers.
type bodyLimits struct {
	operator.Limits
	MaxBody int `json:"maxBodyBytes"`
}

// startGateway starts cassia-gateway.
func startGateway(t *testing.T) *host {
	t.Helper()
	store, storeAddress := startStore(t)
	config := limitedConfig{
		Config: operator.Config{
			Version: 1,
			Routes: []operator.Route{{
				Name: "order", Host: "h", Prefix: "/order/", Kind: operator.KindOrder, Timeout: 10_000, LatencyTarget: 1000,
				Service: serviceName, MaxAttempts: 1, Public: true,
			}},
			Services: []operator.Service{{Name: serviceName, MaxConnections: 200}},
		},
		Limits: bodyLimits{Limits: operator.Limits{IdleTimeout: 15_000}, MaxBody: maxBodyBytes},
	}
	body, err := json.Marshal(config)
	require.NoError(t, err)
	store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableOperator, Key: platform.KeyConfig, Value: body}}})
	require.NoError(t, operator.PutEntry(store, "target1", operator.Entry{
		Service: serviceName, Address: startTarget(t).String(), Place: "place1", Slots: 64, State: operator.StateReady, StartedAt: time.Now().UnixMilli(),
	}))
	s := gatewaySettings{
		Name: "host1", Place: "place1", Listen: loopback.Address(), Ready: loopback.Address(), Peer: loopback.Address(),
		Store: storeAddress, Memory: fmt.Sprint(hostMemory >> 20), Cores: "1",
	}
	p := startProcess(t, "cassia-gateway", s, readinessURL(s.Ready, platform.PathReady))
	return &host{process: p, address: s.Listen, path: "/order"}
}

// startEntry starts cassia-entry.
func startEntry(t *testing.T) *host {
	t.Helper()
	_, storeAddress := startStore(t)
	set := catalog.NewSet()
	set.Places["place1"], set.Teams["team1"] = catalog.Place{}, catalog.Team{}
	sum := sha256.Sum256([]byte(teamKey))
	set.Keys["key1"] = catalog.Key{Digest: hex.EncodeToString(sum[:]), Teams: []string{"team1"}}
	set.Services[serviceName] = catalog.Service{Kind: catalog.KindPlain, MaxBodyBytes: maxBodyBytes}
	set.Targets["target1"] = catalog.Target{Service: serviceName, Place: "place1", Address: startTarget(t), Slots: 64}
	_, err := publish.NewStore(platform.NewClient(storeAddress), time.Now).Publish("test", func(newest *catalog.Set) error {
		set.Revision = newest.Revision
		*newest = *set
		return nil
	})
	require.NoError(t, err)
	s := entry.NewSettings()
	s.Place, s.Secret, s.Platform, s.Memory = "place1", "secret-of-the-peers", storeAddress, hostMemory>>20
	s.Listen, s.Peer, s.Status = loopback.Address(), loopback.Address(), loopback.Address()
	p := startProcess(t, "cassia-entry", s, readinessURL(s.Status, "/readyz"))
	return &host{process: p, address: s.Listen, path: "/services/" + serviceName}
}

// head returns the head of a request to a path of the target, with more header lines, without the empty line at its
// end.
func (h *host) head(path, id, lines string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s", h.path, path, target.HeaderAttempt, id, teamKey, lines)
}
