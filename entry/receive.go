package entry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
)

// errNoAnswer means that what came from a target is no answer.
var errNoAnswer = errors.New("no answer")

// receive reads the head of an answer, which has to be whole within a time. A head that stopped and
// went on as another one, and one that ends no request, are those of a connection that broke.
func receive(line *link.Conn, response *fasthttp.Response, limit time.Duration) error {
	if err := line.Receive(response, limit); err != nil {
		return err
	}
	if response.StatusCode() < fasthttp.StatusOK || platform.IsSpliced(&response.Header) {
		return fault.Mark(errNoAnswer, link.ErrBroken)
	}
	return nil
}
