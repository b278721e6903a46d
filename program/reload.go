package program

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/settings"
)

// pollInterval is the time between checks of the settings file for changes.
const pollInterval = 5 * time.Second

// Reloader reloads the settings file of a running program.
type Reloader struct {
	Path   string
	Apply  func(body []byte) error // applies the changed file; the error is marked settings.ErrInvalid
	Report func(err error)         // receives the result of each reload
}

// Run starts to reload the settings on SIGHUP and when the file changes, until ctx is
// cancelled. The channel is closed at the end.
func (r Reloader) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	lastRead, _ := os.ReadFile(r.Path) // a file that can't be read now counts as changed once it can be read
	go func() {
		defer close(done)
		defer signal.Stop(hangups)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			requested := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				requested = true
			case <-ticker.C:
			}
			lastRead = r.reloadIfChanged(lastRead, requested)
		}
	}()
	return done
}

// reloadIfChanged applies the file if it differs from lastRead, and returns the new
// contents for the next call. A file that is unchanged or can't be read is reported
// only if the reload was requested.
func (r Reloader) reloadIfChanged(lastRead []byte, requested bool) []byte {
	body, err := os.ReadFile(r.Path)
	if err != nil {
		if requested {
			r.Report(fault.Mark(errors.Wrap(err, "read settings"), settings.ErrInvalid))
		}
		return lastRead
	}
	if bytes.Equal(body, lastRead) {
		if requested {
			r.Report(nil)
		}
		return lastRead
	}
	r.Report(r.Apply(body))
	return body
}
