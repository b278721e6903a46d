package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// stateCollector publishes the present state of a gateway as metrics, read when they are
// collected. It implements prometheus.Collector.
type stateCollector struct {
	gateway *Gateway

	inFlight, callerConnections, lag      *prometheus.Desc
	targetsIdle, targetsOpened            *prometheus.Desc
	configAge, targetsAge, peers, peerAge *prometheus.Desc
	retriesLeft, storeCalls, droppedLines *prometheus.Desc
	processor, activityTime, heldTraits   *prometheus.Desc
	heldBytes, heldRequests, evacuated    *prometheus.Desc
	coldTargets, coldGrants               *prometheus.Desc
	unevenTargets                         *prometheus.Desc
	storeEra, storeRestores               *prometheus.Desc
}

// newStateCollector returns the collector of a gateway.
func newStateCollector(g *Gateway) *stateCollector {
	return &stateCollector{
		gateway:           g,
		inFlight:          newDesc("in_flight_requests", "Requests that are not answered yet."),
		callerConnections: newDesc("caller_connections", "Open connections of callers."),
		lag:               newDesc("lag_seconds", "Mean time that work waits for the processor."),
		targetsIdle:       newDesc("target_connections_idle", "Connections to targets that are kept for the next request."),
		targetsOpened:     newDesc("target_connections_opened_total", "Connections to targets that were opened."),
		configAge:         newDesc("configuration_age_seconds", "Age of the newest sign that the configuration is current."),
		targetsAge:        newDesc("targets_age_seconds", "Age of the list of targets."),
		peers:             newDesc("peers", "Other hosts that are known."),
		peerAge:           newDesc("peer_age_seconds", "Time since another host was heard of.", "peer"),
		retriesLeft:       newDesc("repeats_left", "Repeats that this host may send now.", "service"),
		storeCalls:        newDesc("store_calls_total", "Calls to the store.", "kind"),
		processor:         newDesc("processor_seconds_total", "Processor time of the process."),
		activityTime:      newDesc("busy_seconds_total", "Time spent on each kind of work.", "activity"),
		heldTraits:        newDesc("held_traits", "Traits whose requests are kept from targets."),
		heldBytes:         newDesc("held_bytes", "Bytes of large answers and bodies of requests that are held."),
		heldRequests:      newDesc("held_request_bytes", "Bytes of large bodies of requests that are held."),
		evacuated:         newDesc("evacuated_places", "Data centres whose targets get no new requests."),
		coldTargets:       newDesc("cold_targets", "Targets that are cold, or suspected of it.", "state"),
		unevenTargets:     newDesc("uneven_targets", "Targets that differ from the mean of their service.", "speed"),
		coldGrants:        newDesc("cold_decisions_total", "Decisions of this host about cold or suspected targets.", "decision"),
		storeEra:          newDesc("store_era", "Newest era of the store that was seen, 0 for none."),
		storeRestores:     newDesc("store_restores_total", "Times that the store came back from a copy."),
		droppedLines:      newDesc("log_lines_dropped_total", "Log lines that were dropped.", "event"),
	}
}

// newDesc returns the description of a metric with labels.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(s, out) }

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	g := s.gateway
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge(s.inFlight, float64(g.inFlight.Load()))
	gauge(s.callerConnections, float64(g.server.GetOpenConnectionsCount()))
	_, lag := g.core.overloadState()
	gauge(s.lag, lag.Seconds())
	gauge(s.targetsIdle, float64(g.pool.IdleCount()))
	counter(s.targetsOpened, float64(g.pool.Opened()))
	gauge(s.configAge, g.core.configAge().Seconds())
	gauge(s.targetsAge, g.storeCache.targetsAge().Seconds())
	gauge(s.peers, float64(g.peers.count()))
	for address, age := range g.peers.ages(time.Now()) {
		gauge(s.peerAge, age.Seconds(), address.String())
	}
	for service, left := range g.core.retriesLeft() {
		gauge(s.retriesLeft, left, service)
	}
	reads, writes := g.client.Calls()
	counter(s.storeCalls, float64(reads), "read")
	counter(s.storeCalls, float64(writes), "write")
	gauge(s.storeEra, float64(g.client.History().Era()))
	counter(s.storeRestores, float64(g.client.History().Restores()))
	gauge(s.heldTraits, float64(g.core.heldTraits.Load()))
	held, _ := g.held.Used()
	gauge(s.heldBytes, float64(held))
	gauge(s.heldRequests, float64(g.held.Received()))
	cold := g.core.coldCounts(time.Now())
	gauge(s.coldTargets, float64(cold.Cold), "cold")
	gauge(s.coldTargets, float64(cold.Suspected), "suspected")
	uneven := g.core.speedCounts()
	gauge(s.unevenTargets, float64(uneven.Slower), "slower")
	gauge(s.unevenTargets, float64(uneven.Faster), "faster")
	gauge(s.unevenTargets, float64(uneven.Limited), "limited")
	counter(s.coldGrants, float64(cold.Granted), "granted")
	counter(s.coldGrants, float64(cold.Refused), "refused")
	gauge(s.evacuated, float64(g.storeCache.evacuatedCount()))
	counter(s.processor, processorTime().Seconds())
	for a := range activityCount {
		counter(s.activityTime, g.record.times.total(a).Seconds(), a.String())
	}
	for event, count := range g.droppedLines() {
		counter(s.droppedLines, float64(count), event)
	}
}
