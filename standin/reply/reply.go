// Package reply writes the answers of stand-ins.
package reply

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON answers a request with a value and a status.
func JSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
