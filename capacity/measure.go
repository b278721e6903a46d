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

// Parameters of the measurements of time.
const (
	minMeasureTime = 200 * time.Millisecond // least time that one measurement takes
	callsPerBatch  = 64                     // calls between two readings of the clock
	nanosPerMicro  = 1000.0
)

// microsPerCall returns the mean time of a call in microseconds, after one call to warm up.
func microsPerCall(call func()) float64 {
	call()
	start := time.Now()
	calls := 0
	for time.Since(start) < minMeasureTime {
		for range callsPerBatch {
			call()
		}
		calls += callsPerBatch
	}
	return float64(time.Since(start).Nanoseconds()) / float64(calls) / nanosPerMicro
}

// measureSeries measures a value at several sizes, and returns the slope s with these points added.
func measureSeries(s Slope, sizes []int, value func(size int) float64) Slope {
	for _, size := range sizes {
		s.Points = append(s.Points, Point{Size: float64(size), Value: value(size)})
	}
	return s
}

// Measure runs all measurements and returns their slopes.
func Measure() []Slope {
	var slopes []Slope
	slopes = append(slopes, measureGrants()...)
	slopes = append(slopes, measureMessageSizes()...)
	slopes = append(slopes, measureProcessing()...)
	slopes = append(slopes, measureMemory()...)
	slopes = append(slopes, measureUneven()...)
	return slopes
}

// measureGrants measures the time to process the ticket, the grant and the end of a request, and the
// time of a tick of a shard.
func measureGrants() []Slope {
	grantTime := func(targets, teams, waiting int) float64 {
		s := dispatch.NewSample(targets, teams, waiting)
		return microsPerCall(func() { s.SubmitEndGrant() })
	}
	return []Slope{
		measureSeries(Slope{Name: "ticket, grant and end", Unit: "us", SizeName: "targets", LogScale: true},
			[]int{10, 50, 250, 1000, 5000}, func(n int) float64 { return grantTime(n, 50, 1000) }),
		measureSeries(Slope{Name: "ticket, grant and end", Unit: "us", SizeName: "teams", LogScale: true},
			[]int{15, 60, 250, 1000}, func(n int) float64 { return grantTime(100, n, 2000) }),
		measureSeries(Slope{Name: "ticket, grant and end", Unit: "us", SizeName: "waiting tickets", LogScale: true},
			[]int{10, 100, 1000, 10000, 100000}, func(n int) float64 { return grantTime(100, 50, n) }),
		measureSeries(Slope{Name: "tick of a shard", Unit: "us", SizeName: "targets"},
			[]int{10, 50, 250, 1000, 5000}, func(n int) float64 {
				s := dispatch.NewSample(n, 23, 1000)
				return microsPerCall(s.Tick)
			}),
		measureSeries(Slope{Name: "tick of a shard", Unit: "us", SizeName: "teams with work"},
			[]int{5, 23, 100, 230}, func(n int) float64 {
				s := dispatch.NewSample(20, n, 2000)
				return microsPerCall(s.Tick)
			}),
	}
}

// encodedSize returns the size of a message on the wire in bytes, without the frame.
func encodedSize(m wire.Message) float64 {
	body, err := wire.Encode([]wire.Message{m})
	if err != nil {
		panic(err)
	}
	return float64(len(body))
}

// sampleShard has numbers of a service and a place that are as long as in a large configuration.
var sampleShard = wire.Shard{Service: 250, Place: 260}

// sampleID is the ID of a request after a day of 12 requests per second.
const sampleID = 1_000_000

// sampleTicket returns a ticket whose prompt has a number of blocks.
func sampleTicket(blocks int) *wire.Ticket {
	m := &wire.Ticket{ID: sampleID, Shard: sampleShard, Team: 100, Urgency: 1}
	for n := range blocks {
		m.Blocks = append(m.Blocks, 0xffff0000+uint32(n))
	}
	return m
}

// sampleShardState returns a report of a shard with a number of teams.
func sampleShardState(teams int) *wire.ShardState {
	m := &wire.ShardState{
		Shard: sampleShard, Incarnation: 1 << 31, Sequence: 1 << 17, Free: 3, Slots: 200, Level: 1 << 33,
	}
	for n := range teams {
		m.Teams = append(m.Teams, wire.TeamUsage{
			Team: uint32(100 + n), Served: 1<<34 + uint64(n), Charged: 1 << 13, Lift: 1 << 32, Waiting: 30, Running: 12,
		})
	}
	return m
}

