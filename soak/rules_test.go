package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/operator"
	"github.com/cassiachute/cassiachute/standin/target"
)

// testStart is the time at which the requests of the tests start.
var testStart = time.Unix(1000, 0)

// at returns the time at an offset from testStart.
func at(offset time.Duration) time.Time { return testStart.Add(offset) }

// newValidView returns the view of four requests, one of each kind, that violate no rule.
func newValidView() *View {
	v := &View{Outages: map[int][]TimeSpan{}, Stops: map[int][]Stop{}, UnexpectedExits: map[int]int{}, MinTimeouts: map[RequestKind]time.Duration{}}
	v.Leaving = map[string]time.Time{}
	for _, kind := range []RequestKind{RequestLookup, RequestOrder, RequestStream, RequestOnceStream} {
		s := SentRequest{
			ID: string(kind), Kind: kind, Path: "/" + string(kind) + "/x", Timeout: 5 * time.Second, StartedAt: at(0), SentAt: at(0), DoneAt: at(time.Second),
			Status: 200, AnswerID: string(kind), Sealed: true, Complete: true,
		}
		s.Body = target.Body(s.ID, s.Path, s.ID)
		if kind == RequestStream || kind == RequestOnceStream {
			s.ExpectedEvents, s.Body = 3, target.Event(s.ID, 1)+target.Event(s.ID, 2)+target.Event(s.ID, 3)
		}
		v.Requests = append(v.Requests, s)
		v.Arrivals = append(v.Arrivals, target.Arrival{ID: s.ID, Target: "t1", Received: at(10 * ms), At: at(10 * ms)})
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t1", Arrived: at(10 * ms), Began: at(10 * ms), Ended: at(time.Second), End: target.EndDone})
	}
	return v
}

// find returns the request of a kind and its run.
func (v *View) find(kind RequestKind) (*SentRequest, *target.Run) {
	for n := range v.Requests {
		if v.Requests[n].Kind == kind {
			return &v.Requests[n], &v.Runs[n]
		}
	}
	return nil, nil
}

// truncate cuts off the answer of a request.
func (v *View) truncate(kind RequestKind) (*SentRequest, *target.Run) {
	s, r := v.find(kind)
	s.Complete, r.End = false, target.EndDropped
	if s.ExpectedEvents > 0 {
		s.Body = target.Event(s.ID, 1)
	}
	return s, r
}

// setGatewayAnswer replaces the answer of a request by one that the gateway itself gives.
func (v *View) setGatewayAnswer(kind RequestKind, status int) (*SentRequest, *target.Run) {
	s, r := v.find(kind)
	s.Status, s.Sealed, s.Body = status, false, "text"
	return s, r
}

// lastUntilGraceEnd makes a request last until shortly before the end of the grace period of its gateway.
func (v *View) lastUntilGraceEnd(s *SentRequest, r *target.Run) (*SentRequest, *target.Run) {
	v.Stops[0] = []Stop{{TimeSpan: TimeSpan{From: at(-time.Second), To: at(gracePeriod - time.Second)}, LastLogLine: stoppedEvent}}
	s.Timeout, s.DoneAt, r.Ended = 20*time.Second, at(6500*ms), at(6500*ms)
	return s, r
}

// addRequest adds a request that reaches a target at the given time.
func (v *View) addRequest(id, name string, at time.Time) {
	v.Requests = append(v.Requests, SentRequest{
		ID: id, Kind: RequestOrder, StartedAt: at, SentAt: at, DoneAt: at, Status: 200, Sealed: true, Complete: true, Body: target.Body(id, "", id),
	})
	v.Arrivals = append(v.Arrivals, target.Arrival{ID: id, Target: name, Received: at, At: at})
}

// addColdRequests adds requests at equal intervals to a target that has just started again.
func (v *View) addColdRequests(count int, interval time.Duration) {
	v.Crashes = []target.Crash{{Target: "t2", At: at(-500 * ms), ServedAt: at(0)}}
	for n := range count {
		v.addRequest(fmt.Sprint("cold", n), "t2", at(time.Duration(n)*interval))
	}
}

