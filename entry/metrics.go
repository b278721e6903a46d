package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/held"
	"github.com/cassiachute/cassiachute/wire"
)

// namespace is the prefix of all metric names.
const namespace = "cassia"

// metrics are the Prometheus metrics of one entry host.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	waits          *prometheus.HistogramVec
	firstByteTimes *prometheus.HistogramVec
	cost           *prometheus.CounterVec
	waiting        prometheus.Gauge
	running        prometheus.Gauge
	revision       prometheus.Gauge
	slots          *prometheus.GaugeVec
	usedSlots      *prometheus.GaugeVec
	queued         *prometheus.GaugeVec
	virtualService *prometheus.GaugeVec
	rejected       prometheus.Counter
	evicted        prometheus.Counter
}

// newMetrics creates and registers all metrics but those of the hub.
func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: counter("requests_total", "Requests by team, service, status and outcome.",
			"team", "service", "status", "outcome"),
		retries:        counter("retries_total", "Attempts that failed.", "service"),
		cost:           counter("service_units_total", "Service received, in cost units.", "team", "service"),
		waits:          histogram("wait_seconds", "Time without a slot.", "team", "service", "class"),
		firstByteTimes: histogram("first_byte_seconds", "Time from sending to the first byte.", "service"),
		waiting:        gauge("waiting_requests", "Requests of callers of this host that wait for a slot."),
		running:        gauge("running_requests", "Requests of callers of this host that have a slot."),
		revision: gauge("configuration_revision",
			"Revision of the configuration in force."),
		slots:          gaugeVec("shard_slots", "Slots of the shards owned here.", "service"),
		usedSlots:      gaugeVec("shard_slots_used", "Slots in use of the shards owned here.", "service"),
		queued:         gaugeVec("shard_waiting", "Tickets that wait at the shards owned here.", "service"),
		virtualService: gaugeVec("virtual_service", "Service per weight that counts for the order.", "service", "team"),
		evicted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "connections_evicted_total", Help: "Connections of callers that were closed for others.",
		}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "peer_rejections_total", Help: "Peer connections rejected."}),
	}
	m.registry.MustRegister(m.requests, m.retries, m.cost, m.waits, m.firstByteTimes, m.waiting, m.running,
		m.revision, m.slots, m.usedSlots, m.queued, m.virtualService, m.rejected, m.evicted)
	return m
}

// watchHub registers counters of the bytes that were exchanged with peers.
func (m *metrics) watchHub(h *wire.Hub) {
	m.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_sent_bytes_total", Help: "Bytes sent to peers, without TCP headers.",
		}, func() float64 { return float64(h.Sent()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "control_received_bytes_total", Help: "Bytes received from peers, without TCP headers.",
		}, func() float64 { return float64(h.Received()) }),
	)
}

// watchHeld registers gauges of the bytes of large answers and bodies that are held.
func (m *metrics) watchHeld(b *held.Budget) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_bytes", Help: "Bytes of large answers and bodies of requests that are held.",
		}, func() float64 {
			used, _ := b.Used()
			return float64(used)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "held_request_bytes", Help: "Bytes of large bodies of requests that are held.",
		}, func() float64 { return float64(b.Received()) }),
	)
}

// counter returns an unregistered counter with labels.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// gauge returns an unregistered gauge without labels.
func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// gaugeVec returns an unregistered gauge with labels.
func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// histogram returns an unregistered histogram of seconds with buckets from 1 ms to about 33 s.
func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}, labels)
}

// classNames are the label values of priority classes, indexed by class.
var classNames = []string{"urgent", "normal", "bulk"}

// recordAnswer counts and logs a request that was answered, or whose answer was cut off.
func (e *Entry) recordAnswer(x *exchange, status int, outcome string, cost uint64) {
	c := x.info
	m := e.metrics
	m.requests.WithLabelValues(c.teamName, c.service.Name, strconv.Itoa(status), outcome).Inc()
	m.waits.WithLabelValues(c.teamName, c.service.Name, classNames[c.class]).Observe(x.waited.Seconds())
	m.firstByteTimes.WithLabelValues(c.service.Name).Observe(x.firstByteTime.Seconds())
	m.cost.WithLabelValues(c.teamName, c.service.Name).Add(float64(cost))
	name := ""
	if x.target != nil {
		name = x.target.Name
	}
	e.log.Info().Str("request", c.id).Str("team", c.teamName).Str("service", c.service.Name).
		Str("kind", c.kind).Str("target", name).Int("status", status).Str("outcome", outcome).
		Int64("wait", x.waited.Milliseconds()).Int64("took", time.Since(c.arrived).Milliseconds()).
		Uint64("cost", cost).Msg("answered")
}

// recordRefusal counts and logs a refused request. The info is nil if the request was refused
// before it was read.
func (e *Entry) recordRefusal(c *requestInfo, p *problem) {
	team, service, id := "", "", ""
	if c != nil {
		team, service, id = c.teamName, c.service.Name, c.id
	}
	e.metrics.requests.WithLabelValues(team, service, strconv.Itoa(p.status), p.outcome).Inc()
	event := e.log.Info()
	if p.status >= fasthttp.StatusInternalServerError {
		event = e.log.Warn()
	}
	event.Str("request", id).Str("team", team).Str("service", service).Int("status", p.status).
		Str("outcome", p.outcome).Str("code", p.code).Msg("refused")
}
