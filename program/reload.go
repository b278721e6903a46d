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

// reloadEvery is the time between looks at the settings file.
const reloadEvery = 5 * time.Second

// Reload watches the settings file of a program that runs.
type Reload struct {
	Path  string
	Apply func(body []byte) error // takes changed settings; the error is marked settings.ErrInvalid
	Done  func(err error)         // told of each reload
}

// Run reloads the settings on SIGHUP and when the file changes, until the context
// ends, and reports its end on the channel.
func (r Reload) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	last, _ := os.ReadFile(r.Path) // a file that can't be read now counts as changed later
	go func() {
		defer close(done)
		defer signal.Stop(hangups)
		ticker := time.NewTicker(reloadEvery)
		defer ticker.Stop()
		for {
			asked := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				asked = true
			case <-ticker.C:
			}
			last = r.look(last, asked)
		}
	}()
	return done
}

// look reads the file and applies it if it changed. It returns what was read last.
func (r Reload) look(last []byte, asked bool) []byte {
	body, err := os.ReadFile(r.Path)
	if err != nil {
		if asked {
			r.Done(fault.Mark(errors.Wrap(err, "read settings"), settings.ErrInvalid))
		}
		return last
	}
	if bytes.Equal(body, last) {
		if asked {
			r.Done(nil)
		}
		return last
	}
	r.Done(r.Apply(body))
	return body
}
