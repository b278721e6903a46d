package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/host"
	"github.com/cassiachute/cassiachute/intake"
	"github.com/cassiachute/cassiachute/ledger"
	"github.com/cassiachute/cassiachute/order"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	measureFor    = 200 * time.Millisecond
	batchCalls    = 64
	nanosPerMicro = 1000.0
)

// perCall returns the mean time of a call in microseconds.
func perCall(call func()) float64 {
	call()
	began := time.Now()
	calls := 0
	for time.Since(began) < measureFor {
		for range batchCalls {
			call()
		}
		calls += batchCalls
	}
	return float64(time.Since(began).Nanoseconds()) / float64(calls) / nanosPerMicro
}

// series measures a value at several sizes.
func series(s Slope, sizes []int, value func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Value: value(size)})
	}
	return s
}

// Measure returns all slopes.
func Measure() []Slope {
	var list []Slope
	list = append(list, grants()...)
	list = append(list, messages()...)
	list = append(list, work()...)
	list = append(list, memory()...)
	return list
}

// grants measures the time of a grant, with its ticket and end.
func grants() []Slope {
	turn := func(targets, teams, waiting int) float64 {
		s := dispatch.NewSample(targets, teams, waiting)
		return perCall(func() { s.Turn() })
	}
	return []Slope{
		series(Slope{Name: "ticket, grant and end", Unit: "us", By: "targets", Log: true},
			[]int{10, 50, 250, 1000, 5000}, func(n int) float64 { return turn(n, 50, 1000) }),
		series(Slope{Name: "ticket, grant and end", Unit: "us", By: "teams", Log: true},
			[]int{15, 60, 250, 1000}, func(n int) float64 { return turn(100, n, 2000) }),
		series(Slope{Name: "ticket, grant and end", Unit: "us", By: "waiting tickets", Log: true},
			[]int{10, 100, 1000, 10000, 100000}, func(n int) float64 { return turn(100, 50, n) }),
		series(Slope{Name: "tick of a shard", Unit: "us", By: "targets"},
			[]int{10, 50, 250, 1000, 5000}, func(n int) float64 {
				s := dispatch.NewSample(n, 23, 1000)
				return perCall(s.Tick)
			}),
		series(Slope{Name: "tick of a shard", Unit: "us", By: "teams with work"},
			[]int{5, 23, 100, 230}, func(n int) float64 {
				s := dispatch.NewSample(20, n, 2000)
				return perCall(s.Tick)
			}),
	}
}

// size returns the bytes of a message on the wire, without the frame.
func size(m wire.Message) float64 {
	body, err := wire.Encode([]wire.Message{m})
	if err != nil {
		panic(err)
	}
	return float64(len(body))
}

var sampleShard = wire.Shard{Service: 250, Place: 260}

// sampleID is a request's number after a day of 12 requests a second.
const sampleID = 1_000_000

func sampleTicket(blocks int) *wire.Ticket {
	m := &wire.Ticket{ID: sampleID, Shard: sampleShard, Team: 100, Urgency: 1}
	for n := range blocks {
		m.Blocks = append(m.Blocks, 0xffff0000+uint32(n))
	}
	return m
}

func sampleTotals(teams int) *wire.Totals {
	m := &wire.Totals{
		Shard: sampleShard, Incarnation: 1 << 31, Sequence: 1 << 17, Free: 3, Slots: 200, Level: 1 << 33,
	}
	for n := range teams {
		m.Rows = append(m.Rows, wire.Row{
			Team: uint32(100 + n), Served: 1<<34 + uint64(n), Charged: 1 << 13, Lift: 1 << 32, Waiting: 30, Running: 12,
		})
	}
	return m
}

func sampleRoster(members int) *wire.Roster {
	m := &wire.Roster{Place: 260, Version: 1 << 41, Revision: 8000}
	for n := range members {
		m.Members = append(m.Members, wire.Member{Address: sampleAddress(n), Boot: 1 << 41})
	}
	return m
}

func sampleAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// messages measures the sizes of messages.
func messages() []Slope {
	few := []int{0, 1, 2, 4}
	return []Slope{
		series(Slope{Name: "ticket", Unit: "bytes", By: "prompt blocks"}, few,
			func(n int) float64 { return size(sampleTicket(n)) }),
		series(Slope{Name: "grant", Unit: "bytes", By: "request"}, few, func(int) float64 {
			return size(&wire.Grant{ID: sampleID, Shard: sampleShard, Incarnation: 1 << 31, Target: 5000})
		}),
		series(Slope{Name: "end", Unit: "bytes", By: "request"}, few, func(int) float64 {
			return size(&wire.End{ID: sampleID, Shard: sampleShard, Cost: 700, TokenInterval: 40000, FirstByte: 300})
		}),
		series(Slope{Name: "totals", Unit: "bytes", By: "teams"}, []int{1, 5, 23, 115, 230},
			func(n int) float64 { return size(sampleTotals(n)) }),
		series(Slope{Name: "heartbeat", Unit: "bytes", By: "heartbeat"}, few,
			func(int) float64 { return size(&wire.Heartbeat{Revision: 8000, Rosters: 1 << 31, Place: 1 << 31}) }),
		series(Slope{Name: "roster", Unit: "bytes", By: "members"}, []int{2, 6, 12, 24},
			func(n int) float64 { return size(sampleRoster(n)) }),
		series(Slope{Name: "snapshot", Unit: "bytes", By: "objects"}, []int{50, 500, 2000, 5000},
			func(n int) float64 { return float64(len(sampleSet(n).Encode())) }),
		series(Slope{Name: "change of configuration", Unit: "bytes", By: "objects changed"}, []int{1, 2, 8, 32}, stepSize),
		series(Slope{Name: "claim of an order in the table", Unit: "bytes", By: "orders"}, []int{1, 4, 16, 32}, claimSize),
	}
}

