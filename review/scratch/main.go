//go:build review

package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cassiachute/cassiachute/review/kit"
)

func must(err error) {
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
}

func main() {
	w, err := kit.NewWorld("/tmp/r/record.txt", kit.Config())
	must(err)
	defer w.Close()
	plain := func(c *kit.Call) bool {
		w.Record.Add("   replica got %s %s id %s body %q hdr %v te %v", c.Request.Method, c.Request.RequestURI, c.ID, c.Body, c.Request.Header, c.Request.TransferEncoding)
		c.Write(c.Head(200, "Content-Length: 2\r\n") + "ok")
		return true
	}
	_, err = w.StartReplica("d1", kit.ServiceDesk, 6, plain)
	must(err)
	must(w.StartGateways(1))
	k := "Host: " + kit.Host + "\r\nX-Key: " + kit.Key + "\r\nX-Deadline-Ms: 1500\r\n"
	sm := "POST /order/evil HTTP/1.1\r\n" + k + "X-Attempt-Id: evil\r\nContent-Length: 0\r\n\r\n"
	for i, t := range []string{
		fmt.Sprintf("GET /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", k, len(sm), sm),
		fmt.Sprintf("HEAD /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nContent-Length: %d\r\n\r\n%s", k, len(sm), sm),
		fmt.Sprintf("GET /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", k, len(sm), sm),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n%x;ext=1\r\n%s\r\n0\r\nX-Tenant: evil\r\nX-Hold: h\r\nX-Foo: 1\r\nHost: x\r\nContent-Length: 5\r\n\r\n", k, len(sm), sm),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nTrailer: X-Hold, X-Foo, X-Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Hold: h\r\nX-Foo: 1\r\nX-Attempt-Id: evil2\r\n\r\n", k, len(sm), sm),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", k, len(sm), sm),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nTransfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n%s", k, sm),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nContent-Length: 0\r\nContent-Length: 4\r\n\r\nabcd", k),
		fmt.Sprintf("POST /lookup/a?x=1#f%%00 HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nX-Tenant : evil\r\nX_Tenant: evil\r\nContent-Length: 0\r\n\r\n", k),
		fmt.Sprintf("POST /lookup/a b HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nFoo: a\r\n X-Tenant: evil\r\nContent-Length: 0\r\n\r\n", k),
		fmt.Sprintf("POST /lookup/\x80\xff/a;b?q=%%zz&&=1 HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nFoo: a\rX-Tenant: evil\r\nContent-Length: 0\r\n\r\n", k),
		fmt.Sprintf("POST http://%s/lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n", kit.Host, k),
		fmt.Sprintf("DELETE /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nConnection: keep-alive, X-Attempt-Id, X-Model\r\nX-Model: m\r\nContent-Length: 2\r\n\r\nhi", k),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\r\n%sX-Attempt-Id: a1\r\nX-Attempt-Id: a2\r\nX-Model: m1\r\nX-Model: m2\r\nX-Key: other\r\nCookie: a=b\r\nCookie: c=d\r\nContent-Length: 0\r\n\r\n", k),
		fmt.Sprintf("POST /lookup/a HTTP/1.1\nHost: %s\nX-Key: %s\nX-Attempt-Id: a1\nContent-Length: 2\n\nhi", kit.Host, kit.Key),
	} {
		c, err := kit.Dial(w.Gateways[0])
		must(err)
		w.Record.Add("case %d", i)
		_ = c.Conn.SetDeadline(time.Now().Add(700 * time.Millisecond))
		_, _ = io.WriteString(c.Conn, t)
		b, _ := io.ReadAll(c.Conn)
		w.Record.Add("   client got %q", strings.ReplaceAll(string(b), "\r\n", "|"))
		c.Close()
	}
}
