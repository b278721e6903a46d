package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/capacity"
	"github.com/cassiachute/cassiachute/fleet"
)

// memorySizes are the numbers of simultaneous requests to measure.
var memorySizes = []int{100, 200, 400, 800}

const (
	memorySettle = 2 * time.Second
	answerTokens = 1000
)

// RequestMemory prints the memory that open requests take in this process, first while
// they wait for a slot and then while they stream. Callers, hosts and engines
// share the process, so the figures are upper bounds for a host.
func RequestMemory(ctx context.Context, out io.Writer) error {
	for _, state := range []struct {
		name  string
		slots int
	}{{"waiting request, with its caller", 1}, {"stream, with its caller and engine", 200}} {
		s := capacity.Slope{Name: state.name, Unit: "bytes", SizeName: "requests"}
		for _, size := range memorySizes {
			bytes, err := measureMemory(ctx, size, state.slots)
			if err != nil {
				return err
			}
			s.Points = append(s.Points, capacity.Point{Size: float64(size), Value: bytes})
		}
		s.Write(out)
	}
	return nil
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// measureMemory returns the memory that a number of open requests take.
func measureMemory(ctx context.Context, size, slots int) (float64, error) {
	config := fleet.NewConfig()
	config.Teams = fleet.DemoTeams()
	config.Engine.Batch, config.Engine.Base, config.Engine.Slope = slots, 200*time.Millisecond, 0
	config.Engine.Memory = 1 << 40
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	before := memoryInUse()
	conns := make([]net.Conn, size)
	var sending sync.WaitGroup
	for n := range size {
		sending.Go(func() { conns[n], _ = openStream(f, n) })
	}
	sending.Wait()
	defer func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}()
	select {
	case <-ctx.Done():
	case <-time.After(memorySettle):
	}
	return memoryInUse() - before, ctx.Err()
}

// openStream sends one long streamed request and returns its open connection.
func openStream(f *fleet.Fleet, n int) (net.Conn, error) {
	address := f.Entries[n%len(f.Entries)].Settings.Listen
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":"model","stream":true,"prompt":"request %d length=%d"}`, n, answerTokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: %s\r\n%s: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		address, fasthttp.HeaderAuthorization, fleet.Key(fleet.BackloggedTeam), len(body), body)
	return conn, err
}
