package held

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// NoRoomRetryAfter is the Retry-After of a request that is refused since there is no room for its body.
const NoRoomRetryAfter = 500 * time.Millisecond

// EvictionLogInterval is the least time between two log lines about closed connections of callers.
const EvictionLogInterval = time.Second

const expectContinue = "100-continue" // value of the Expect header

// pastTime is a deadline that has passed, which ends a pending read.
var pastTime = time.Unix(1, 0)

// LimitBody returns the limit on the body of a request whose head was read, for HeaderReceived of fasthttp.Server. The
// server reads up to 8 KiB of a body before it calls its handler; it calls its ExpectHandler first if the request has an
// Expect header, so a request whose body is announced as too large gets one.
func LimitBody(head *fasthttp.RequestHeader, limit int) fasthttp.RequestConfig {
	if head.ContentLength() > limit {
		head.Set(fasthttp.HeaderExpect, expectContinue)
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limit}
}

// InterruptReads makes the pending read of a connection and all later ones fail.
func InterruptReads(conn net.Conn) {
	_ = conn.SetReadDeadline(pastTime) // fails only if the connection is closed
}
