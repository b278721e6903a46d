package bodies_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// The crowds and bounds below are fixed. On the code before bodies were bounded, the shapes of large bodies exceeded
// maxMemory, and those of many connections exceeded maxDescriptors.
const (
	hostMemory       = 128 << 20  // memory of the host in its settings, in bytes
	maxMemory        = hostMemory // of resident memory, in bytes
	maxDescriptors   = 600        // of the process
	maxBodyBytes     = 4 << 20    // limit of the configuration on a body
	farBodyBytes     = 256 << 20  // a declared body that is far over the limit
	largeAnswerBytes = 2 << 20    // body of an answer to a slow reader
	partBytes        = 64 << 10   // bytes that a caller writes at once, and of a large chunk
	halfHeadBytes    = 12 << 10   // of a head that does not end, within the limit on heads
	halfLongBytes    = 48 << 10   // of a head that does not end, over the limit of cassia-entry
	tinyBytes        = 256 << 10  // bytes that a caller sends in chunks of one to three bytes

	bodyCallers = 60   // callers that send bodies
	headCallers = 1000 // callers that send half a head
	slowReaders = 10   // callers that read nothing of a large answer
	idleCallers = 200  // connections that are opened after a crowd and stay idle

	callTimeout   = 10 * time.Second // for one read or write of a caller
	holdTime      = 300 * time.Millisecond
	answerTimeout = 20 * time.Second // for an ordinary request to be answered, with repeats
)

// shape is a way in which callers send requests that are not controlled.
type shape struct {
	name    string
	callers int
	send    func(h *host, conn net.Conn, id string) error // ends when all is sent, or with the error of a connection that the host closed
}

// shapes are the patterns of uncontrolled requests that the tests play, one at a time.
var shapes = []shape{
	{"large chunks, one short of the end", bodyCallers, sendLargeChunks},
	{"chunks of one to three bytes", bodyCallers, sendTinyChunks},
	{"chunks without end", bodyCallers, sendEndlessChunks},
	{"declared at the limit, one byte short", bodyCallers, sendOneByteShort},
	{"declared at the limit, little sent", bodyCallers, sendLittle},
	{"declared far over the limit", bodyCallers, sendFarTooLarge},
	{"whole bodies at the limit", bodyCallers, sendWhole},
	{"half a head", headCallers, sendHalfHead},
	{"half a long head", headCallers, sendHalfLongHead},
}

// part is one write of a caller: a piece of a body with a declared length.
var part = strings.Repeat("b", partBytes)

// chunk is part in the encoding of a chunked body.
var chunk = fmt.Sprintf("%x\r\n%s\r\n", partBytes, part)

// chunkedHead returns the head of a request with a chunked body.
func chunkedHead(h *host, id string) string {
	return h.head("/x", id, "Transfer-Encoding: chunked\r\n\r\n")
}

// declaredHead returns the head of a request with a body of a length.
func declaredHead(h *host, id string, length int) string {
	return h.head("/x", id, fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
}

// sendLargeChunks sends all chunks of a body of the largest size but the last one.
func sendLargeChunks(h *host, conn net.Conn, id string) error {
	return writeParts(conn, chunkedHead(h, id), chunk, maxBodyBytes/partBytes-1)
}

// sendTinyChunks sends chunks of one, two and three bytes, and not the end.
func sendTinyChunks(h *host, conn net.Conn, id string) error {
	tiny := strings.Repeat("1\r\nb\r\n2\r\nbb\r\n3\r\nbbb\r\n", partBytes/6)
	return writeParts(conn, chunkedHead(h, id), tiny, tinyBytes/partBytes)
}

// sendEndlessChunks sends chunks until the host closes the connection, at most twice the limit.
func sendEndlessChunks(h *host, conn net.Conn, id string) error {
	return writeParts(conn, chunkedHead(h, id), chunk, 2*maxBodyBytes/partBytes)
}

// sendOneByteShort declares a body of the largest size and sends all but its last byte.
func sendOneByteShort(h *host, conn net.Conn, id string) error {
	if err := writeParts(conn, declaredHead(h, id, maxBodyBytes), part, maxBodyBytes/partBytes-1); err != nil {
		return err
	}
	return write(conn, part[:partBytes-1])
}

// sendLittle declares a body of the largest size and sends a sixteenth of it.
func sendLittle(h *host, conn net.Conn, id string) error {
	return writeParts(conn, declaredHead(h, id, maxBodyBytes), part, maxBodyBytes/partBytes/16)
}

// sendFarTooLarge declares a body far over the limit and sends as much as the limit.
func sendFarTooLarge(h *host, conn net.Conn, id string) error {
	return writeParts(conn, declaredHead(h, id, farBodyBytes), part, maxBodyBytes/partBytes)
}

// sendWhole sends a whole body of the largest size.
func sendWhole(h *host, conn net.Conn, id string) error {
	return writeParts(conn, declaredHead(h, id, maxBodyBytes), part, maxBodyBytes/partBytes)
}

// sendHalfHead sends a head that does not end.
func sendHalfHead(h *host, conn net.Conn, id string) error {
	return write(conn, h.head("/x", id, "X-Long: ")+strings.Repeat("h", halfHeadBytes))
}

// sendHalfLongHead sends a long head that does not end.
func sendHalfLongHead(h *host, conn net.Conn, id string) error {
	return write(conn, h.head("/x", id, "X-Long: ")+strings.Repeat("h", halfLongBytes))
}

// writeParts writes a head and a part of a body a number of times.
func writeParts(conn net.Conn, head, text string, times int) error {
	err := write(conn, head)
	for range times {
		if err != nil {
			return err
		}
		err = write(conn, text)
	}
	return err
}

// write writes text within callTimeout.
func write(conn net.Conn, text string) error {
	_ = conn.SetWriteDeadline(time.Now().Add(callTimeout)) // the write fails as well if the connection is closed
	_, err := io.WriteString(conn, text)
	return err
}

// callers are open connections of callers.
type callers struct {
	mu    sync.Mutex
	conns []net.Conn
}

// add opens connections at once and calls send for each. It returns when all calls have returned. A host may refuse
// or close any of the connections.
func (c *callers) add(h *host, count int, send func(conn net.Conn, n int)) {
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", h.address.String(), callTimeout)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			send(conn, n)
		})
	}
	wg.Wait()
}

