package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/platform"
)

// statusGone is for the log: the caller left and nobody reads the answer.
const statusGone = 499

// Reasons of refusals and failures, as they stand in logs and metrics.
const (
	reasonNoConfig   = "no-configuration"
	reasonStale      = "stale-configuration"
	reasonNoRoute    = "no-route"
	reasonNoKey      = "no-key"
	reasonPoison     = "poison"
	reasonTimeout    = "timeout"
	reasonTarget     = "target-failed"
	reasonRejected   = "target-rejected"
	reasonUnreached  = "target-unreached"
	reasonStopping   = "stopping"
	reasonCallerGone = "caller-gone"
	reasonBroken     = "stream-broken"
	reasonMalformed  = "malformed"
	reasonTooLarge   = "too-large"
	reasonSlow       = "slow-request"
	reasonFault      = "internal-fault"
	reasonOverloaded = "host-overloaded"
	reasonQuota      = "over-quota"
)

// problem is an answer that the fleet makes itself.
type problem struct {
	status int
	reason string
	retry  time.Duration // when a later try may succeed, 0 if it is not known
	age    time.Duration // of the configuration that decided, for the log
}

// notRun returns a refusal that promises that the request has not run and never
// will.
func notRun(reason string, retry time.Duration) *problem {
	return &problem{status: fasthttp.StatusServiceUnavailable, reason: reason, retry: retry}
}

// failure returns an answer to a request that may have run.
func failure(status int, reason string) *problem { return &problem{status: status, reason: reason} }

// write writes the problem as the answer. The connection of a caller that is refused is
// closed: over one that stays, callers send on faster than a busy host reads.
func (p *problem) write(response *fasthttp.Response, id string) {
	response.Reset()
	response.SetStatusCode(p.status)
	platform.SetAttemptID(&response.Header, id)
	if p.retry > 0 {
		seconds := strconv.FormatFloat(p.retry.Seconds(), 'f', 3, 64)
		response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	}
	if p.status == fasthttp.StatusServiceUnavailable {
		response.SetConnectionClose()
	}
	response.Header.SetContentType("text/plain")
	response.SetBodyString(p.reason)
}
