// Package experiment measures what a load run does not show: the latency that an
// entry host adds, the time until a configuration change is in force, and the memory
// of open requests. It also plots the results of runs.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/fleet"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/standin/engine"
)

const (
	latencyCalls       = 1000
	changeCount        = 20
	changePollInterval = 5 * time.Millisecond
	changeTimeout      = 30 * time.Second
	callTimeout        = 10 * time.Second
	maxMicros          = 10_000_000
	significantDigits  = 3
)

// ErrMeasurementFailed means that a request failed or that a change did not come
// into force in time.
var ErrMeasurementFailed = errors.New("measurement failed")

// quantiles are latencies in milliseconds.
type quantiles struct {
	P50, P90, P99, Max float64
}

// summarise returns the quantiles of a histogram of microseconds.
func summarise(h *hdrhistogram.Histogram) quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return quantiles{P50: millis(50), P90: millis(90), P99: millis(99), Max: float64(h.Max()) / 1000}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

// startFleet starts an idle fleet of the default size with a given time for each
// step of an engine.
func startFleet(ctx context.Context, step time.Duration) (*fleet.Fleet, error) {
	config := fleet.NewConfig()
	config.Teams = fleet.DemoTeams()
	config.Engine.Base, config.Engine.Slope = step, 0
	config.Log = zerolog.Nop()
	return fleet.Start(ctx, config)
}

// AddedLatency alternates requests sent directly to an engine with requests sent
// through an entry host, on an otherwise idle fleet, and prints the latency that
// the host adds. The engines answer with one token after a step of 1 ms.
func AddedLatency(ctx context.Context, out io.Writer) error {
	f, err := startFleet(ctx, time.Millisecond)
	if err != nil {
		return err
	}
	defer f.Stop()
	direct, viaHost := newHistogram(), newHistogram()
	pool := link.NewPool(nil)
	for n := range latencyCalls {
		for _, path := range []struct {
			address   netip.AddrPort
			latencies *hdrhistogram.Histogram
		}{{f.Targets[0].Address, direct}, {f.Entries[n%len(f.Entries)].Settings.Listen, viaHost}} {
			elapsed, err := timeCompletion(ctx, pool, path.address, n)
			if err != nil {
				return err
			}
			_ = path.latencies.RecordValue(elapsed.Microseconds())
		}
	}
	d, t := summarise(direct), summarise(viaHost)
	fmt.Fprintf(out, "direct   p50 %.2f p90 %.2f p99 %.2f max %.2f ms\n", d.P50, d.P90, d.P99, d.Max)
	fmt.Fprintf(out, "through  p50 %.2f p90 %.2f p99 %.2f max %.2f ms\n", t.P50, t.P90, t.P99, t.Max)
	fmt.Fprintf(out, "added    p50 %.2f p90 %.2f p99 %.2f ms over %d calls each\n", t.P50-d.P50, t.P90-d.P90, t.P99-d.P99, latencyCalls)
	return nil
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// timeCompletion sends one streamed completion of one token and returns its
// duration.
func timeCompletion(ctx context.Context, pool *link.Pool, address netip.AddrPort, n int) (time.Duration, error) {
	body, err := json.Marshal(completionBody{Model: "model", Prompt: fmt.Sprintf("call %d length=1", n), Stream: true})
	if err != nil {
		return 0, err
	}
	conn, err := pool.Get(ctx, address, false)
	if err != nil {
		return 0, err
	}
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address.String() + "/v1/completions")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+fleet.Key(fleet.BackloggedTeam))
	request.Header.Set(engine.HeaderRequest, fmt.Sprint("call-", n))
	request.SetBody(body)
	start := time.Now()
	if err := conn.Send(request); err != nil {
		return 0, err
	}
	if err := conn.Receive(response, callTimeout); err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, link.NewBody(conn, response)); err != nil {
		return 0, err
	}
	elapsed := time.Since(start)
	if response.StatusCode() != fasthttp.StatusOK {
		return 0, errors.Wrapf(ErrMeasurementFailed, "completion request: status %d", response.StatusCode())
	}
	pool.Put(address, conn)
	return elapsed, nil
}

// ConfigurationDelay applies configuration changes one after another and prints how long each
// takes until it is in force on every entry host.
func ConfigurationDelay(ctx context.Context, out io.Writer) error {
	f, err := startFleet(ctx, time.Millisecond)
	if err != nil {
		return err
	}
	defer f.Stop()
	delays := newHistogram()
	for n := range changeCount {
		d := &admin.Document{Teams: map[string]json.RawMessage{
			fleet.BackloggedTeam: json.RawMessage(fmt.Sprintf(`{"weight": %d}`, n+2)),
		}}
		start := time.Now()
		if err := f.Apply(d); err != nil {
			return err
		}
		if err := awaitRevision(ctx, f, uint64(n+2)); err != nil {
			return err
		}
		_ = delays.RecordValue(time.Since(start).Microseconds())
	}
	q := summarise(delays)
	fmt.Fprintf(out, "change in force on all %d hosts: p50 %.0f p90 %.0f max %.0f ms over %d changes\n",
		len(f.Entries), q.P50, q.P90, q.Max, changeCount)
	return nil
}

// awaitRevision waits until a revision is in force on all hosts.
func awaitRevision(ctx context.Context, f *fleet.Fleet, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	ticker := time.NewTicker(changePollInterval)
	defer ticker.Stop()
	for !appliedOnAllHosts(f, revision) {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ErrMeasurementFailed, "revision %d is not in force on all hosts", revision)
		case <-ticker.C:
		}
	}
	return nil
}

// appliedOnAllHosts reports whether all hosts have a revision or a later one.
func appliedOnAllHosts(f *fleet.Fleet, revision uint64) bool {
	for _, n := range f.Entries {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+n.Settings.Status.String()+"/status", time.Second)
		var s entry.Status
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &s) != nil || s.Revision < revision {
			return false
		}
	}
	return true
}
