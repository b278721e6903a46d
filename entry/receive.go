package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
)

// errInvalidHead means that the bytes from a target are not a valid final answer.
var errInvalidHead = errors.New("target sent no valid answer head")

// receive reads the head of an answer within the time limit. A head that breaks off and runs into
// another one, or a status below 200, is treated as a broken connection.
func receive(conn *link.Conn, response *fasthttp.Response, limit time.Duration) error {
	if err := conn.Receive(response, limit); err != nil {
		return err
	}
	if response.StatusCode() < fasthttp.StatusOK || platform.IsSpliced(&response.Header) {
		return fault.Mark(errInvalidHead, link.ErrBroken)
	}
	return nil
}