// sampleRoster returns a roster with a number of members.
func sampleRoster(members int) *wire.Roster {
	m := &wire.Roster{Place: 260, Version: 1 << 41, Revision: 8000}
	for n := range members {
		m.Members = append(m.Members, wire.Member{Address: sampleAddress(n), Boot: 1 << 41})
	}
	return m
}

// sampleAddress returns the n-th of a series of addresses.
func sampleAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// measureMessageSizes measures the sizes of messages between hosts and of stored records.
func measureMessageSizes() []Slope {
	smallSizes := []int{0, 1, 2, 4}
	return []Slope{
		measureSeries(Slope{Name: "ticket", Unit: "bytes", SizeName: "prompt blocks"}, smallSizes,
			func(n int) float64 { return encodedSize(sampleTicket(n)) }),
		measureSeries(Slope{Name: "grant", Unit: "bytes", SizeName: "request"}, smallSizes, func(int) float64 {
			return encodedSize(&wire.Grant{ID: sampleID, Shard: sampleShard, Incarnation: 1 << 31, Target: 5000})
		}),
		measureSeries(Slope{Name: "end", Unit: "bytes", SizeName: "request"}, smallSizes, func(int) float64 {
			return encodedSize(&wire.RequestEnd{ID: sampleID, Shard: sampleShard, Cost: 700, TokenInterval: 40000, FirstByte: 300})
		}),
		measureSeries(Slope{Name: "totals", Unit: "bytes", SizeName: "teams"}, []int{1, 5, 23, 115, 230},
			func(n int) float64 { return encodedSize(sampleShardState(n)) }),
		measureSeries(Slope{Name: "heartbeat", Unit: "bytes", SizeName: "heartbeat"}, smallSizes,
			func(int) float64 {
				return encodedSize(&wire.Heartbeat{Revision: 8000, Rosters: 1 << 31, Place: 1 << 31})
			}),
		measureSeries(Slope{Name: "roster", Unit: "bytes", SizeName: "members"}, []int{2, 6, 12, 24},
			func(n int) float64 { return encodedSize(sampleRoster(n)) }),
		measureSeries(Slope{Name: "snapshot", Unit: "bytes", SizeName: "objects"}, []int{50, 500, 2000, 5000},
			func(n int) float64 { return float64(len(sampleSet(n).Encode())) }),
		measureSeries(Slope{Name: "change of configuration", Unit: "bytes", SizeName: "objects changed"}, []int{1, 2, 8, 32}, configStepsSize),
		measureSeries(Slope{Name: "claim of an order in the table", Unit: "bytes", SizeName: "orders"}, []int{1, 4, 16, 32}, claimSize),
	}
}

// sampleSet returns a configuration of one service with a number of targets.
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

// withChangedTargets returns the next revision of a configuration, in which a number of targets
// differ.
func withChangedTargets(set *catalog.Set, targets int) *catalog.Set {
	next := set.Clone()
	for n := range targets {
		name := fmt.Sprintf("engine%05d", n)
		t := next.Targets[name]
		t.Draining = !t.Draining
		t.Revision = 0
		next.Targets[name] = t
	}
	next.Seal(set.Revision + 1)
	return next
}

// configStepsSize returns the bytes of a message with a configuration change of a number of objects.
func configStepsSize(objects int) float64 {
	set := sampleSet(100)
	body, err := json.Marshal(catalog.Diff(set, withChangedTargets(set, objects)))
	if err != nil {
		panic(err)
	}
	return encodedSize(&wire.ConfigSteps{From: 1, Bodies: [][]byte{body}})
}

// claimSize returns the bytes of the records that claim a number of orders.
func claimSize(orders int) float64 {
	total := 0
	for n := range orders {
		body, err := json.Marshal(order.Record{
			Token: "00000000-0000-0000-0000-000000000000", State: order.Claimed, Digest: 1 << 63, Fence: 1,
			Holder: sampleAddress(n).String(), Boot: 1 << 41, WrittenAt: time.Unix(1_700_000_000, 0).UTC(),
		})
		if err != nil {
			panic(err)
		}
		total += len(body)
	}
	return float64(total)
}

