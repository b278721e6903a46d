package gateway_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/gateway"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/loopback"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	waitTimeout     = 10 * time.Second // for a condition or an answer
	envAddresses    = 16               // at least as many as a testEnv and its second gateway use
	maxResponseHead = 64 << 10         // bytes
)

// testEnv runs a gateway between scripted targets and a stand-in for the store.
type testEnv struct {
	t           testing.TB
	store       *standin.Platform
	client      *platform.Client
	address     netip.AddrPort // for callers
	ready       netip.AddrPort // for readiness checks
	peer        netip.AddrPort // for messages of other gateways
	metrics     netip.AddrPort
	stop        context.CancelFunc
	done        chan error
	version     uint64 // version of the configuration that was written last
	logs        *logBuffer
	targets     []*scriptedTarget
	gateway     *gateway.Gateway
	ownSettings gateway.Settings // settings with which the gateway was started
}

// logBuffer collects the log of a gateway. It may be read while the gateway runs.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

// listen opens a listener on a free port until the end of the test.
func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

// newTestEnv starts a gateway with the default settings of the tests and waits until it knows
// the targets.
func newTestEnv(t testing.TB, targets ...*scriptedTarget) *testEnv {
	t.Helper()
	return newTestEnvWith(t, func(*gateway.Settings) {}, targets...)
}

// newTestEnvWith is like newTestEnv, but lets the function change modify the settings first.
func newTestEnvWith(t testing.TB, change func(s *gateway.Settings), targets ...*scriptedTarget) *testEnv {
	t.Helper()
	loopback.SkipToSharedPort(envAddresses)
	l, storeAddress := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	w := &testEnv{
		t: t, store: standin.New(standin.NewConfig(), l), client: platform.NewClient(storeAddress),
		address: loopback.Address(), ready: loopback.Address(), done: make(chan error, 1), logs: &logBuffer{}, targets: targets,
	}
	w.store.Run(ctx)
	w.configure(nil)
	for _, s := range targets {
		w.putTarget(s, "ready")
	}
	s := w.settings("host1", storeAddress)
	s.Listen, s.Ready = w.address, w.ready
	s.Metrics = loopback.Address()
	w.peer, w.metrics = s.Peer, s.Metrics
	change(&s)
	g, err := gateway.New(s, gateway.WithLog(zerolog.New(w.logs)))
	require.NoError(t, err)
	w.gateway, w.ownSettings = g, s
	runCtx, stop := context.WithCancel(ctx)
	w.stop = stop
	go func() { w.done <- g.Run(runCtx) }()
	t.Cleanup(func() {
		stop()
		cancel()
		w.checkLog()
	})
	w.waitUntil(func() bool {
		status, _ := w.get(w.ready, platform.PathReady)
		return status == fasthttp.StatusOK
	})
	w.waitUntil(func() bool {
		return len(targets) == 0 || bytes.Contains([]byte(w.logs.String()), []byte(`"event":"targets"`))
	})
	return w
}

// checkLog checks that each log line has only the events and fields that the golden file
// lists.
func (w *testEnv) checkLog() {
	body, err := os.ReadFile("testdata/events.golden")
	require.NoError(w.t, err)
	events := map[string]string{}
	for line := range strings.Lines(string(body)) {
		event, fields, _ := strings.Cut(strings.TrimSpace(line), ":")
		events[event] = fields + " "
	}
	for line := range strings.Lines(w.logs.String()) {
		require.True(w.t, gjson.Valid(line), line)
		event := gjson.Get(line, "event").String()
		require.Contains(w.t, events, event)
		gjson.Parse(line).ForEach(func(field, _ gjson.Result) bool {
			if name := field.String(); name != "event" && name != "level" && name != "host" {
				require.Contains(w.t, events[event], " "+name+" ", "field of %s", event)
			}
			return true
		})
	}
}

// keepKeysValid makes the gateway accept keys for a minute after its last read of the store.
func keepKeysValid(s *gateway.Settings) { s.Revoke = settings.OptionalDuration{Duration: time.Minute} }

// settings returns settings of a gateway that uses a store.
func (w *testEnv) settings(name string, store netip.AddrPort) gateway.Settings {
	s := gateway.NewSettings()
	s.Name, s.Place = name, "place1"
	s.Listen, s.Ready, s.Peer, s.Store = loopback.Address(), loopback.Address(), loopback.Address(), store
	s.Grace = settings.OptionalDuration{Duration: 3 * time.Second}
	s.Revoke = settings.OptionalDuration{Duration: 3 * time.Second}
	s.MaxLag = settings.OptionalDuration{Duration: time.Minute} // the host may be busy with other tests
	return s
}

// startSecond starts another gateway, which can't reach the store and has the first one as its
// seed. change may modify its settings. The test fails if the gateway does not stop at the
// end. The returned testEnv sends its requests to the second gateway.
func (w *testEnv) startSecond(change func(s *gateway.Settings)) (*testEnv, *gateway.Gateway, gateway.Settings) {
	w.t.Helper()
	s := w.settings("host2", loopback.Address())
	require.Equal(w.t, w.peer.Port(), s.Peer.Port(), "seeds are asked at the own port")
	s.Seeds = []netip.AddrPort{w.peer}
	if change != nil {
		change(&s)
	}
	g, err := gateway.New(s)
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	w.t.Cleanup(func() {
		stop()
		require.NoError(w.t, <-done)
	})
	second := *w
	second.address = s.Listen
	return &second, g, s
}

// waitUntil waits for a condition and fails the test if it does not come true.
func (w *testEnv) waitUntil(condition func() bool) {
	w.t.Helper()
	require.Eventually(w.t, condition, waitTimeout, 5*time.Millisecond)
}

