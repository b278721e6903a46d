package entry_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
)

// A line behind the last chunk of an answer became a header of the caller's answer, also one with an invalid name.
// Trailers must not be passed on as headers.
func TestTrailersAreNotPassedOnAsHeaders(t *testing.T) {
	for _, trailer := range []string{"X Odd: 1\r\n", "XOdd : 1\r\n", "XOdd: 1\r\n", "A: 1\r\n XOdd: 1\r\n"} {
		t.Run(trailer, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, map[string]string{"s0": catalog.KindPlain}, func(received *targetRequest) bool {
				received.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailer + "\r\n")
				return false
			})
			conn, err := net.DialTimeout("tcp", f.address.String(), waitTimeout)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(conn, "GET /services/s0/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key1\r\nConnection: close\r\n\r\n")
			require.NoError(t, err)
			all, err := io.ReadAll(conn)
			require.NoError(t, err)
			require.NotContains(t, string(bytes.ToLower(all)), "odd")
		})
	}
}