func sampleSet(targets int) *catalog.Set {
	set := catalog.NewSet()
	set.Services["model"] = catalog.Service{Kind: catalog.KindModel}
	set.Places["here"] = catalog.Place{}
	for n := range targets {
		set.Targets[fmt.Sprintf("engine%05d", n)] = catalog.Target{
			Service: "model", Place: "here", Address: sampleAddress(n), Slots: 32,
		}
	}
	set.Seal(1)
	return set
}

// changed returns a set with so many targets changed.
func changed(set *catalog.Set, targets int) *catalog.Set {
	next := set.Clone()
	for n := range targets {
		name := fmt.Sprintf("engine%05d", n)
		t := next.Targets[name]
		t.Leaving = !t.Leaving
		t.Revision = 0
		next.Targets[name] = t
	}
	next.Seal(set.Revision + 1)
	return next
}

func stepSize(objects int) float64 {
	set := sampleSet(100)
	body, err := json.Marshal(catalog.Diff(set, changed(set, objects)))
	if err != nil {
		panic(err)
	}
	return size(&wire.Steps{From: 1, Bodies: [][]byte{body}})
}

func claimSize(orders int) float64 {
	total := 0
	for n := range orders {
		body, err := json.Marshal(order.Record{
			Token: "00000000-0000-0000-0000-000000000000", State: order.Claimed, Digest: 1 << 63, Fence: 1,
			Holder: sampleAddress(n).String(), Boot: 1 << 41, At: time.Unix(1_700_000_000, 0).UTC(),
		})
		if err != nil {
			panic(err)
		}
		total += len(body)
	}
	return float64(total)
}

// work measures the time of what is not a grant.
func work() []Slope {
	return []Slope{
		series(Slope{Name: "encode and decode of messages", Unit: "us", By: "tickets"}, []int{1, 4, 16, 64}, codecTime),
		series(Slope{Name: "merge of totals, decode included", Unit: "us", By: "teams"}, []int{1, 5, 23, 115, 230}, mergeTime),
		series(Slope{Name: "round of heartbeats", Unit: "us", By: "members"}, []int{2, 6, 12, 24}, beatTime),
		series(Slope{Name: "change of configuration, step to view", Unit: "us", By: "objects"}, []int{50, 500, 2000, 5000}, changeTime),
	}
}

func codecTime(tickets int) float64 {
	var list []wire.Message
	for range tickets {
		list = append(list, sampleTicket(1))
	}
	return perCall(func() {
		body, err := wire.Encode(list)
		if err == nil {
			_, err = wire.Decode(body)
		}
		if err != nil {
			panic(err)
		}
	})
}

func mergeTime(teams int) float64 {
	m := sampleTotals(teams)
	body, err := wire.Encode([]wire.Message{m})
	if err != nil {
		panic(err)
	}
	book := ledger.NewBook()
	sequence := uint64(0)
	return perCall(func() {
		list, err := wire.Decode(body)
		if err != nil {
			panic(err)
		}
		t := list[0].(*wire.Totals)
		sequence++
		t.Sequence = sequence
		book.Merge(time.Unix(1_700_000_000, 0), t)
	})
}

func beatTime(members int) float64 {
	now := time.Unix(1_700_000_000, 0)
	h := host.New(host.NewConfig(sampleAddress(members+1), 1, "here"))
	placeHash := uint32(xxhash.Sum64String("here"))
	return perCall(func() {
		now = now.Add(time.Millisecond)
		for n := range members {
			h.Receive(now, sampleAddress(n), 1, []wire.Message{&wire.Heartbeat{Rosters: 1, Place: placeHash}})
		}
		h.Drain()
	})
}

func changeTime(objects int) float64 {
	set := sampleSet(objects)
	step := catalog.Diff(set, changed(set, 1))
	return perCall(func() {
		next, err := set.Apply(step)
		if err != nil {
			panic(err)
		}
		catalog.NewView(next)
	})
}

// memory measures the heap that rows take in the decisions.
func memory() []Slope {
	return []Slope{
		series(Slope{Name: "waiting request, at its entry and its owner", Unit: "bytes", By: "requests"},
			[]int{1000, 4000, 16000, 64000}, waitingMemory),
		series(Slope{Name: "target at its owner", Unit: "bytes", By: "targets"}, []int{100, 400, 1600, 5000},
			func(n int) float64 { return heapOf(func() any { return dispatch.NewSample(n, 1, 0) }) }),
		series(Slope{Name: "team at an owner", Unit: "bytes", By: "teams"}, []int{100, 250, 500, 1000},
			func(n int) float64 { return heapOf(func() any { return dispatch.NewSample(1, n, 2*n) }) }),
		series(Slope{Name: "configuration in force, with its view", Unit: "bytes", By: "objects"}, []int{50, 500, 2000, 5000},
			func(n int) float64 { return heapOf(func() any { return catalog.NewView(sampleSet(n)) }) }),
	}
}

// heapOf returns the heap that a value keeps.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func waitingMemory(requests int) float64 {
	return heapOf(func() any {
		now := time.Unix(1_700_000_000, 0)
		h := host.New(host.NewConfig(sampleAddress(1), 1, "here"))
		set := sampleSet(1)
		set.Teams["team"] = catalog.Team{Waiting: 2 * requests}
		v := set.Services["model"]
		v.Queue = 2 * requests
		set.Services["model"] = v
		set.Seal(2)
		h.Apply(now, set)
		for range requests {
			h.Submit(now, intake.Request{Service: set.Services["model"].Number, Team: set.Teams["team"].Number, Deadline: now.Add(time.Hour)})
		}
		h.Drain()
		return h
	})
}
