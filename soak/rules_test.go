package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/target"
)

// began is the start of the test's time.
var began = time.Unix(1000, 0)

func at(offset time.Duration) time.Time { return began.Add(offset) }

// sound returns what is seen of four requests that are served as they should be.
func sound() *View {
	v := &View{Away: map[int][]Span{}, Stops: map[int][]Stop{}, Ended: map[int]int{}, Least: map[Kind]time.Duration{}}
	v.Leaving = map[string]time.Time{}
	for _, kind := range []Kind{KindLookup, KindOrder, KindStream, KindOnce} {
		s := Seen{
			ID: string(kind), Kind: kind, Path: "/" + string(kind) + "/x", Limit: 5 * time.Second, Began: at(0), Sent: at(0), Done: at(time.Second),
			Status: 200, AnswerID: string(kind), Sealed: true, Whole: true,
		}
		s.Body = target.Body(s.ID, s.Path, s.ID)
		if kind == KindStream || kind == KindOnce {
			s.Events, s.Body = 3, target.Event(s.ID, 1)+target.Event(s.ID, 2)+target.Event(s.ID, 3)
		}
		v.Seen = append(v.Seen, s)
		v.Arrivals = append(v.Arrivals, target.Arrival{ID: s.ID, Target: "t1", At: at(10 * ms)})
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t1", Arrived: at(10 * ms), Began: at(10 * ms), Ended: at(time.Second), End: target.EndDone})
	}
	return v
}

// request returns a request of a kind and its run.
func (v *View) request(kind Kind) (*Seen, *target.Run) {
	for n := range v.Seen {
		if v.Seen[n].Kind == kind {
			return &v.Seen[n], &v.Runs[n]
		}
	}
	return nil, nil
}

// cut cuts the answer of a request.
func (v *View) cut(kind Kind) (*Seen, *target.Run) {
	s, r := v.request(kind)
	s.Whole, r.End = false, target.EndDropped
	if s.Events > 0 {
		s.Body = target.Event(s.ID, 1)
	}
	return s, r
}

// answer has a request answered with a status of the gateway's own.
func (v *View) answer(kind Kind, status int) (*Seen, *target.Run) {
	s, r := v.request(kind)
	s.Status, s.Sealed, s.Body = status, false, "text"
	return s, r
}

// atGrace has a request last until the end of the grace of its gateway.
func (v *View) atGrace(s *Seen, r *target.Run) (*Seen, *target.Run) {
	v.Stops[0] = []Stop{{Span: Span{From: at(-time.Second), To: at(grace - time.Second)}, Last: lastEvent}}
	s.Limit, s.Done, r.Ended = 20*time.Second, at(6500*ms), at(6500*ms)
	return s, r
}

// late adds an arrival of a request of a gateway.
func (v *View) late(id, name string, at time.Time) {
	v.Seen = append(v.Seen, Seen{
		ID: id, Kind: KindOrder, Began: at, Sent: at, Done: at, Status: 200, Sealed: true, Whole: true, Body: target.Body(id, "", id),
	})
	v.Arrivals = append(v.Arrivals, target.Arrival{ID: id, Target: name, At: at})
}

