package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metricsNamespace is the prefix of all metric names.
const metricsNamespace = "cassia_gateway"

// metrics holds the metrics that are updated as requests are handled.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	teams          *prometheus.CounterVec
	teamNames      labelLimiter
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	store          *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	firstEvent     *prometheus.HistogramVec
	eventGap       *prometheus.HistogramVec
	waitTime       *prometheus.HistogramVec
	revision       prometheus.Gauge
	peerErrors     prometheus.Counter
	ownerSilences  prometheus.Counter
	targetSilences *prometheus.CounterVec
	acceptFailures prometheus.Counter
	crossed        prometheus.Counter
	panics         prometheus.Counter
	notices        *prometheus.CounterVec
	crashes        *prometheus.CounterVec
	oversized      prometheus.Counter
	evicted        prometheus.Counter
	takeUps        *prometheus.CounterVec
}

// newMetrics returns the metrics, registered in a registry of their own.
func newMetrics() *metrics {
	m := &metrics{
		registry:       prometheus.NewRegistry(),
		requests:       newCounterVec("requests_total", "Requests that had a route.", "service", "kind", "status", "reason"),
		teams:          newCounterVec("team_requests_total", "Requests by team; teams beyond a number count as one.", "team", "outcome"),
		teamNames:      labelLimiter{known: map[string]bool{}},
		refusals:       newCounterVec("refusals_total", "Requests refused before a target was looked for.", "reason"),
		attempts:       newCounterVec("attempts_failed_total", "Sends to targets that failed.", "service"),
		store:          newCounterVec("store_reads_total", "Reads of the store.", "part", "result"),
		duration:       newHistogramVec("request_seconds", "Time to the end of an answer.", "service"),
		firstEvent:     newHistogramVec("first_event_seconds", "Time to the first event of a stream.", "service"),
		eventGap:       newHistogramVec("event_gap_seconds", "Pause between two events of a stream as they are passed on.", "service"),
		waitTime:       newHistogramVec("wait_seconds", "Time that requests waited for a target.", "service"),
		revision:       prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: "configuration_revision", Help: "Version in force."}),
		peerErrors:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "peer_errors_total", Help: "News that could not be sent."}),
		targetSilences: newCounterVec("target_silences_total", "Looks for another target while one is silent.", "service", "outcome"),
		notices:        newCounterVec("target_notices_total", "What targets said of themselves.", "notice"),
		oversized:      prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "oversized_answers_total", Help: "Answers that were given up for their size."}),
		evicted:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "connections_evicted_total", Help: "Connections of callers that were closed for others."}),
		takeUps:        newCounterVec("take_ups_total", "Streams that callers took up again, by how their version was decided.", "service", "outcome"),
		crashes:        newCounterVec("crashed_requests_total", "Requests that were at a target when it crashed, by whether their answer had begun.", "begun"),
		ownerSilences:  prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "owner_silences_total", Help: "Requests whose owner did not answer."}),
		acceptFailures: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "accept_failures_total", Help: "Tries to accept a connection without a descriptor for it."}),
		crossed:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "requests_crossed_total", Help: "Connections that were closed as a request came."}),
		panics:         prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: "internal_faults_total", Help: "Requests whose handling was at fault."}),
	}
	m.registry.MustRegister(m.requests, m.teams, m.refusals, m.attempts, m.store, m.duration, m.firstEvent, m.eventGap, m.waitTime, m.revision, m.peerErrors, m.ownerSilences, m.targetSilences, m.acceptFailures, m.crossed, m.panics, m.notices, m.crashes, m.oversized, m.evicted, m.takeUps)
	return m
}

// newCounterVec returns an unregistered counter with labels.
func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

// newHistogramVec returns an unregistered histogram of seconds with labels. Its buckets reach
// from 1 ms to about 33 s.
func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
	}, labels)
}

// observe counts a request that is over.
func (m *metrics) observe(x *exchange, status int, reason string, took time.Duration) {
	m.requests.WithLabelValues(x.service, x.route.Kind.String(), strconv.Itoa(status), reason).Inc()
	m.teams.WithLabelValues(m.teamNames.limit(x.team), outcomeOf(status, reason)).Inc()
	m.duration.WithLabelValues(x.service).Observe(took.Seconds())
	m.waitTime.WithLabelValues(x.service).Observe(x.waited.Seconds())
}

// Outcomes of requests, a label of the metric by team.
const (
	outcomeServed     = "served"
	outcomeRefused    = "refused" // the request was not run
	outcomeFailed     = "failed"
	outcomeCallerLeft = "left" // before the answer was complete
)

// outcomeOf returns the outcome of a request that was answered with a status, for a reason if
// it was not served.
func outcomeOf(status int, reason string) string {
	switch {
	case reason == "":
		return outcomeServed
	case reason == reasonCallerGone:
		return outcomeCallerLeft
	case isRefusal(status):
		return outcomeRefused
	default:
		return outcomeFailed
	}
}

const (
	maxTeamLabels = 64      // teams that are counted separately
	otherTeams    = "other" // label of all teams beyond maxTeamLabels
)

// labelLimiter limits the number of values of a label, since each value is a time series of
// its own.
type labelLimiter struct {
	mu    sync.Mutex
	known map[string]bool
}

// limit returns the name itself for the first maxTeamLabels names, and otherTeams for any
// other.
func (l *labelLimiter) limit(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[name] {
		return name
	}
	if len(l.known) >= maxTeamLabels {
		return otherTeams
	}
	l.known[name] = true
	return name
}
