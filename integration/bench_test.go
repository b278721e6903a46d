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

const clockTicks = 100 // of /proc, a second

// processorSeconds returns the processor time that a process has used.
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

// residentBytes returns the memory that a process has resident.
func (p *process) residentBytes(t testing.TB) float64 {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(body))[1])
	require.NoError(t, err)
	return float64(pages * os.Getpagesize())
}

// BenchmarkHost reports what one host uses while idle, and for each request and
// token that it relays. Run it with -benchtime 1x.
func BenchmarkHost(b *testing.B) {
	const idle, callers, requests, tokens = 10 * time.Second, 8, 25, 200
	for range b.N {
		b.StopTimer()
		f := start(b, smallPlan())
		h := f.hosts[0]
		before := h.processorSeconds(b)
		sent, _ := f.status(h)
		time.Sleep(idle)
		after, _ := f.status(h)
		b.ReportMetric((h.processorSeconds(b)-before)/idle.Seconds()*100, "idle-%core")
		b.ReportMetric(float64(after.Sent+after.Received-sent.Sent-sent.Received)/idle.Seconds(), "idle-B/s")
		b.ReportMetric(h.residentBytes(b)/(1<<20), "idle-MiB")
		before = h.processorSeconds(b)
		b.StartTimer()
		var open sync.WaitGroup
		for c := range callers {
			open.Go(func() {
				for n := range requests {
					id := fmt.Sprintf("bench-%d-%d", c, n)
					f.stream(h, id, promptOf(id, tokens), nil)
				}
			})
		}
		open.Wait()
		used := h.processorSeconds(b) - before
		b.ReportMetric(used/(callers*requests*tokens)*1e6, "us/token")
	}
}

// BenchmarkTakeover reports the time from the death of an owner until another
// host owns its shard and grants. Run it with -benchtime 1x.
func BenchmarkTakeover(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := start(b, smallPlan())
		victim := f.owner("model", "place1", f.hosts...)
		var survivors []*host
		for _, h := range f.hosts {
			if h != victim {
				survivors = append(survivors, h)
			}
		}
		b.StartTimer()
		began := time.Now()
		victim.signal(syscall.SIGKILL)
		f.eventually("new owner", func() bool { return f.owner("model", "place1", survivors...) != nil })
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "owner-ms")
		prompt := promptOf("first", 1)
		for _, h := range survivors {
			if h.settings.Place == victim.settings.Place {
				f.stream(h, "first", prompt, nil)
			}
		}
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "answer-ms")
	}
}
