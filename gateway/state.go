package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// state publishes what a gateway knows and holds at the moment it is asked. It
// implements prometheus.Collector.
type state struct {
	gateway *Gateway

	inFlight, callers, lag              *prometheus.Desc
	targetsIdle, targetsOpened          *prometheus.Desc
	configAge, targetsAge, peers, heard *prometheus.Desc
	allowance, calls, dropped           *prometheus.Desc
	processor, busy                     *prometheus.Desc
}

func newState(g *Gateway) *state {
	return &state{
		gateway:       g,
		inFlight:      value("in_flight_requests", "Requests that are not answered yet."),
		callers:       value("caller_connections", "Open connections of callers."),
		lag:           value("lag_seconds", "Mean time that work waits for the processor."),
		targetsIdle:   value("target_connections_idle", "Connections to targets that are kept for the next request."),
		targetsOpened: value("target_connections_opened_total", "Connections to targets that were opened."),
		configAge:     value("configuration_age_seconds", "Age of the newest sign that the configuration is current."),
		targetsAge:    value("targets_age_seconds", "Age of the list of targets."),
		peers:         value("peers", "Other hosts that are known."),
		heard:         value("peer_age_seconds", "Time since another host was heard of.", "peer"),
		allowance:     value("repeats_left", "Repeats that this host may send now.", "service"),
		calls:         value("store_calls_total", "Calls to the store.", "kind"),
		processor:     value("processor_seconds_total", "Processor time of the process."),
		busy:          value("busy_seconds_total", "Time spent on each kind of work.", "activity"),
		dropped:       value("log_lines_dropped_total", "Log lines that were dropped.", "event"),
	}
}

func value(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *state) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(s, out) }

// Collect implements prometheus.Collector.
func (s *state) Collect(out chan<- prometheus.Metric) {
	g := s.gateway
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge(s.inFlight, float64(g.inFlight.Load()))
	gauge(s.callers, float64(g.server.GetOpenConnectionsCount()))
	_, lag := g.core.late()
	gauge(s.lag, lag.Seconds())
	gauge(s.targetsIdle, float64(g.pool.IdleCount()))
	counter(s.targetsOpened, float64(g.pool.Opened()))
	gauge(s.configAge, g.core.age().Seconds())
	gauge(s.targetsAge, g.known.targetsAge().Seconds())
	gauge(s.peers, float64(g.peers.count()))
	for address, age := range g.peers.ages(time.Now()) {
		gauge(s.heard, age.Seconds(), address.String())
	}
	for service, left := range g.core.left() {
		gauge(s.allowance, left, service)
	}
	reads, writes := g.client.Calls()
	counter(s.calls, float64(reads), "read")
	counter(s.calls, float64(writes), "write")
	counter(s.processor, processorTime().Seconds())
	for a := range activities {
		counter(s.busy, g.record.busy.read(a).Seconds(), a.String())
	}
	for event, count := range g.dropped() {
		counter(s.dropped, float64(count), event)
	}
}