// close closes all connections.
func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// requireOrdinaryAnswer sends ordinary requests until one is answered by the target, within answerTimeout.
func (h *host) requireOrdinaryAnswer(t *testing.T) {
	t.Helper()
	status, err := 0, error(nil)
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if status, err = h.ask("ordinary", strings.Repeat("o", 1000)); status == fasthttp.StatusOK {
			return
		}
	}
	require.Fail(t, "an ordinary request is not answered", "status %d, error %v", status, err)
}

// ask sends a request with a body on a new connection and returns the status of its answer, 0 if there is none.
func (h *host) ask(id, body string) (int, error) {
	conn, err := net.DialTimeout("tcp", h.address.String(), callTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := write(conn, declaredHead(h, id, len(body))+body); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(callTimeout)) // the read fails as well if the connection is closed
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(conn)); err != nil {
		return 0, err
	}
	return response.StatusCode(), nil
}

// testShapes lets a crowd of callers of each shape meet a new host, beside slow readers of large answers and followed
// by idle connections.
func testShapes(t *testing.T, start func(t *testing.T) *host) {
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			h := start(t)
			crowd := &callers{}
			t.Cleanup(crowd.close)
			crowd.add(h, slowReaders, func(conn net.Conn, n int) {
				id := fmt.Sprint("slow", n)
				_ = write(conn, h.head(largePath, id, "Content-Length: 0\r\n\r\n")) // a host may close any connection
			})
			crowd.add(h, s.callers, func(conn net.Conn, n int) {
				_ = s.send(h, conn, fmt.Sprint("crowd", n)) // a host may close any connection
			})
			time.Sleep(holdTime)
			crowd.add(h, idleCallers, func(net.Conn, int) {})
			h.requireAlive()
			h.requireOrdinaryAnswer(t)
			h.requireAlive()
			memory, descriptors := h.peakMemory(), h.openDescriptors()
			t.Logf("at most %d MiB, %d descriptors", memory>>20, descriptors)
			require.Less(t, memory, int64(maxMemory))
			require.Less(t, descriptors, maxDescriptors)
		})
	}
}

// Callers together made the process exceed the memory of its host, which ends it and the requests of all others.
func TestGatewayStaysWithinItsMemory(t *testing.T) { testShapes(t, startGateway) }

// Callers together made cassia-entry exceed the memory of its host, as they did cassia-gateway.
func TestEntryStaysWithinItsMemory(t *testing.T) { testShapes(t, startEntry) }

// The bounds must not refuse a single request within the limits: each of these bodies is served while no one else is
// there, with a length and in chunks.
func TestSingleBodyWithinTheLimitIsServed(t *testing.T) {
	for name, start := range map[string]func(t *testing.T) *host{"gateway": startGateway, "entry": startEntry} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			for _, size := range []int{0, 1, partBytes, maxBodyBytes - 1, maxBodyBytes} {
				status, err := h.ask(fmt.Sprint("declared", size), strings.Repeat("b", size))
				require.NoError(t, err, size)
				require.Equal(t, fasthttp.StatusOK, status, size)
			}
			conn, err := net.DialTimeout("tcp", h.address.String(), callTimeout)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, writeParts(conn, chunkedHead(h, "chunked"), chunk, maxBodyBytes/partBytes))
			require.NoError(t, write(conn, "0\r\n\r\n"))
			var response fasthttp.Response
			require.NoError(t, response.Read(bufio.NewReader(conn)))
			require.Equal(t, fasthttp.StatusOK, response.StatusCode())
		})
	}
}
