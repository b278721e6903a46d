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

// memorySizes are the numbers of requests at once.
var memorySizes = []int{100, 200, 400, 800}

const (
	memorySettle   = 2 * time.Second
	streamedTokens = 1000
)

// Memory prints the memory that open requests take in this process: while they
// wait for a slot, and while they stream. Callers, hosts and engines share the
// process, so the figures are upper bounds for a host.
func Memory(ctx context.Context, out io.Writer) error {
	for _, kind := range []struct {
		name  string
		slots int
	}{{"waiting request, with its caller", 1}, {"stream, with its caller and engine", 200}} {
		s := capacity.Slope{Name: kind.name, Unit: "bytes", SizeName: "requests"}
		for _, size := range memorySizes {
			grown, err := memoryOf(ctx, size, kind.slots)
			if err != nil {
				return err
			}
			s.Points = append(s.Points, capacity.Point{Size: float64(size), Value: grown})
		}
		s.Write(out)
	}
	return nil
}

func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// memoryOf returns the memory that so many open requests take.
func memoryOf(ctx context.Context, size, slots int) (float64, error) {
	config := fleet.NewConfig()
	config.Teams = fleet.DemoTeams()
	config.Engine.Batch, config.Engine.Base, config.Engine.Slope = slots, 200*time.Millisecond, 0
	config.Engine.Memory = 1 << 40
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return 0, err
	}
	defer f.Stop()
	before := inUse()
	conns := make([]net.Conn, size)
	var open sync.WaitGroup
	for n := range size {
		open.Go(func() { conns[n], _ = hold(f, n) })
	}
	open.Wait()
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
	return inUse() - before, ctx.Err()
}

// hold sends one long request and leaves its connection open.
func hold(f *fleet.Fleet, n int) (net.Conn, error) {
	address := f.Entries[n%len(f.Entries)].Settings.Listen
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"model":"model","stream":true,"prompt":"request %d length=%d"}`, n, streamedTokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: %s\r\n%s: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		address, fasthttp.HeaderAuthorization, fleet.Key(fleet.RushTeam), len(body), body)
	return conn, err
}
