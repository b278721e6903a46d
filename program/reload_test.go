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

// SIGHUP ends no program: the settings are read again, and settings that can't be
// used are reported.
func TestHangupReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte("1"), 0o600))
	applied := make(chan string, 4)
	told := make(chan error, 4)
	ctx, cancel := context.WithCancel(context.Background())
	done := program.Reload{
		Path: path,
		Apply: func(body []byte) error {
			applied <- string(body)
			if string(body) == "bad" {
				return errors.Wrap(settings.ErrInvalid, "bad")
			}
			return nil
		},
		Done: func(err error) { told <- err },
	}.Run(ctx)
	hangup := func() error {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		select {
		case err := <-told:
			return err
		case <-time.After(10 * time.Second):
			t.Fatal("no reload")
			return nil
		}
	}
	require.NoError(t, hangup())
	require.Empty(t, applied, "nothing changed")
	require.NoError(t, os.WriteFile(path, []byte("bad"), 0o600))
	require.ErrorIs(t, hangup(), settings.ErrInvalid)
	require.NoError(t, os.Remove(path))
	require.ErrorIs(t, hangup(), settings.ErrInvalid)
	cancel()
	<-done
}