// get returns the status and body of a GET request, or 0 and the error.
func (w *testEnv) get(address netip.AddrPort, path string) (int, string) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address.String()+path, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	return status, string(body)
}

// putRow writes a row of a table of the store, as the operator and the targets do.
func (w *testEnv) putRow(table, key string, value any) {
	w.t.Helper()
	body, err := json.Marshal(value)
	require.NoError(w.t, err)
	w.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: table, Key: key, Value: body}}})
}

// configDocument is the operator's configuration as it is stored.
type configDocument struct {
	Version  uint64          `json:"version"`
	Routes   []configRoute   `json:"routes"`
	Services []configService `json:"services"`
	Tenants  []configTeam    `json:"tenants"`
	Limits   configLimits    `json:"limits"`
}

// configLimits are the limits in a configDocument.
type configLimits struct {
	IdleTimeout int `json:"idleTimeoutMs,omitempty"`
	MaxBody     int `json:"maxBodyBytes,omitempty"`
}

// configRoute is a route in a configDocument.
type configRoute struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Timeout     int    `json:"timeoutMs"`
	LatencyGoal int    `json:"targetLatencyMs"`
	GapGoal     int    `json:"gapTargetMs"`
	Service     string `json:"service"`
	Attempts    int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Resume      bool   `json:"streamResume"`
}

// configService is a service in a configDocument.
type configService struct {
	Name   string        `json:"name"`
	Engine *configEngine `json:"engine,omitempty"`
}

// configEngine describes the engines of a service in a configDocument.
type configEngine struct {
	Slots         int `json:"slots"`
	TokenCapacity int `json:"kvCapacity"`
}

// configTeam is a team in a configDocument.
type configTeam struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// configure writes the next version of the configuration, which change may modify.
func (w *testEnv) configure(change func(d *configDocument)) {
	w.version++
	d := configDocument{
		Version: w.version,
		Routes: []configRoute{
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: "idempotent", Timeout: 2000, LatencyGoal: 200, Service: "plain", Attempts: 2, Public: true},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: "non_idempotent", Timeout: 2000, LatencyGoal: 200, Service: "plain", Attempts: 2, Public: true},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", Timeout: 5000, LatencyGoal: 600, GapGoal: 250, Service: "model", Attempts: 2, Resume: true},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: "streaming", Timeout: 5000, LatencyGoal: 600, GapGoal: 250, Service: "model", Attempts: 1},
		},
		Services: []configService{{Name: "plain"}, {Name: "model", Engine: &configEngine{Slots: 8, TokenCapacity: 100000}}},
		Tenants:  []configTeam{{Name: "team1", Keys: []string{"key1"}}, {Name: "team2", Keys: []string{"key2"}}},
	}
	if change != nil {
		change(&d)
	}
	w.putRow(platform.TableOperator, platform.KeyConfig, d)
}

// targetRow is the stored entry of a target.
type targetRow struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// putTarget writes the entry of a target to the store.
func (w *testEnv) putTarget(s *scriptedTarget, state string) {
	w.putRow(platform.TableTargets, s.id, targetRow{
		Service: s.service, Address: s.address.String(), Zone: "place1", Version: s.version, Slots: 8, State: state,
	})
}

// call describes a request of a caller.
type call struct {
	path, key, id string
	parts         string // of the prompt, as ID:TOKENS entries
	body          string // in place of a short one that is made of the id
	deadline      time.Duration
}

// result is the answer to a call, or the error of reading it.
type result struct {
	status int
	header *fasthttp.ResponseHeader
	body   string
	err    error
}

// do sends a request on a new connection and reads the whole answer.
func (w *testEnv) do(c call) result {
	var request fasthttp.Request
	request.Header.SetRequestURI(c.path)
	request.Header.SetHost("h")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Token-Count", "100,40")
	request.SetBodyString(cmp.Or(c.body, "body of "+c.id))
	if c.key != "" {
		request.Header.Set("X-Key", c.key)
	}
	if c.parts != "" {
		request.Header.Set("X-Prompt-Prefix", c.parts)
	}
	if c.deadline > 0 {
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	}
	conn, err := net.DialTimeout("tcp", w.address.String(), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return result{err: err}
	}
	var raw bytes.Buffer
	wr := bufio.NewWriter(&raw)
	if err := request.Write(wr); err != nil {
		return result{err: err}
	}
	wr.Flush()
	if _, err := conn.Write(raw.Bytes()); err != nil {
		return result{err: err}
	}
	return readResult(bufio.NewReaderSize(conn, maxResponseHead))
}

// readResult reads one answer.
func readResult(rd *bufio.Reader) result {
	var response fasthttp.Response
	r := result{err: response.Read(rd)}
	r.status = response.StatusCode()
	r.header = &fasthttp.ResponseHeader{}
	response.Header.CopyTo(r.header)
	r.body = string(response.Body())
	return r
}

// dial opens a connection to the gateway and sends bytes on it.
func (w *testEnv) dial(text string) net.Conn {
	w.t.Helper()
	conn, err := net.DialTimeout("tcp", w.address.String(), time.Second)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(w.t, err)
	return conn
}

// setOutage makes all calls to the store fail, or succeed again.
func (w *testEnv) setOutage(down bool) { w.store.SetFaults(standin.Faults{Down: down}) }

// logContains returns whether the log contains a text.
func (w *testEnv) logContains(text string) bool {
	return bytes.Contains([]byte(w.logs.String()), []byte(text))
}

// secondRequestArrived returns whether a scripted target has received more than one request.
func (w *testEnv) secondRequestArrived() bool {
	for _, s := range w.targets {
		if len(s.received()) > 1 {
			return true
		}
	}
	return false
}