// addEvacuation adds an evacuation of the first place for 7 s, and a request that reaches a target at the given time.
func (v *View) addEvacuation(name string, offset time.Duration) {
	v.Evacuations = []Evacuation{{TimeSpan{From: at(0), To: at(7 * time.Second)}, placeName(0)}}
	v.addRequest("late", name, at(offset))
}

// addConfigs replaces the requests of the view by two publications: the second one, accepted at the given time, changes
// what the first one allows.
func (v *View) addConfigs(acked time.Time, change func(d *operator.Config)) {
	d := operator.FirstConfig()
	next := operator.FirstConfig()
	change(&next)
	v.Requests, v.Runs, v.Arrivals = nil, nil, nil
	v.Publications = []Publication{{d, at(-time.Minute), at(-time.Minute)}, {next, acked.Add(-ms), acked}}
}

// addProbe adds a lookup that is sent at testStart with a key of the first configuration, and its run by a service unless that
// is empty.
func (v *View) addProbe(path string, status int, service string) *SentRequest {
	v.Requests = append(v.Requests, SentRequest{ID: "probe", Path: path, Key: "key1", StartedAt: at(0), SentAt: at(0), DoneAt: at(50 * ms), Status: status, Complete: true})
	if service != "" {
		v.Runs = append(v.Runs, target.Run{ID: "probe", Service: service, Arrived: at(10 * ms)})
	}
	return &v.Requests[len(v.Requests)-1]
}

// addRoute and revokeKey change a configuration.
func addRoute(d *operator.Config) { *d = d.NextRoutes(1) }
func revokeKey(d *operator.Config) {
	d.Teams = []operator.Team{{Name: "team1", Keys: []string{"other"}}}
}

// addedPath is the path of the route that addRoute adds.
const addedPath = "/added2/x"

