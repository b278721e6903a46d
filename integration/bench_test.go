package integration_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const clockTicks = 100 // clock ticks per second in /proc

// processorSeconds returns the CPU time that the process has used.
func (p *process) processorSeconds(t testing.TB) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(body[strings.LastIndex(string(body), ")")+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	return float64(user+system) / clockTicks
}

// residentBytes returns the resident memory of the process.
func (p *process) residentBytes(t testing.TB) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(body))[1])
	require.NoError(t, err)
	return float64(pages * os.Getpagesize())
}

// BenchmarkHost reports the CPU time, control traffic and memory of an idle host,
// and the CPU time of each token that it relays. Run it with -benchtime 1x.
func BenchmarkHost(b *testing.B) {
	const idle, callers, requests, tokens = 10 * time.Second, 8, 25, 200
	for range b.N {
		b.StopTimer()
		f := startFleet(b, smallConfig())
		h := f.hosts[0]
		cpuBefore := h.processorSeconds(b)
		statusBefore, _ := f.status(h)
		time.Sleep(idle)
		statusAfter, _ := f.status(h)
		b.ReportMetric((h.processorSeconds(b)-cpuBefore)/idle.Seconds()*100, "idle-%core")
		b.ReportMetric(float64(statusAfter.Sent+statusAfter.Received-statusBefore.Sent-statusBefore.Received)/idle.Seconds(), "idle-B/s")
		b.ReportMetric(h.residentBytes(b)/(1<<20), "idle-MiB")
		cpuBefore = h.processorSeconds(b)
		b.StartTimer()
		var running sync.WaitGroup
		for c := range callers {
			running.Go(func() {
				for n := range requests {
					id := fmt.Sprintf("bench-%d-%d", c, n)
					f.streamCompletion(h, id, promptFor(id, tokens), nil)
				}
			})
		}
		running.Wait()
		used := h.processorSeconds(b) - cpuBefore
		b.ReportMetric(used/(callers*requests*tokens)*1e6, "us/token")
	}
}

// BenchmarkTakeover reports the time from killing the owner of a shard until
// another host owns the shard, and until a request is answered there. Run it with
// -benchtime 1x.
func BenchmarkTakeover(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := startFleet(b, smallConfig())
		killed := f.owner("model", "place1", f.hosts...)
		var survivors []*host
		for _, h := range f.hosts {
			if h != killed {
				survivors = append(survivors, h)
			}
		}
		b.StartTimer()
		start := time.Now()
		killed.signal(syscall.SIGKILL)
		f.eventually("new owner", func() bool { return f.owner("model", "place1", survivors...) != nil })
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "owner-ms")
		prompt := promptFor("first", 1)
		for _, h := range survivors {
			if h.settings.Place == killed.settings.Place {
				f.streamCompletion(h, "first", prompt, nil)
			}
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "answer-ms")
	}
}
