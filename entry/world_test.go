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
	waitLimit    = 20 * time.Second // for the host to be ready and for an answer
	replicas     = 2                // targets of each service
	silenceLimit = time.Second      // of an answer
)

// targetRequest is a request that a target received.
type targetRequest struct {
	request fasthttp.Request
	conn    net.Conn
	number  int // 1 for the first time that this request is received
}

// write writes text to the connection and ignores errors.
func (a *targetRequest) write(text string) { _, _ = io.WriteString(a.conn, text) }

// fixture runs an entry host with scripted targets and a simulated platform. All targets share one
// listener.
type fixture struct {
	t       *testing.T
	address netip.AddrPort

	mu            sync.Mutex
	receiveCounts map[string]int // requests that reached a target, by request ID
}

// newFixture starts an entry host with services of the given kinds, by name. Their targets answer
// requests with the script, which returns false to close the connection.
func newFixture(t *testing.T, services map[string]string, script func(a *targetRequest) bool) *fixture {
	t.Helper()
	w := &fixture{t: t, receiveCounts: map[string]int{}}
	targets, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go w.accept(targets, script)
	store, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	storeDone := standin.New(standin.NewConfig(), store).Run(ctx)
	client := platform.NewClient(addressOf(store))

	s := entry.NewSettings()
	s.Place, s.Secret, s.Platform = "place1", "secret-of-the-peers", addressOf(store)
	s.Listen, s.Peer, s.Status = loopback.Address(), loopback.Address(), loopback.Address()
	s.Grace = settings.Duration{Duration: time.Millisecond}
	set := catalog.NewSet()
	set.Places["place1"], set.Teams["team1"] = catalog.Place{}, catalog.Team{}
	sum := sha256.Sum256([]byte("key1"))
	set.Keys["key1"] = catalog.Key{Digest: hex.EncodeToString(sum[:]), Teams: []string{"team1"}}
	for name, kind := range services {
		limit := settings.Duration{Duration: silenceLimit}
		set.Services[name] = catalog.Service{Kind: kind, FirstByteTimeout: limit, IdleTimeout: limit}
		for range replicas {
			n := len(set.Targets)
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(n >> 8), byte(n)}), 1)
			set.Targets[fmt.Sprintf("target%d", n)] = catalog.Target{Service: name, Place: "place1", Address: address, Slots: 8}
			s.Routes = append(s.Routes, entry.Route{To: address, Via: addressOf(targets)})
		}
	}
	_, err = publish.NewStore(client, time.Now).Publish("test", func(newest *catalog.Set) error {
		set.Revision = newest.Revision
		*newest = *set
		return nil
	})
	require.NoError(t, err)
	e, err := entry.New(s)
	require.NoError(t, err)
	serveCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- e.Run(serveCtx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
		cancel()
		<-storeDone
		targets.Close()
	})
	w.address = s.Listen
	require.Eventually(t, func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+s.Status.String()+"/readyz", time.Second)
		return err == nil && status == fasthttp.StatusOK
	}, waitLimit, 5*time.Millisecond)
	return w
}

// addressOf returns the TCP address of a listener.
func addressOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// accept serves all connections to the targets until the listener is closed.
func (w *fixture) accept(l net.Listener, script func(a *targetRequest) bool) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go w.serve(conn, script)
	}
}

// serve reads requests from one connection and answers them with the script.
func (w *fixture) serve(conn net.Conn, script func(a *targetRequest) bool) {
	defer conn.Close()
	rd := bufio.NewReader(conn)
	for {
		a := &targetRequest{conn: conn}
		if err := a.request.Read(rd); err != nil {
			return
		}
		id := string(a.request.Header.Peek(entry.HeaderRequestID))
		w.mu.Lock()
		w.receiveCounts[id]++
		a.number = w.receiveCounts[id]
		w.mu.Unlock()
		if !script(a) {
			return
		}
	}
}

// receiveCount returns how often the request with an id reached a target.
func (w *fixture) receiveCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.receiveCounts[id]
}

// result is the answer that a caller got.
type result struct {
	status   int
	outcome  string
	body     string
	complete bool // the answer is well-formed and nothing follows it
}

// doRequest sends a request on a new connection and reads until the connection ends.
func (w *fixture) doRequest(method, path, id, extraHeaders, body string) result {
	conn, err := net.DialTimeout("tcp", w.address.String(), waitLimit)
	if err != nil {
		return result{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key1\r\nX-Request-Id: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, extraHeaders, len(body), body)
	all, _ := io.ReadAll(conn) // a reset is a valid way to truncate an answer
	var response fasthttp.Response
	rd := bufio.NewReader(bytes.NewReader(all))
	err = response.Read(rd)
	_, trailingErr := rd.ReadByte()
	return result{
		status: response.StatusCode(), outcome: string(response.Header.Peek(entry.HeaderOutcome)), body: string(response.Body()),
		complete: err == nil && trailingErr == io.EOF && len(all) > 0,
	}
}
