package gateway_test

import (
	"bufio"
	"bytes"
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
	waitLimit      = 10 * time.Second
	worldAddresses = 16       // most addresses of a world and its second gateway
	largestHead    = 64 << 10 // that a caller reads
)

// world is a gateway between scripted targets and a stand-in of the store.
type world struct {
	t       testing.TB
	store   *standin.Platform
	client  *platform.Client
	address netip.AddrPort
	ready   netip.AddrPort
	peer    netip.AddrPort
	stop    context.CancelFunc
	done    chan error
	version uint64
	logs    *buffer
	targets []*scripted
	gateway *gateway.Gateway
	own     gateway.Settings
}

// buffer collects the log.
type buffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all.String()
}

func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func newWorld(t testing.TB, targets ...*scripted) *world {
	t.Helper()
	return newWorldWith(t, func(*gateway.Settings) {}, targets...)
}

// newWorldWith is newWorld with changed settings.
func newWorldWith(t testing.TB, change func(s *gateway.Settings), targets ...*scripted) *world {
	t.Helper()
	loopback.Together(worldAddresses)
	l, storeAddress := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, store: standin.New(standin.NewConfig(), l), client: platform.NewClient(storeAddress),
		address: loopback.Address(), ready: loopback.Address(), done: make(chan error, 1), logs: &buffer{}, targets: targets,
	}
	w.store.Run(ctx)
	w.configure(nil)
	for _, s := range targets {
		w.list(s, "ready")
	}
	s := w.settings("host1", storeAddress)
	s.Listen, s.Ready = w.address, w.ready
	w.peer = s.Peer
	change(&s)
	g, err := gateway.New(s, gateway.WithLog(zerolog.New(w.logs)))
	require.NoError(t, err)
	w.gateway, w.own = g, s
	serving, stop := context.WithCancel(ctx)
	w.stop = stop
	go func() { w.done <- g.Run(serving) }()
	t.Cleanup(func() {
		stop()
		cancel()
		w.checkLog()
	})
	w.until(func() bool {
		status, _ := w.get(w.ready, platform.PathReady)
		return status == fasthttp.StatusOK
	})
	w.until(func() bool {
		return len(targets) == 0 || bytes.Contains([]byte(w.logs.String()), []byte(`"event":"targets"`))
	})
	return w
}

// checkLog compares the fields of all lines of the log with the golden file.
func (w *world) checkLog() {
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

// keysLast lets keys be served however late the host reads the store.
func keysLast(s *gateway.Settings) { s.Revoke = settings.Span{Duration: time.Minute} }

// settings returns settings of a gateway that reads a store.
func (w *world) settings(name string, store netip.AddrPort) gateway.Settings {
	s := gateway.NewSettings()
	s.Name, s.Place = name, "place1"
	s.Listen, s.Ready, s.Peer, s.Store = loopback.Address(), loopback.Address(), loopback.Address(), store
	s.Grace = settings.Span{Duration: 3 * time.Second}
	s.Revoke = settings.Span{Duration: 3 * time.Second}
	s.Lag = settings.Span{Duration: time.Minute} // the tests may run beside others
	return s
}

// second starts another gateway, which can't reach the store and has the first one as
// its seed, with settings changed as wanted. The test fails if it does not stop.
func (w *world) second(change func(s *gateway.Settings)) (*world, *gateway.Gateway, gateway.Settings) {
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

// until waits for a condition.
func (w *world) until(condition func() bool) {
	w.t.Helper()
	require.Eventually(w.t, condition, waitLimit, 5*time.Millisecond)
}

func (w *world) get(address netip.AddrPort, path string) (int, string) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address.String()+path, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	return status, string(body)
}

// put writes a row of a table, as the operator and the targets do.
func (w *world) put(table, key string, value any) {
	w.t.Helper()
	body, err := json.Marshal(value)
	require.NoError(w.t, err)
	w.store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: table, Key: key, Value: body}}})
}

