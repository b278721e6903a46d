package capacity

import (
	"fmt"
	"time"

	"github.com/cassiachute/cassiachute/warmup"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	sampleColdStart = 3 * time.Second
	sampleColdRate  = 10.0 // requests per second that a cold target can take
	fewRequests     = 30   // requests to a target since the host started, fewer than a limiter keeps
	manyRequests    = 1000 // the same, more than a limiter keeps
	sampleNumber    = 1_000_000
	sampleDuration  = 60_000 // microseconds of a plain request
	suspicionLeft   = 6600   // milliseconds of a suspicion: three heartbeats and a cold start
)

// measureUneven measures the state and the messages of cold targets, evacuated places and central queues.
func measureUneven() []Slope {
	targets := []int{300, 1200, 4800}
	limiters := func(requests int) func(n int) float64 {
		return func(n int) float64 { return heapBytes(func() any { return sampleLimiters(n, requests) }) }
	}
	return []Slope{
		measureSeries(Slope{Name: "warm-up limiter, no request yet", Unit: "bytes", SizeName: "targets"}, targets, limiters(0)),
		measureSeries(Slope{Name: "warm-up limiter, 30 requests", Unit: "bytes", SizeName: "targets"}, targets, limiters(fewRequests)),
		measureSeries(Slope{Name: "warm-up limiter, 1,000 requests", Unit: "bytes", SizeName: "targets"}, targets, limiters(manyRequests)),
		measureSeries(Slope{Name: "host state", Unit: "bytes", SizeName: "suspicions"}, []int{0, 4, 16, 64},
			func(n int) float64 { return encodedSize(sampleHostState(n)) }),
		measureSeries(Slope{Name: "reply without changes", Unit: "bytes", SizeName: "evacuated places"}, []int{0, 1, 4, 16},
			func(n int) float64 { return encodedSize(sampleReply(n)) }),
		measureSeries(Slope{Name: "central queue: slot request", Unit: "bytes", SizeName: "excluded targets"}, []int{0, 1, 2, 4},
			func(n int) float64 { return encodedSize(sampleSlotRequest(n)) }),
		measureSeries(Slope{Name: "central queue: response with a slot, and end", Unit: "bytes", SizeName: "request"}, []int{0, 1, 2, 4},
			func(int) float64 { return encodedSize(sampleSlotResponse()) + encodedSize(sampleSlotEnd()) }),
		measureSeries(Slope{Name: "central queue: response that says that it waits", Unit: "bytes", SizeName: "request"}, []int{0, 1, 2, 4},
			func(int) float64 { return encodedSize(&wire.SlotResponse{Number: sampleNumber, Queued: true}) }),
	}
}

// sampleLimiters returns the limiters of a number of targets that each got a number of requests.
func sampleLimiters(targets, requests int) []warmup.Limiter {
	now := time.Unix(1_700_000_000, 0)
	limiters := make([]warmup.Limiter, targets)
	for n := range limiters {
		limiters[n].Configure(sampleColdStart, sampleColdRate)
		for range requests {
			limiters[n].Record(now)
		}
	}
	return limiters
}

// sampleTargetID returns the ID of the n-th target.
func sampleTargetID(n int) string { return fmt.Sprintf("engine%05d", n) }

// sampleHostState returns the state of a host that suspects a number of targets, and reports nothing else.
func sampleHostState(suspicions int) *wire.HostState {
	m := &wire.HostState{Boot: 1 << 40, Number: sampleNumber, Revision: 8000, Age: 250, Place: "place01"}
	for n := range suspicions {
		m.Suspicions = append(m.Suspicions, wire.Suspicion{Target: sampleTargetID(n), Age: 1000, Left: suspicionLeft})
	}
	return m
}

// sampleReply returns the reply to a host whose configuration and list of targets are current.
func sampleReply(evacuated int) *wire.Reply {
	m := &wire.Reply{Revision: 8000, Age: 250, TargetsAge: 250, Digest: 1 << 63, EvacuatedAsOf: 1 << 31}
	for n := range evacuated {
		m.Evacuated = append(m.Evacuated, fmt.Sprintf("place%02d", n))
	}
	return m
}

// sampleSlotRequest returns the request for a slot at any target of a plain service.
func sampleSlotRequest(excluded int) *wire.SlotRequest {
	m := &wire.SlotRequest{
		Number: sampleNumber, Service: "service07", Team: "team100", FirstEventLimit: 300, ResponseLimit: 5000, Elapsed: 1,
		MayWait: true, AnyEngine: true,
	}
	for n := range excluded {
		m.Excluded = append(m.Excluded, sampleTargetID(n))
	}
	return m
}

// sampleSlotResponse returns the grant of a slot at a plain target.
func sampleSlotResponse() *wire.SlotResponse {
	return &wire.SlotResponse{Number: sampleNumber, Target: sampleTargetID(1), ExpectedFirstEvent: 60}
}

// sampleSlotEnd returns the report that a plain request ended.
func sampleSlotEnd() *wire.LeaseUpdate {
	return &wire.LeaseUpdate{Number: sampleNumber, Ended: true, Outcome: 1, Duration: sampleDuration}
}
