package operator_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// A row that a restored store lacks is written again in its newest state: not over a newer one, and not before the
// store is back. Otherwise the soak would blame gateways for what the store never showed.
func TestLostRowsAreWrittenAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	store := standin.New(standin.NewConfig(), l)
	w := operator.NewWriter(store)
	value := func(key string) string {
		row, ok := store.Row(platform.TableTargets, key)
		require.True(t, ok)
		return string(row.Value)
	}
	for _, key := range []string{"changed", "newer", "removed"} {
		operator.PutRawEntry(w, key, []byte("1"))
	}
	kept := store.Copy()
	operator.PutRawEntry(w, "changed", []byte("2"))
	operator.PutRawEntry(w, "newer", []byte("2"))
	operator.DeleteEntry(w, "removed")
	require.Empty(t, w.LostRows())
	store.Restore(kept)
	lost := w.LostRows()
	require.Len(t, lost, 3)
	require.Equal(t, "1", value("removed"))

	operator.PutRawEntry(w, "newer", []byte("3"))
	for _, row := range lost {
		w.WriteAgain(row)
	}
	require.Equal(t, "2", value("changed"))
	require.Equal(t, "3", value("newer"))
	_, ok := store.Row(platform.TableTargets, "removed")
	require.False(t, ok)
	require.Empty(t, w.LostRows())

	const away = 50 * time.Millisecond
	store.SetFaults(standin.Faults{Down: true})
	began := time.Now()
	time.AfterFunc(away, func() { store.SetFaults(standin.Faults{}) })
	operator.PutRawEntry(w, "changed", []byte("3"))
	require.GreaterOrEqual(t, time.Since(began), away)
}
