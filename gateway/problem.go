package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/quarantine"
)

// statusCallerGone is logged if the caller disconnected, so that nobody reads the answer.
const statusCallerGone = 499

// Reasons of refusals and failures, as they appear in logs, metrics and answers.
const (
	reasonNoConfig      = "no-configuration"
	reasonStale         = "stale-configuration"
	reasonNoRoute       = "no-route"
	reasonNoKey         = "no-key"
	reasonPoison        = "poison"
	reasonTimeout       = "timeout"
	reasonTargetFailed  = "target-failed"
	reasonRejected      = "target-rejected"
	reasonUnreached     = "target-unreached"
	reasonStopping      = "stopping"
	reasonCallerGone    = "caller-gone"
	reasonStreamBroken  = "stream-broken"
	reasonMalformed     = "malformed"
	reasonTooLarge      = "too-large"
	reasonSlow          = "slow-request"
	reasonNoRoom        = "no-room"
	reasonInternalFault = "internal-fault"
	reasonOverloaded    = "host-overloaded"
	reasonQuota         = "over-quota"
	reasonOriginUnknown = "origin-unknown"
	reasonVersionGone   = "version-gone"
)

// problem is an answer that the gateway makes itself because a request is refused or failed.
type problem struct {
	status     int
	reason     string
	retryAfter time.Duration    // delay after which a retry may succeed, 0 if unknown
	age        time.Duration    // age of the configuration that decided, for the log
	trait      quarantine.Trait // what the request is refused for, with reasonPoison; 0 if it is not known
}

// notRun returns a refusal with status 503, which promises that the request has not run and will
// not run.
func notRun(reason string, retry time.Duration) *problem {
	return &problem{status: fasthttp.StatusServiceUnavailable, reason: reason, retryAfter: retry}
}

// overShare returns a refusal with status 429 of a team that asks for more than its share. It promises the same
// as a refusal with status 503, and tells the caller that others are served meanwhile.
func overShare(reason string, retry time.Duration) *problem {
	return &problem{status: fasthttp.StatusTooManyRequests, reason: reason, retryAfter: retry}
}

// unplaced returns the refusal of a request for which no target was chosen.
func unplaced(c placement.Choice) *problem {
	if c.Reason == placement.ReasonFull && c.Standing != placement.Entitled {
		return overShare(string(c.Reason), c.RetryAfter)
	}
	return notRun(string(c.Reason), c.RetryAfter)
}

// isRefusal returns whether a status that this host answers with promises that the request has not run.
func isRefusal(status int) bool {
	return status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
}

// failure returns a problem that does not promise that the request has not run.
func failure(status int, reason string) *problem { return &problem{status: status, reason: reason} }

// write writes the problem as the answer. A refusal closes the connection: on a connection that
// stays open, callers send the next requests faster than a busy host can read them.
func (p *problem) write(response *fasthttp.Response, id string) {
	response.Reset()
	response.SetStatusCode(p.status)
	platform.SetAttemptID(&response.Header, id)
	if p.retryAfter > 0 {
		seconds := strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64)
		response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	}
	if isRefusal(p.status) {
		response.SetConnectionClose()
	}
	response.Header.SetContentType("text/plain")
	response.SetBodyString(p.reason)
}
