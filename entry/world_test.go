package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	"github.com/cassiachute/cassiachute/settings"
	"github.com/cassiachute/cassiachute/standin/loopback"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

const (
	waitTimeout   = 20 * time.Second // how long to wait for the host to be ready, and for an answer
	hostMemory    = 128 << 20        // bytes
	replicas      = 2                // targets of each service
	silentTimeout = time.Second      // silence of a target after which the host gives up its answer
)

// targetRequest is a request that a target received, with the connection to answer it on.
type targetRequest struct {
	request fasthttp.Request
	conn    net.Conn
	number  int // 1 for the first time that this request is received
}

// write writes text to the connection and ignores errors.
func (received *targetRequest) write(text string) { _, _ = io.WriteString(received.conn, text) }

// fixture runs an entry host with scripted targets and a simulated platform. All targets share one
// listener.
type fixture struct {
	t       *testing.T
	address netip.AddrPort // where the host accepts requests of callers

	mu            sync.Mutex
	receiveCounts map[string]int // requests that reached a target, by request ID
}

// newFixture starts an entry host and waits until it is ready. It serves one service for each entry of
// services, which maps its name to its kind. Targets pass each request to script, which writes the
// answer and returns false to close the connection.
func newFixture(t *testing.T, services map[string]string, script func(received *targetRequest) bool) *fixture {
	t.Helper()
	f := &fixture{t: t, receiveCounts: map[string]int{}}
	targets, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go f.accept(targets, script)
	store, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	storeDone := standin.New(standin.NewConfig(), store).Run(ctx)
	client := platform.NewClient(addressOf(store))

	hostSettings := entry.NewSettings()
	hostSettings.Place, hostSettings.Secret, hostSettings.Platform = "place1", "secret-of-the-peers", addressOf(store)
	hostSettings.Listen, hostSettings.Peer, hostSettings.Status = loopback.Address(), loopback.Address(), loopback.Address()
	hostSettings.Memory = hostMemory >> 20
	hostSettings.Grace = settings.Duration{Duration: time.Millisecond}
	set := catalog.NewSet()
	set.Places["place1"], set.Teams["team1"] = catalog.Place{}, catalog.Team{}
	sum := sha256.Sum256([]byte("key1"))
	set.Keys["key1"] = catalog.Key{Digest: hex.EncodeToString(sum[:]), Teams: []string{"team1"}}
	for name, kind := range services {
		timeout := settings.Duration{Duration: silentTimeout}
		set.Services[name] = catalog.Service{Kind: kind, FirstByteTimeout: timeout, IdleTimeout: timeout}
		for range replicas {
			n := len(set.Targets)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n >> 8), byte(n)}), 1)
			set.Targets[fmt.Sprintf("target%d", n)] = catalog.Target{Service: name, Place: "place1", Address: address, Slots: 8}
			hostSettings.Routes = append(hostSettings.Routes, entry.Route{To: address, Via: addressOf(targets)})
		}
	}
	_, err = publish.NewStore(client, time.Now).Publish("test", func(newest *catalog.Set) error {
		set.Revision = newest.Revision
		*newest = *set
		return nil
	})
	require.NoError(t, err)
	entryHost, err := entry.New(hostSettings)
	require.NoError(t, err)
	serveCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- entryHost.Run(serveCtx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
		cancel()
		<-storeDone
		targets.Close()
	})
	f.address = hostSettings.Listen
	require.Eventually(t, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+hostSettings.Status.String()+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	}, waitTimeout, 5*time.Millisecond)
	return f
}

// addressOf returns the TCP address of a listener.
func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// accept serves all connections to the targets until the listener is closed.
func (f *fixture) accept(listener net.Listener, script func(received *targetRequest) bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.serve(conn, script)
	}
}

// serve reads requests from one connection and lets the script answer them, until the script returns
// false or the caller closes the connection.
func (f *fixture) serve(conn net.Conn, script func(received *targetRequest) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		received := &targetRequest{conn: conn}
		if err := received.request.Read(reader); err != nil {
			return
		}
		id := string(received.request.Header.Peek(entry.HeaderRequestID))
		f.mu.Lock()
		f.receiveCounts[id]++
		received.number = f.receiveCounts[id]
		f.mu.Unlock()
		if !script(received) {
			return
		}
	}
}

// receiveCount returns how many times targets received the request with the given ID.
func (f *fixture) receiveCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.receiveCounts[id]
}

// result is the answer that a caller got.
type result struct {
	status   int
	outcome  string // value of the outcome header: whether the request may have run
	body     string
	complete bool // the answer is well-formed and nothing follows it
}

// doRequest sends a request with the given request ID on a new connection and reads until the host
// closes it. Extra headers are complete lines.
func (f *fixture) doRequest(method, path, id, extraHeaders, body string) result {
	conn, err := net.DialTimeout("tcp", f.address.String(), waitTimeout)
	if err != nil {
		return result{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key1\r\nX-Request-Id: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, extraHeaders, len(body), body)
	all, _ := io.ReadAll(conn) // a reset is a valid way to truncate an answer
	var response fasthttp.Response
	reader := bufio.NewReader(bytes.NewReader(all))
	err = response.Read(reader)
	_, trailingErr := reader.ReadByte()
	return result{
		status: response.StatusCode(), outcome: string(response.Header.Peek(entry.HeaderOutcome)), body: string(response.Body()),
		complete: err == nil && trailingErr == io.EOF && len(all) > 0,
	}
}
