package program_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

// SIGHUP does not end the program but reloads the settings file. An invalid or missing
// file is reported as settings.ErrInvalid.
func TestSIGHUPReloadsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte("1"), 0o600))
	applied := make(chan string, 4)
	reports := make(chan error, 4)
	ctx, cancel := context.WithCancel(context.Background())
	done := program.Reloader{
		Path: path,
		Apply: func(body []byte) error {
			applied <- string(body)
			if string(body) == "bad" {
				return errors.Wrap(settings.ErrInvalid, "bad")
			}
			return nil
		},
		Report: func(err error) { reports <- err },
	}.Run(ctx)
	sendHangup := func() error {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case err := <-reports:
			return err
		case <-time.After(10 * time.Second):
			t.Fatal("the reload was not reported")
			return nil
		}
	}
	require.NoError(t, sendHangup())
	require.Empty(t, applied, "the file has not changed")
	require.NoError(t, os.WriteFile(path, []byte("bad"), 0o600))
	require.ErrorIs(t, sendHangup(), settings.ErrInvalid)
	require.NoError(t, os.Remove(path))
	require.ErrorIs(t, sendHangup(), settings.ErrInvalid)
	cancel()
	<-done
}
