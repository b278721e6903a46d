package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/platform"
	standin "github.com/cassiachute/cassiachute/standin/platform"
)

// The stand-in has to lose what was written after a copy, give its versions out again, refuse reads from versions
// that it does not have, and number its eras in all answers. Otherwise tests of a restored store would show nothing.
func TestRestoreLosesWritesAndGivesVersionsOutAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	store := standin.New(standin.NewConfig(), l)
	ctx, cancel := context.WithCancel(context.Background())
	ended := store.Run(ctx)
	put := func(key string) uint64 {
		_, version, _ := store.Transact(platform.TransactRequest{Puts: []platform.RowItem{{Table: platform.TableOwn, Key: key}}})
		return version
	}
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + l.Addr().String() + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode, response.Header.Get("Store-Era")
	}
	feed := func(after uint64) string {
		return fmt.Sprintf("%s?table=%s&afterRev=%d&waitMs=1", platform.PathFeed, platform.TableOwn, after)
	}
	put("kept")
	kept := store.Copy()
	lost := put("lost")
	status, era := get(feed(lost))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "1", era)

	store.Restore(kept)
	status, era = get(feed(lost))
	require.Equal(t, http.StatusGone, status, "the version was not given out again yet")
	require.Equal(t, "2", era)
	require.Equal(t, lost, put("other"))
	status, era = get(feed(lost))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "2", era)
	client := platform.NewClient(l.Addr().(*net.TCPAddr).AddrPort())
	rows, err := client.Rows("", "", 9)
	require.NoError(t, err)
	require.Len(t, rows, 2, "kept and other")
	client.Close()
	cancel()
	<-ended
}