// ruleCases change a view without violations so that a rule is violated, or just not. The first field is the
// name of the rule.
var ruleCases = []struct {
	rule   string
	name   string
	broken int
	change func(v *View)
}{
	{"lost", "a stream is cut off", 1, func(v *View) { v.truncate(RequestStream) }},
	{"lost", "an order has no answer", 1, func(v *View) {
		s, _ := v.truncate(RequestOrder)
		s.Status, s.Body = 0, ""
	}},
	{"lost", "a request that reached no target is closed late", 1, func(v *View) {
		v.truncate(RequestLookup)
		v.Arrivals, v.Runs = v.Arrivals[1:], v.Runs[1:]
	}},
	{"lost", "a request crosses the close of its connection", 0, func(v *View) {
		s, _ := v.truncate(RequestLookup)
		s.Status, s.DoneAt = 0, at(100*ms)
		v.Arrivals, v.Runs = v.Arrivals[1:], v.Runs[1:]
	}},
	{"lost", "the target broke the answer off", 0, func(v *View) {
		_, r := v.truncate(RequestStream)
		r.End = target.EndReset
	}},
	{"lost", "the request timed out", 0, func(v *View) {
		s, _ := v.truncate(RequestStream)
		s.DoneAt = at(s.Timeout)
	}},
	{"lost", "the timeout of the route passed", 0, func(v *View) {
		v.truncate(RequestStream)
		v.MinTimeouts[RequestStream] = time.Second
	}},
	{"lost", "the gateway was suspended", 0, func(v *View) {
		v.truncate(RequestStream)
		v.Outages[0] = []TimeSpan{{From: at(500 * ms)}}
	}},
	{"lost", "another gateway was suspended", 1, func(v *View) {
		v.truncate(RequestStream)
		v.Outages[1] = []TimeSpan{{From: at(500 * ms)}}
	}},
	{"lost", "the gateway is told to stop", 1, func(v *View) {
		v.truncate(RequestStream)
		v.Stops[0] = []Stop{{TimeSpan: TimeSpan{From: at(500 * ms)}}}
	}},
	{"lost", "a stream runs at the end of the grace period", 0, func(v *View) { v.lastUntilGraceEnd(v.truncate(RequestStream)) }},
	{"lost", "the run ended before the last sixth of the grace period", 1, func(v *View) {
		_, r := v.lastUntilGraceEnd(v.truncate(RequestStream))
		r.Ended = at(-time.Second + lateGraceOffset)
	}},
	{"lost", "the run ended just after the start of the last sixth", 0, func(v *View) {
		_, r := v.lastUntilGraceEnd(v.truncate(RequestStream))
		r.Ended = at(-time.Second + lateGraceOffset + ms)
	}},
	{"lost", "the run began after the grace period", 1, func(v *View) {
		s, r := v.lastUntilGraceEnd(v.truncate(RequestStream))
		r.Began = at(-time.Second + gracePeriod)
		s.DoneAt, r.Ended = r.Began.Add(ms), r.Began.Add(ms)
	}},
	{"lost", "the run never began", 1, func(v *View) {
		_, r := v.lastUntilGraceEnd(v.truncate(RequestStream))
		r.Began = time.Time{}
	}},
	{"lost", "a stream is cut off before the last sixth while its run goes on", 1, func(v *View) {
		s, _ := v.lastUntilGraceEnd(v.truncate(RequestStream))
		s.DoneAt = at(-time.Second + lateGraceOffset)
	}},
	{"lost", "a stream was sent late in the grace period", 1, func(v *View) {
		v.lastUntilGraceEnd(v.truncate(RequestStream))
		v.Stops[0][0].From = at(-lateRequestWindow - ms)
	}},
	{"lost", "a stream was sent just early enough in the grace period", 0, func(v *View) {
		v.lastUntilGraceEnd(v.truncate(RequestStream))
		v.Stops[0][0].From = at(-lateRequestWindow)
	}},
	{"lost", "another gateway was told to stop", 1, func(v *View) {
		v.lastUntilGraceEnd(v.truncate(RequestStream))
		v.Stops[0], v.Stops[1] = nil, v.Stops[0]
	}},
	{"lost", "an order has no answer at the end of the grace period", 1, func(v *View) { v.lastUntilGraceEnd(v.truncate(RequestOrder)) }},
	{"lost", "an order is answered at the end of the grace period", 0, func(v *View) { v.lastUntilGraceEnd(v.setGatewayAnswer(RequestOrder, 504)) }},
	{"failed", "an order is answered at the end of the grace period", 0, func(v *View) { v.lastUntilGraceEnd(v.setGatewayAnswer(RequestOrder, 504)) }},
	{"failed", "an order is answered early in the grace period", 1, func(v *View) {
		s, _ := v.lastUntilGraceEnd(v.setGatewayAnswer(RequestOrder, 504))
		s.DoneAt = at(time.Second)
	}},
	{"failed", "a lookup fails", 1, func(v *View) { v.setGatewayAnswer(RequestLookup, 502) }},
	{"failed", "an order was under way to a target that reset its connections", 0, func(v *View) {
		v.setGatewayAnswer(RequestOrder, 502)
		v.Arrivals, v.Runs = nil, nil
		v.Crashes = []target.Crash{{Target: "t1", At: at(500 * ms)}}
	}},
	{"failed", "an order was sent long after a target reset its connections", 1, func(v *View) {
		v.setGatewayAnswer(RequestOrder, 502)
		v.Arrivals, v.Runs = nil, nil
		v.Crashes = []target.Crash{{Target: "t1", At: at(-maxResetTime)}}
	}},
	{"failed", "a target read the order before it reset its connections", 1, func(v *View) {
		v.setGatewayAnswer(RequestOrder, 502)
		v.Crashes = []target.Crash{{Target: "t1", At: at(500 * ms)}}
	}},
	{"failed", "a lookup is refused", 0, func(v *View) { v.setGatewayAnswer(RequestLookup, 503) }},
	{"failed", "the target answered with an error", 0, func(v *View) {
		_, r := v.setGatewayAnswer(RequestLookup, 502)
		r.End = target.EndFailed
	}},
	{"refused", "an order that ran is refused", 1, func(v *View) { v.setGatewayAnswer(RequestOrder, 503) }},
	{"refused", "a stream that ran is refused as misdirected", 1, func(v *View) { v.setGatewayAnswer(RequestOnceStream, 421) }},
	{"refused", "an order that did not run is refused", 0, func(v *View) {
		v.setGatewayAnswer(RequestOrder, 429)
		v.Runs = append(v.Runs[:1], v.Runs[2:]...)
	}},
	{"twice", "an order runs twice", 1, func(v *View) { v.Runs = append(v.Runs, v.Runs[1]) }},
	{"twice", "a lookup runs twice", 0, func(v *View) { v.Runs = append(v.Runs, v.Runs[0]) }},
	{"order", "an event is missing", 1, func(v *View) {
		s, _ := v.find(RequestStream)
		s.Body = target.Event(s.ID, 1) + target.Event(s.ID, 3)
	}},
	{"order", "an event comes twice", 1, func(v *View) {
		s, _ := v.find(RequestStream)
		s.Body = target.Event(s.ID, 1) + target.Event(s.ID, 1) + target.Event(s.ID, 2) + target.Event(s.ID, 3)
	}},
	{"order", "the stream ends before the last event", 1, func(v *View) {
		s, _ := v.find(RequestOnceStream)
		s.Body = target.Event(s.ID, 1)
	}},
	{"order", "an event follows the last one", 1, func(v *View) {
		s, _ := v.find(RequestOnceStream)
		s.Body += target.Event(s.ID, 4)
	}},
	{"order", "a stream is cut off inside an event", 0, func(v *View) {
		s, _ := v.truncate(RequestStream)
		s.Body += target.Event(s.ID, 2)[:5]
	}},
	{"order", "a stream has an event of another request and is cut off", 1, func(v *View) {
		s, _ := v.truncate(RequestStream)
		s.Body += target.Event("other", 2)
	}},
	{"mixed", "the answer of another request", 1, func(v *View) {
		s, _ := v.find(RequestOrder)
		s.AnswerID = "other"
	}},
	{"mixed", "the body of another request", 1, func(v *View) {
		s, _ := v.find(RequestLookup)
		s.Body = target.Body("other", s.Path, "other")
	}},
	{"mixed", "a success without the seal of a target", 1, func(v *View) {
		s, _ := v.find(RequestOnceStream)
		s.Sealed = false
	}},
	{"mixed", "bytes arrive before a request", 1, func(v *View) {
		s, _ := v.find(RequestOnceStream)
		s.ExtraBytes = true
	}},
	{"overlap", "a stream is resumed while its first run goes on", 1, func(v *View) {
		s, _ := v.find(RequestStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(500 * ms), Began: at(500 * ms), Ended: at(time.Second)})
	}},
	{"overlap", "a stream is resumed when its first run has almost ended", 0, func(v *View) {
		s, _ := v.find(RequestStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(700 * ms), Began: at(700 * ms), Ended: at(time.Second)})
	}},
	{"overlap", "the first target begins late and works on", 1, func(v *View) {
		s, r := v.find(RequestStream)
		r.Arrived, r.Began = at(600*ms), at(600*ms)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(0), Began: at(800 * ms), Ended: at(1100 * ms)})
	}},
	{"overlap", "the first target stops in time", 0, func(v *View) {
		s, r := v.find(RequestStream)
		r.Arrived, r.Began = at(600*ms), at(600*ms)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(0), Began: at(800 * ms), Ended: at(900 * ms)})
	}},
	{"overlap", "the second target never begins", 0, func(v *View) {
		s, _ := v.find(RequestStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(500 * ms), Ended: at(900 * ms)})
	}},
	{"drain", "a request arrives long after the target was marked as leaving", 1, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.addRequest("late", "t2", at(2100*ms))
	}},
	{"drain", "a request arrives soon after the target was marked as leaving", 0, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.addRequest("late", "t2", at(1900*ms))
	}},
	{"ended", "a gateway process ends unexpectedly", 1, func(v *View) { v.UnexpectedExits[0] = 1 }},
	{"outlived", "a process is killed at the end of its grace period", 1, func(v *View) {
		v.Stops[1] = []Stop{{Killed: true, LastLogLine: stoppedEvent}}
	}},
	{"outlived", "a suspended process is killed", 0, func(v *View) { v.Stops[1] = []Stop{{Killed: true, Paused: true}} }},
	{"outlived", "each process is checked", 2, func(v *View) {
		v.Stops[0] = []Stop{{Killed: true}, {LastLogLine: stoppedEvent}}
		v.Stops[1] = []Stop{{LastLogLine: stoppedEvent}, {Killed: true}}
	}},
	{"unlogged", "a process ends without a log line", 1, func(v *View) { v.Stops[0] = []Stop{{}} }},
	{"unlogged", "the last log line says only that the process is stopping", 1, func(v *View) {
		v.Stops[0] = []Stop{{LastLogLine: `{"level":"info","event":"stopping"}`}}
	}},
	{"unlogged", "the last log line says that the process stopped", 0, func(v *View) {
		v.Stops[0] = []Stop{{LastLogLine: `{"level":"info","host":"host1","event":"stopped","took":3}`}}
	}},
	{"unlogged", "a process is killed", 0, func(v *View) { v.Stops[0] = []Stop{{Killed: true}} }},
	{"leaving", "a request arrives long after the target announced that it leaves", 1, func(v *View) {
		v.Notices = []target.Notice{{ID: string(RequestOrder), Target: "t2", At: at(0)}}
		v.addRequest("late", "t2", at(2100*ms))
	}},
	{"paused", "three requests in a pause", 1, func(v *View) {
		v.Notices = []target.Notice{{ID: string(RequestOrder), Target: "t2", At: at(0), Wait: 3 * time.Second}}
		for _, id := range []string{"a", "b", "c"} {
			v.addRequest(id, "t2", at(time.Second))
		}
	}},
	{"paused", "two requests in a pause, more before and after", 0, func(v *View) {
		v.Notices = []target.Notice{{ID: string(RequestOrder), Target: "t2", At: at(0), Wait: 3 * time.Second}}
		for n, id := range []string{"a", "b", "c", "d"} {
			v.addRequest(id, "t2", at(time.Duration(400+n*900)*ms))
		}
	}},
	{"paused", "the target is listed as a new process during its pause", 0, func(v *View) {
		v.Notices = []target.Notice{{ID: string(RequestOrder), Target: "t2", At: at(0), Wait: 3 * time.Second}}
		v.addColdRequests(4, 600*ms)
	}},
	{"paused", "another target is listed as a new process", 1, func(v *View) {
		v.Notices = []target.Notice{{ID: string(RequestOrder), Target: "t3", At: at(0), Wait: 3 * time.Second}}
		v.addColdRequests(4, 600*ms)
		for n := range v.Arrivals {
			v.Arrivals[n].Target = "t3"
		}
	}},
	{"cold", "nine requests in a second at a cold target", 1, func(v *View) { v.addColdRequests(9, 120*ms) }},
	{"cold", "eight requests in a second at a cold target", 0, func(v *View) { v.addColdRequests(8, 120*ms) }},
	{"cold", "no second has nine requests at a cold target", 0, func(v *View) { v.addColdRequests(20, 125*ms) }},
	{"cold", "a request of nine is meant for another target", 0, func(v *View) {
		v.addColdRequests(9, 120*ms)
		v.Arrivals[len(v.Arrivals)-1].Misdirected = true
	}},
	{"cold", "a request of nine is taken later than in the second", 0, func(v *View) {
		v.addColdRequests(9, 120*ms)
		v.Arrivals[len(v.Arrivals)-1].At = at(1100 * ms)
	}},
	{"cold", "the target of nine requests is warm again", 0, func(v *View) {
		v.addColdRequests(9, 120*ms)
		v.Crashes[0].ServedAt = at(-coldStart + 300*ms)
	}},
	{"cold", "the soak stalled while nine requests arrived", 0, func(v *View) {
		v.addColdRequests(9, 120*ms)
		v.StallSpans = []TimeSpan{{From: at(200 * ms), To: at(500 * ms)}}
	}},
	{"evacuate", "a request arrives late in an evacuation", 1, func(v *View) { v.addEvacuation("t0-0", 5100*ms) }},
	{"evacuate", "a request arrives early in an evacuation", 0, func(v *View) { v.addEvacuation("t0-0", 4900*ms) }},
	{"evacuate", "a request arrives after an evacuation", 0, func(v *View) { v.addEvacuation("t0-0", 7100*ms) }},
	{"evacuate", "a request arrives at another place", 0, func(v *View) { v.addEvacuation("t1-0", 5100*ms) }},
	{"evacuate", "the gateway was suspended during the evacuation", 0, func(v *View) {
		v.addEvacuation("t0-0", 5100*ms)
		v.Outages[0] = []TimeSpan{{From: at(time.Second), To: at(2 * time.Second)}}
	}},
	{"unserved", "no stream runs at another place during an evacuation", 1, func(v *View) { v.addEvacuation("t1-0", 5100*ms) }},
	{"unserved", "a stream runs at another place during an evacuation", 0, func(v *View) {
		v.addEvacuation("t1-0", 5100*ms)
		v.Runs = append(v.Runs, target.Run{Target: "t1-0", Service: operator.ServiceStream, Began: at(time.Second)})
	}},
	{"unserved", "a stream runs at the evacuated place only", 1, func(v *View) {
		v.addEvacuation("t0-0", time.Second)
		v.Runs = append(v.Runs, target.Run{Target: "t0-0", Service: operator.ServiceStream, Began: at(time.Second)})
	}},
	{"evacuate", "the store had lost the row shortly before", 0, func(v *View) {
		v.addEvacuation("t0-0", 5900*ms)
		v.StoreOutages = []TimeSpan{{From: at(-time.Second), To: at(0)}}
	}},
	{"cold", "the store was away while the target started", 0, func(v *View) {
		v.addColdRequests(9, 120*ms)
		v.StoreOutages = []TimeSpan{{From: at(-time.Second), To: at(-500 * ms)}}
	}},
	{"drain", "the store went away before all gateways had read that the target leaves", 0, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.StoreOutages = []TimeSpan{{From: at(time.Second), To: at(2 * time.Second)}}
		v.addRequest("late", "t2", at(5900*ms))
	}},
	{"drain", "the store was away before the target wrote that it leaves again", 1, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.StoreOutages = []TimeSpan{{From: at(time.Second), To: at(2 * time.Second)}}
		v.addRequest("late", "t2", at(6100*ms))
	}},
	{"drain", "the store comes back from a copy in which the target does not leave yet", 1, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.StoreOutages = []TimeSpan{{From: at(2100 * ms), To: at(2200 * ms)}}
		v.addRequest("late", "t2", at(2300*ms))
	}},
	{"drain", "the gateway has started since and the copy is older", 0, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.StoreOutages = []TimeSpan{{From: at(2100 * ms), To: at(2200 * ms)}}
		v.Stops[0] = []Stop{{TimeSpan: TimeSpan{From: at(time.Second), To: at(1500 * ms)}}}
		v.addRequest("late", "t2", at(2300*ms))
	}},
	{"config", "an added route is refused", 1, func(v *View) {
		v.addConfigs(at(-2100*ms), addRoute)
		v.addProbe(addedPath, 404, "")
	}},
	{"config", "a route that was added just now is refused", 0, func(v *View) {
		v.addConfigs(at(-1900*ms), addRoute)
		v.addProbe(addedPath, 404, "")
	}},
	{"config", "an added route runs before its configuration is accepted", 0, func(v *View) {
		v.addConfigs(at(5*ms), addRoute)
		v.addProbe(addedPath, 200, operator.ServicePlain)
	}},
	{"config", "a route runs that no configuration had", 1, func(v *View) {
		v.addConfigs(at(-2100*ms), addRoute)
		v.addProbe("/added3/x", 200, operator.ServicePlain)
	}},
	{"config", "an added route gets 503", 0, func(v *View) {
		v.addConfigs(at(-2100*ms), addRoute)
		v.addProbe(addedPath, 503, "")
	}},
	{"config", "a new key is refused", 1, func(v *View) {
		v.addConfigs(at(-2100*ms), revokeKey)
		v.addProbe("/lookup/x", 401, "").Key = "other"
	}},
	{"config", "a revoked key is refused", 0, func(v *View) {
		v.addConfigs(at(-2100*ms), revokeKey)
		v.addProbe("/lookup/x", 401, "")
	}},
	{"config", "a moved route runs at the old service", 1, func(v *View) {
		v.addConfigs(at(-2100*ms), func(d *operator.Config) { d.Routes[0].Service = operator.ServiceMoved })
		v.addProbe("/lookup/x", 200, operator.ServicePlain)
	}},
	{"config", "the store is back for 2.9 s", 0, func(v *View) {
		v.addConfigs(at(-10*time.Second), addRoute)
		v.addProbe(addedPath, 404, "")
		v.StoreOutages = []TimeSpan{{From: at(-4 * time.Second), To: at(-2900 * ms)}}
	}},
	{"config", "the store is back for 3.1 s", 1, func(v *View) {
		v.addConfigs(at(-10*time.Second), addRoute)
		v.addProbe(addedPath, 404, "")
		v.StoreOutages = []TimeSpan{{From: at(-4 * time.Second), To: at(-3100 * ms)}}
	}},
	{"config", "the gateway was stopped 2 s before", 0, func(v *View) {
		v.addConfigs(at(-10*time.Second), addRoute)
		v.addProbe(addedPath, 404, "")
		v.Stops[0] = []Stop{{TimeSpan: TimeSpan{From: at(-4 * time.Second), To: at(-2 * time.Second)}}}
	}},
	{"revoked", "a key runs 5.1 s after it was revoked, store and gateway out of contact", 1, func(v *View) {
		v.addConfigs(at(-5100*ms), revokeKey)
		v.addProbe("/lookup/x", 200, operator.ServicePlain)
		v.StoreOutages = []TimeSpan{{From: at(-4 * time.Second), To: at(0)}}
		v.Outages[0] = []TimeSpan{{From: at(-4 * time.Second)}}
	}},
	{"revoked", "a key runs 4.9 s after it was revoked", 0, func(v *View) {
		v.addConfigs(at(-4900*ms), revokeKey)
		v.addProbe("/lookup/x", 200, operator.ServicePlain)
	}},
	{"revoked", "a revoked key is refused", 0, func(v *View) {
		v.addConfigs(at(-5100*ms), revokeKey)
		v.addProbe("/lookup/x", 401, "")
	}},
	{"unserved", "the other place is evacuated too", 0, func(v *View) {
		v.addEvacuation("t1-0", time.Second)
		v.Evacuations = append(v.Evacuations, Evacuation{TimeSpan{From: at(6 * time.Second), To: at(9 * time.Second)}, placeName(1)})
	}},
}

// Each rule detects violations that the test creates, and none in a view without violations.
func TestRulesDetectViolations(t *testing.T) {
	detected := map[string]bool{}
	for _, c := range ruleCases {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			v := newValidView()
			c.change(v)
			v.buildIndex()
			for _, rule := range Rules {
				if rule.Name == c.rule {
					require.Len(t, rule.Violations(v), c.broken)
				}
			}
			detected[c.rule] = detected[c.rule] || c.broken > 0
		})
	}
	for _, rule := range Rules {
		require.True(t, detected[rule.Name], rule.Name)
		v := newValidView()
		v.buildIndex()
		require.Empty(t, rule.Violations(v), rule.Name)
	}
}
