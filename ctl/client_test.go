package ctl_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/ctl"
)

// An answer of the API with status 000 or an invalid field name was taken for status 200, so that a change that may
// not have been made was reported as made.
func TestBrokenAnswerOfAPIIsNoSuccess(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\n",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					request := &fasthttp.Request{}
					_ = request.Read(bufio.NewReader(conn)) // the client sees what follows as the answer all the same
					_, _ = io.WriteString(conn, head+"Connection: close\r\nContent-Length: 2\r\n\r\n{}")
					conn.Close()
				}
			}()
			_, err = ctl.NewClient(l.Addr().(*net.TCPAddr).AddrPort(), "key").Put("team", "team1", 0, []byte("{}"))
			require.ErrorIs(t, err, ctl.ErrUnreachable)
		})
	}
}