// measureProcessing measures the time of work other than grants.
func measureProcessing() []Slope {
	return []Slope{
		measureSeries(Slope{Name: "encode and decode of messages", Unit: "us", SizeName: "tickets"}, []int{1, 4, 16, 64}, codecTime),
		measureSeries(Slope{Name: "merge of totals, decode included", Unit: "us", SizeName: "teams"}, []int{1, 5, 23, 115, 230}, mergeTime),
		measureSeries(Slope{Name: "round of heartbeats", Unit: "us", SizeName: "members"}, []int{2, 6, 12, 24}, heartbeatTime),
		measureSeries(Slope{Name: "change of configuration, step to view", Unit: "us", SizeName: "objects"}, []int{50, 500, 2000, 5000}, configChangeTime),
	}
}

// codecTime returns the time to encode and decode a number of tickets as one batch.
func codecTime(tickets int) float64 {
	var messages []wire.Message
	for range tickets {
		messages = append(messages, sampleTicket(1))
	}
	return microsPerCall(func() {
		body, err := wire.Encode(messages)
		if err == nil {
			_, err = wire.Decode(body)
		}
		if err != nil {
			panic(err)
		}
	})
}

// mergeTime returns the time to decode a report of a number of teams and merge it into a Book.
func mergeTime(teams int) float64 {
	m := sampleShardState(teams)
	body, err := wire.Encode([]wire.Message{m})
	if err != nil {
		panic(err)
	}
	book := ledger.NewBook()
	sequence := uint64(0)
	return microsPerCall(func() {
		messages, err := wire.Decode(body)
		if err != nil {
			panic(err)
		}
		report := messages[0].(*wire.ShardState)
		sequence++
		report.Sequence = sequence
		book.Merge(time.Unix(1_700_000_000, 0), report)
	})
}

// heartbeatTime returns the time that a host takes to process one heartbeat of each of its members.
func heartbeatTime(members int) float64 {
	now := time.Unix(1_700_000_000, 0)
	h := host.New(host.NewConfig(sampleAddress(members+1), 1, "here"))
	placeHash := uint32(xxhash.Sum64String("here"))
	return microsPerCall(func() {
		now = now.Add(time.Millisecond)
		for n := range members {
			h.Receive(now, sampleAddress(n), 1, []wire.Message{&wire.Heartbeat{Rosters: 1, Place: placeHash}})
		}
		h.Drain()
	})
}

// configChangeTime returns the time to apply a change to a configuration of a number of objects and
// build its view.
func configChangeTime(objects int) float64 {
	set := sampleSet(objects)
	step := catalog.Diff(set, withChangedTargets(set, 1))
	return microsPerCall(func() {
		next, err := set.Apply(step)
		if err != nil {
			panic(err)
		}
		catalog.NewView(next)
	})
}

// measureMemory measures the heap that requests, targets, teams and configuration objects take.
func measureMemory() []Slope {
	return []Slope{
		measureSeries(Slope{Name: "waiting request, at its entry and its owner", Unit: "bytes", SizeName: "requests"},
			[]int{1000, 4000, 16000, 64000}, waitingMemory),
		measureSeries(Slope{Name: "target at its owner", Unit: "bytes", SizeName: "targets"}, []int{100, 400, 1600, 5000},
			func(n int) float64 { return heapBytes(func() any { return dispatch.NewSample(n, 1, 0) }) }),
		measureSeries(Slope{Name: "team at an owner", Unit: "bytes", SizeName: "teams"}, []int{100, 250, 500, 1000},
			func(n int) float64 { return heapBytes(func() any { return dispatch.NewSample(1, n, 2*n) }) }),
		measureSeries(Slope{Name: "configuration in force, with its view", Unit: "bytes", SizeName: "objects"}, []int{50, 500, 2000, 5000},
			func(n int) float64 { return heapBytes(func() any { return catalog.NewView(sampleSet(n)) }) }),
	}
}

// heapBytes returns the growth of the heap by a value that build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// waitingMemory returns the heap of a host at which a number of requests wait, as the host that
// accepted them and as the owner of their shard.
func waitingMemory(requests int) float64 {
	return heapBytes(func() any {
		now := time.Unix(1_700_000_000, 0)
		h := host.New(host.NewConfig(sampleAddress(1), 1, "here"))
		set := sampleSet(1)
		set.Teams["team"] = catalog.Team{MaxWaiting: 2 * requests}
		service := set.Services["model"]
		service.MaxWaiting = 2 * requests
		set.Services["model"] = service
		set.Seal(2)
		h.Apply(now, set)
		for range requests {
			h.Submit(now, intake.Request{Service: set.Services["model"].Number, Team: set.Teams["team"].Number, Deadline: now.Add(time.Hour)})
		}
		h.Drain()
		return h
	})
}
