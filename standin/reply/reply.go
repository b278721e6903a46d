// Package reply writes the HTTP answers of stand-ins.
package reply

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON answers a request with a status and a value encoded as JSON.
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
