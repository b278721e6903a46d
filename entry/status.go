package entry

import (
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/cassiachute/cassiachute/host"
)

// Status is the state of an entry host as the status address reports it.
type Status struct {
	Peer     string        `json:"peer"`
	Place    string        `json:"place"`
	Revision uint64        `json:"revision"`
	Ready    bool          `json:"ready"`
	Waiting  int           `json:"waiting"`
	Running  int           `json:"running"`
	Live     []string      `json:"live"` // hosts of this place that can own shards
	Sent     uint64        `json:"sent"` // control bytes
	Received uint64        `json:"received"`
	Reads    uint64        `json:"reads"` // calls to the platform
	Writes   uint64        `json:"writes"`
	Traffic  []Traffic     `json:"traffic"`
	Shards   []ShardStatus `json:"shards"`
}

// Traffic counts the control messages of one kind that the host sent.
type Traffic struct {
	Kind     string `json:"kind"`
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
}

// ShardStatus is the state of a shard that the host owns.
type ShardStatus struct {
	Service string         `json:"service"`
	Place   string         `json:"place"`
	Number  uint64         `json:"number"` // incarnation of the owner
	Used    int            `json:"used"`
	Slots   int            `json:"slots"`
	Waiting int            `json:"waiting"`
	Teams   []TeamStatus   `json:"teams"`
	Targets []TargetStatus `json:"targets"`
}

// TeamStatus is the state of a team at a shard.
type TeamStatus struct {
	Team    string  `json:"team"`
	Served  uint64  `json:"served"`  // cost units from this shard
	Virtual float64 `json:"virtual"` // cost units per weight, over all hosts
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
}

// TargetStatus is the state of a target at its shard.
type TargetStatus struct {
	Target  string `json:"target"`
	Running int    `json:"running"`
	Limit   int    `json:"limit"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
	Resting bool   `json:"resting,omitempty"`
}

// handleStatus serves health checks, metrics and the status.
func (e *Entry) handleStatus(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !e.ready.Load() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		e.setGauges(e.snapshot())
		handler := promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{})
		fasthttpadaptor.NewFastHTTPHandler(handler)(ctx)
	case "/status":
		body, err := json.Marshal(e.snapshot())
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// snapshot collects the current state of this host.
func (e *Entry) snapshot() Status {
	s := Status{Peer: e.settings.Peer.String(), Place: e.settings.Place, Ready: e.ready.Load()}
	s.Sent, s.Received = e.hub.Sent(), e.hub.Received()
	for _, t := range e.hub.Traffic() {
		s.Traffic = append(s.Traffic, Traffic{Kind: t.Kind.String(), Messages: t.Messages, Bytes: t.Bytes})
	}
	s.Reads, s.Writes = e.platform.Calls()
	e.loop.postAndWait(func(now time.Time, h *host.Host) {
		view := h.View()
		s.Revision = view.Set.Revision
		all := 0
		s.Waiting, all = h.RequestCounts()
		s.Running = all - s.Waiting
		for _, address := range h.Live() {
			s.Live = append(s.Live, address.String())
		}
		for _, shard := range h.Status(now) {
			s.Shards = append(s.Shards, shardStatus(h, shard))
		}
	})
	return s
}

// shardStatus returns the state of a shard with names in place of numbers. Teams and targets that
// are no longer configured are left out.
func shardStatus(h *host.Host, shard host.ShardStatus) ShardStatus {
	view := h.View()
	d := ShardStatus{
		Number: shard.Incarnation, Used: shard.Used, Slots: shard.Slots, Waiting: shard.Waiting,
	}
	if row := view.Services[shard.Shard.Service]; row != nil {
		d.Service = row.Name
	}
	if row := view.Places[shard.Shard.Place]; row != nil {
		d.Place = row.Name
	}
	for _, t := range shard.Teams {
		if row := view.Teams[t.Team]; row != nil {
			d.Teams = append(d.Teams, TeamStatus{
				Team: row.Name, Served: t.Served, Virtual: t.Virtual, Waiting: t.Waiting, Running: t.Running,
			})
		}
	}
	for _, t := range shard.Targets {
		if row := view.Targets[t.Target]; row != nil {
			d.Targets = append(d.Targets, TargetStatus{
				Target: row.Name, Running: t.Running, Limit: t.Limit, Slots: t.Slots,
				Leaving: t.Leaving, Resting: t.Ejected,
			})
		}
	}
	return d
}

// setGauges sets the gauges from the state.
func (e *Entry) setGauges(s Status) {
	m := e.metrics
	m.waiting.Set(float64(s.Waiting))
	m.running.Set(float64(s.Running))
	m.slots.Reset()
	m.usedSlots.Reset()
	m.queued.Reset()
	m.virtualService.Reset()
	for _, shard := range s.Shards {
		m.slots.WithLabelValues(shard.Service).Set(float64(shard.Slots))
		m.usedSlots.WithLabelValues(shard.Service).Set(float64(shard.Used))
		m.queued.WithLabelValues(shard.Service).Set(float64(shard.Waiting))
		for _, team := range shard.Teams {
			m.virtualService.WithLabelValues(shard.Service, team.Team).Set(team.Virtual)
		}
	}
}