// document is the operator's configuration.
type document struct {
	Version  uint64          `json:"version"`
	Routes   []documentRoute `json:"routes"`
	Services []documentPlace `json:"services"`
	Tenants  []documentTeam  `json:"tenants"`
	Limits   documentLimits  `json:"limits"`
}

type documentLimits struct {
	Idle int `json:"idleTimeoutMs,omitempty"`
}

type documentRoute struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeoutMs"`
	Aim      int    `json:"targetLatencyMs"`
	Pause    int    `json:"gapTargetMs"`
	Service  string `json:"service"`
	Attempts int    `json:"maxAttempts"`
	Public   bool   `json:"public"`
	Resume   bool   `json:"streamResume"`
}

type documentPlace struct {
	Name   string          `json:"name"`
	Engine *documentEngine `json:"engine,omitempty"`
}

type documentEngine struct {
	Slots  int `json:"slots"`
	Memory int `json:"kvCapacity"`
}

type documentTeam struct {
	Name string   `json:"name"`
	Keys []string `json:"apiKeys"`
}

// configure publishes the next version, changed as wanted.
func (w *world) configure(change func(d *document)) {
	w.version++
	d := document{
		Version: w.version,
		Routes: []documentRoute{
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: "idempotent", Timeout: 2000, Aim: 200, Service: "plain", Attempts: 2, Public: true},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: "non_idempotent", Timeout: 2000, Aim: 200, Service: "plain", Attempts: 2, Public: true},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: "streaming", Timeout: 5000, Aim: 600, Pause: 250, Service: "model", Attempts: 2, Resume: true},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: "streaming", Timeout: 5000, Aim: 600, Pause: 250, Service: "model", Attempts: 1},
		},
		Services: []documentPlace{{Name: "plain"}, {Name: "model", Engine: &documentEngine{Slots: 8, Memory: 100000}}},
		Tenants:  []documentTeam{{Name: "team1", Keys: []string{"key1"}}, {Name: "team2", Keys: []string{"key2"}}},
	}
	if change != nil {
		change(&d)
	}
	w.put(platform.TableOperator, platform.KeyConfig, d)
}

// targetRow is the entry of a target.
type targetRow struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

func (w *world) list(s *scripted, state string) {
	w.put(platform.TableTargets, s.id, targetRow{
		Service: s.service, Address: s.address.String(), Zone: "place1", Slots: 8, State: state,
	})
}

// call is one request of a caller and its answer.
type call struct {
	path, key, id string
	deadline      time.Duration
}

type result struct {
	status int
	header *fasthttp.ResponseHeader
	body   string
	err    error
}

// do sends a request on a new connection and reads the whole answer.
func (w *world) do(c call) result {
	var request fasthttp.Request
	request.Header.SetRequestURI(c.path)
	request.Header.SetHost("h")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Token-Count", "100,40")
	request.SetBodyString("body of " + c.id)
	if c.key != "" {
		request.Header.Set("X-Key", c.key)
	}
	if c.deadline > 0 {
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	}
	conn, err := net.DialTimeout("tcp", w.address.String(), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
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
	return readResult(bufio.NewReaderSize(conn, largestHead))
}

func readResult(rd *bufio.Reader) result {
	var response fasthttp.Response
	r := result{err: response.Read(rd)}
	r.status = response.StatusCode()
	r.header = &fasthttp.ResponseHeader{}
	response.Header.CopyTo(r.header)
	r.body = string(response.Body())
	return r
}

// dial opens a connection and sends bytes on it.
func (w *world) dial(text string) net.Conn {
	w.t.Helper()
	conn, err := net.DialTimeout("tcp", w.address.String(), time.Second)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(w.t, err)
	return conn
}

// outage makes the store fail all calls, or none.
func (w *world) outage(down bool) { w.store.SetFaults(standin.Faults{Down: down}) }

// logged returns whether the log has a text.
func (w *world) logged(text string) bool {
	return bytes.Contains([]byte(w.logs.String()), []byte(text))
}

// inFlight returns whether a scripted target holds a request.
func (w *world) inFlight() bool {
	for _, s := range w.targets {
		if len(s.seen()) > 1 {
			return true
		}
	}
	return false
}
