package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "cassia_gateway"

// metrics are the measures of one gateway.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	store      *prometheus.CounterVec
	took       *prometheus.HistogramVec
	first      *prometheus.HistogramVec
	waited     *prometheus.HistogramVec
	revision   prometheus.Gauge
	peerErrors prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry:   prometheus.NewRegistry(),
		requests:   counters("requests_total", "Requests that had a route.", "service", "kind", "status", "reason"),
		refusals:   counters("refusals_total", "Requests refused before they had a route.", "reason"),
		attempts:   counters("attempts_failed_total", "Sends to targets that failed.", "service"),
		store:      counters("store_reads_total", "Reads of the store.", "part", "result"),
		took:       histograms("request_seconds", "Time to the end of an answer.", "service"),
		first:      histograms("first_event_seconds", "Time to the first event of a stream.", "service"),
		waited:     histograms("wait_seconds", "Time that requests waited for a target.", "service"),
		revision:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_revision", Help: "Version in force."}),
		peerErrors: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "peer_errors_total", Help: "News that could not be sent."}),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.store, m.took, m.first, m.waited, m.revision, m.peerErrors)
	return m
}

// watch publishes values that are read when they are asked for.
func (m *metrics) watch(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}, labels)
}

// observe counts a request that is over.
func (m *metrics) observe(x *exchange, status int, reason string, took time.Duration) {
	m.requests.WithLabelValues(x.service, x.route.Kind.String(), strconv.Itoa(status), reason).Inc()
	m.took.WithLabelValues(x.service).Observe(took.Seconds())
	m.waited.WithLabelValues(x.service).Observe(x.waited.Seconds())
}
