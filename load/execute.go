package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
)

// Execute runs a plan. It writes the progress to one writer and the results to the
// other. With asJSON it also writes the results as a last line of JSON.
func Execute(ctx context.Context, plan Plan, asJSON bool, out, progress io.Writer) error {
	r, err := New(plan)
	if err != nil {
		return err
	}
	m, err := r.Do(ctx, func(p Progress) {
		fmt.Fprintf(progress, "%3.0f s  sent %d  answered %d  refused %d\n",
			p.Elapsed.Seconds(), p.Sent, p.Answered, p.Refused)
	})
	if err != nil {
		return err
	}
	m.WriteText(out)
	if asJSON {
		return json.NewEncoder(out).Encode(m)
	}
	return nil
}
