package entry_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/knownred"
	"github.com/cassiachute/cassiachute/standin/heap"
)

// endlessCallers is how many callers wait for answers that do not end.
const endlessCallers = 16

// TestEndlessModelAnswersStayWithinTheMemoryOfTheHost guards against targets that answer with neither a length nor
// chunks and do not end. The host holds such an answer of a model to see whether it is complete. Each was bounded,
// but not all of them together.
func TestEndlessModelAnswersStayWithinTheMemoryOfTheHost(t *testing.T) {
	knownred.Skip(t)
	piece := strings.Repeat("z", 64<<10)
	services := map[string]string{"sound": catalog.KindModel}
	for n := range 10 {
		services[fmt.Sprint("s", n)] = catalog.KindModel
	}
	f := newFixture(t, services, func(received *targetRequest) bool {
		received.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
		if string(received.request.Header.Peek(entry.HeaderRequestID)) == "sound" {
			received.write(`{"id":"e","choices":[{"index":0}]}`)
			return false
		}
		for range 400 { // 25 MiB, more than the host holds of one answer
			received.write(piece)
		}
		return false
	})
	ask := func(id, service string) int {
		return f.doRequest(fasthttp.MethodPost, "/v1/completions", id, "", fmt.Sprintf(`{"model":%q,"prompt":"p","tools":[1]}`, service)).status
	}
	peak := heap.Watch(t, hostMemory)
	var wg sync.WaitGroup
	for n := range endlessCallers {
		wg.Go(func() { ask(fmt.Sprint("r", n), fmt.Sprint("s", n%10)) })
	}
	require.Equal(t, fasthttp.StatusOK, ask("sound", "sound"))
	wg.Wait()
	used := peak()
	t.Logf("heap %d MiB", used>>20)
	require.Less(t, used, uint64(hostMemory))
}