// ruleCases change what is seen so that a rule is broken, or hardly not. The first word is the
// rule.
var ruleCases = []struct {
	rule   string
	name   string
	broken int
	change func(v *View)
}{
	{"lost", "a stream is cut", 1, func(v *View) { v.cut(KindStream) }},
	{"lost", "an order has no answer", 1, func(v *View) {
		s, _ := v.cut(KindOrder)
		s.Status, s.Body = 0, ""
	}},
	{"lost", "a request that never arrived is closed late", 1, func(v *View) {
		v.cut(KindLookup)
		v.Arrivals, v.Runs = v.Arrivals[1:], v.Runs[1:]
	}},
	{"lost", "a request crosses a close", 0, func(v *View) {
		s, _ := v.cut(KindLookup)
		s.Status, s.Done = 0, at(100*ms)
		v.Arrivals, v.Runs = v.Arrivals[1:], v.Runs[1:]
	}},
	{"lost", "the target broke off", 0, func(v *View) {
		_, r := v.cut(KindStream)
		r.End = target.EndBroke
	}},
	{"lost", "the time is over", 0, func(v *View) {
		s, _ := v.cut(KindStream)
		s.Done = at(s.Limit)
	}},
	{"lost", "the time of the route is over", 0, func(v *View) {
		v.cut(KindStream)
		v.Least[KindStream] = time.Second
	}},
	{"lost", "the gateway stood still", 0, func(v *View) {
		v.cut(KindStream)
		v.Away[0] = []Span{{From: at(500 * ms)}}
	}},
	{"lost", "another gateway stood still", 1, func(v *View) {
		v.cut(KindStream)
		v.Away[1] = []Span{{From: at(500 * ms)}}
	}},
	{"lost", "the gateway is told to stop", 1, func(v *View) {
		v.cut(KindStream)
		v.Stops[0] = []Stop{{Span: Span{From: at(500 * ms)}}}
	}},
	{"lost", "a stream runs at the end of a grace", 0, func(v *View) { v.atGrace(v.cut(KindStream)) }},
	{"lost", "its target had ended before the last sixth of the grace", 1, func(v *View) {
		_, r := v.atGrace(v.cut(KindStream))
		r.Ended = at(-time.Second + lastPart)
	}},
	{"lost", "its target was at work just in the last sixth", 0, func(v *View) {
		_, r := v.atGrace(v.cut(KindStream))
		r.Ended = at(-time.Second + lastPart + ms)
	}},
	{"lost", "its target began after the grace", 1, func(v *View) {
		s, r := v.atGrace(v.cut(KindStream))
		r.Began = at(-time.Second + grace)
		s.Done, r.Ended = r.Began.Add(ms), r.Began.Add(ms)
	}},
	{"lost", "its target had not begun", 1, func(v *View) {
		_, r := v.atGrace(v.cut(KindStream))
		r.Began = time.Time{}
	}},
	{"lost", "a stream is cut before the last sixth while its target goes on", 1, func(v *View) {
		s, _ := v.atGrace(v.cut(KindStream))
		s.Done = at(-time.Second + lastPart)
	}},
	{"lost", "a stream was sent late in a grace", 1, func(v *View) {
		v.atGrace(v.cut(KindStream))
		v.Stops[0][0].From = at(-lateTake - ms)
	}},
	{"lost", "a stream was sent just early enough", 0, func(v *View) {
		v.atGrace(v.cut(KindStream))
		v.Stops[0][0].From = at(-lateTake)
	}},
	{"lost", "another gateway was told to stop", 1, func(v *View) {
		v.atGrace(v.cut(KindStream))
		v.Stops[0], v.Stops[1] = nil, v.Stops[0]
	}},
	{"lost", "an order has no answer at the end of a grace", 1, func(v *View) { v.atGrace(v.cut(KindOrder)) }},
	{"lost", "an order is answered at the end of a grace", 0, func(v *View) { v.atGrace(v.answer(KindOrder, 504)) }},
	{"failed", "an order is answered at the end of a grace", 0, func(v *View) { v.atGrace(v.answer(KindOrder, 504)) }},
	{"failed", "an order is answered early in a grace", 1, func(v *View) {
		s, _ := v.atGrace(v.answer(KindOrder, 504))
		s.Done = at(time.Second)
	}},
	{"failed", "a lookup fails", 1, func(v *View) { v.answer(KindLookup, 502) }},
	{"failed", "a lookup is refused", 0, func(v *View) { v.answer(KindLookup, 503) }},
	{"failed", "the target answered with an error", 0, func(v *View) {
		_, r := v.answer(KindLookup, 502)
		r.End = target.EndFailed
	}},
	{"refused", "an order that ran is refused", 1, func(v *View) { v.answer(KindOrder, 503) }},
	{"refused", "a stream that ran is refused as misdirected", 1, func(v *View) { v.answer(KindOnce, 421) }},
	{"refused", "an order that did not run is refused", 0, func(v *View) {
		v.answer(KindOrder, 429)
		v.Runs = append(v.Runs[:1], v.Runs[2:]...)
	}},
	{"twice", "an order runs twice", 1, func(v *View) { v.Runs = append(v.Runs, v.Runs[1]) }},
	{"twice", "a lookup runs twice", 0, func(v *View) { v.Runs = append(v.Runs, v.Runs[0]) }},
	{"order", "an event is missing", 1, func(v *View) {
		s, _ := v.request(KindStream)
		s.Body = target.Event(s.ID, 1) + target.Event(s.ID, 3)
	}},
	{"order", "an event comes twice", 1, func(v *View) {
		s, _ := v.request(KindStream)
		s.Body = target.Event(s.ID, 1) + target.Event(s.ID, 1) + target.Event(s.ID, 2) + target.Event(s.ID, 3)
	}},
	{"order", "an end before the last event", 1, func(v *View) {
		s, _ := v.request(KindOnce)
		s.Body = target.Event(s.ID, 1)
	}},
	{"order", "an event after the last", 1, func(v *View) {
		s, _ := v.request(KindOnce)
		s.Body += target.Event(s.ID, 4)
	}},
	{"order", "a cut inside an event", 0, func(v *View) {
		s, _ := v.cut(KindStream)
		s.Body += target.Event(s.ID, 2)[:5]
	}},
	{"order", "an event of another request before a cut", 1, func(v *View) {
		s, _ := v.cut(KindStream)
		s.Body += target.Event("other", 2)
	}},
	{"mixed", "the answer of another request", 1, func(v *View) {
		s, _ := v.request(KindOrder)
		s.AnswerID = "other"
	}},
	{"mixed", "the body of another request", 1, func(v *View) {
		s, _ := v.request(KindLookup)
		s.Body = target.Body("other", s.Path, "other")
	}},
	{"mixed", "a success of no target", 1, func(v *View) {
		s, _ := v.request(KindOnce)
		s.Sealed = false
	}},
	{"mixed", "bytes before a request", 1, func(v *View) {
		s, _ := v.request(KindOnce)
		s.Extra = true
	}},
	{"overlap", "a stream goes on while it runs", 1, func(v *View) {
		s, _ := v.request(KindStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(500 * ms), Began: at(500 * ms), Ended: at(time.Second)})
	}},
	{"overlap", "a stream goes on after its run", 0, func(v *View) {
		s, _ := v.request(KindStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(700 * ms), Began: at(700 * ms), Ended: at(time.Second)})
	}},
	{"overlap", "the target before begins late and works on", 1, func(v *View) {
		s, r := v.request(KindStream)
		r.Arrived, r.Began = at(600*ms), at(600*ms)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(0), Began: at(800 * ms), Ended: at(1100 * ms)})
	}},
	{"overlap", "the target before is told in time", 0, func(v *View) {
		s, r := v.request(KindStream)
		r.Arrived, r.Began = at(600*ms), at(600*ms)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(0), Began: at(800 * ms), Ended: at(900 * ms)})
	}},
	{"overlap", "the second target never begins", 0, func(v *View) {
		s, _ := v.request(KindStream)
		v.Runs = append(v.Runs, target.Run{ID: s.ID, Target: "t2", Arrived: at(500 * ms), Ended: at(900 * ms)})
	}},
	{"drain", "a request long after the target was leaving", 1, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.late("late", "t2", at(2100*ms))
	}},
	{"drain", "a request soon after the target was leaving", 0, func(v *View) {
		v.Leaving["t2"] = at(0)
		v.late("late", "t2", at(1900*ms))
	}},
	{"ended", "a gateway ends by itself", 1, func(v *View) { v.Ended[0] = 1 }},
	{"outlived", "a process is killed at the end of its grace", 1, func(v *View) {
		v.Stops[1] = []Stop{{Killed: true, Last: lastEvent}}
	}},
	{"outlived", "a process is killed that stood still", 0, func(v *View) { v.Stops[1] = []Stop{{Killed: true, Still: true}} }},
	{"outlived", "each process counts", 2, func(v *View) {
		v.Stops[0] = []Stop{{Killed: true}, {Last: lastEvent}}
		v.Stops[1] = []Stop{{Last: lastEvent}, {Killed: true}}
	}},
	{"unlogged", "a process ends without a word", 1, func(v *View) { v.Stops[0] = []Stop{{}} }},
	{"unlogged", "a process ends while it stops", 1, func(v *View) {
		v.Stops[0] = []Stop{{Last: `{"level":"info","event":"stopping"}`}}
	}},
	{"unlogged", "a process says that it ended", 0, func(v *View) {
		v.Stops[0] = []Stop{{Last: `{"level":"info","host":"host1","event":"stopped","took":3}`}}
	}},
	{"unlogged", "a process that is killed", 0, func(v *View) { v.Stops[0] = []Stop{{Killed: true}} }},
	{"leaving", "a request long after an answer that said so", 1, func(v *View) {
		v.Said = []target.Said{{ID: string(KindOrder), Target: "t2", At: at(0)}}
		v.late("late", "t2", at(2100*ms))
	}},
	{"paused", "three requests in a pause", 1, func(v *View) {
		v.Said = []target.Said{{ID: string(KindOrder), Target: "t2", At: at(0), Wait: 3 * time.Second}}
		for _, id := range []string{"a", "b", "c"} {
			v.late(id, "t2", at(time.Second))
		}
	}},
	{"paused", "two requests in a pause, more before and after", 0, func(v *View) {
		v.Said = []target.Said{{ID: string(KindOrder), Target: "t2", At: at(0), Wait: 3 * time.Second}}
		for n, id := range []string{"a", "b", "c", "d"} {
			v.late(id, "t2", at(time.Duration(400+n*900)*ms))
		}
	}},
}

// Each rule is broken by a deliberate fault and by nothing else.
func TestRulesBite(t *testing.T) {
	bitten := map[string]bool{}
	for _, c := range ruleCases {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			v := sound()
			c.change(v)
			v.index()
			for _, rule := range Rules {
				if rule.Name == c.rule {
					require.Len(t, rule.Broken(v), c.broken)
				}
			}
			bitten[c.rule] = bitten[c.rule] || c.broken > 0
		})
	}
	for _, rule := range Rules {
		require.True(t, bitten[rule.Name], rule.Name)
		v := sound()
		v.index()
		require.Empty(t, rule.Broken(v), rule.Name)
	}
}
