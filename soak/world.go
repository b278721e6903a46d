package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	reuseTime  = 2100 * ms // before the address of a target is used again
	resumeTime = 700 * ms  // in which a stream that was broken off goes on at another target
	poll       = 20 * ms
	stallTime  = 200 * ms // of the process, from which requests of that moment are not judged
)

// fleet is all that a soak starts.
type fleet struct {
	notes

	plan     Plan
	store    *standin.Platform
	ledger   *target.Ledger
	targets  []*target.Target
	gateways []*gateway
	progress io.Writer
	cancel   context.CancelFunc
	ends     []<-chan struct{}

	docMu sync.Mutex
	doc   operator.Document
	odd   int
	moves []bool // of targets that leave now

	stalls []Span // of the soak's own process
}

// newFleet returns the fleet of a plan.
func newFleet(p Plan, progress io.Writer) *fleet {
	return &fleet{
		plan: p, ledger: &target.Ledger{}, progress: progress, doc: operator.First(), moves: make([]bool, len(p.Targets)),
	}
}

// standIns starts the stand-ins. They outlast the context, until stop.
func (f *fleet) standIns(ctx context.Context, path, dir string) error {
	ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = standin.New(standin.NewConfig(), l)
	f.ends = append(f.ends, f.store.Run(ctx))
	if err := operator.Publish(f.store, f.doc); err != nil {
		return err
	}
	for n, t := range f.plan.Targets {
		tl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		config := target.Config{
			ID: fmt.Sprintf("t%d-0", n), Service: t.service, Slots: t.slots, Queue: 4, Step: t.step, Streams: t.service == operator.ServiceStream,
		}
		f.targets = append(f.targets, target.New(config, tl, f.ledger))
		f.ends = append(f.ends, f.targets[n].Run(ctx))
		if err := f.list(n, operator.StateReady); err != nil {
			return err
		}
	}
	f.gateways = newGateways(f.plan.Gateways, path, dir, l.Addr().(*net.TCPAddr).AddrPort())
	return nil
}

// list writes the entry of a target.
func (f *fleet) list(n int, state string) error {
	t := f.targets[n]
	return operator.List(f.store, t.ID(), operator.Entry{
		Service: f.plan.Targets[n].service, Address: t.Address().String(), Place: fmt.Sprintf("place%d", n%2+1),
		Slots: f.plan.Targets[n].slots, State: state, Born: time.Now().UnixMilli(),
	})
}

// begin starts the gateways and waits until all are ready.
func (f *fleet) begin(ctx context.Context) error {
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: askEvery}
	for end := time.Now().Add(startLimit); ; {
		ready := true
		for _, g := range f.gateways {
			g.ask(client)
			ready = ready && g.inRotation()
		}
		if ready {
			return nil
		}
		if time.Now().After(end) {
			return ErrStart
		}
		if !sleep(ctx, poll) {
			return ctx.Err()
		}
	}
}

// stop ends all that was started.
func (f *fleet) stop() {
	var open sync.WaitGroup
	for _, g := range f.gateways {
		if g.cmd != nil {
			open.Go(func() { g.end() })
		}
	}
	open.Wait()
	f.cancel()
	for _, end := range f.ends {
		<-end
	}
}

// view returns what was seen.
func (f *fleet) view() *View {
	v := &View{
		Seen: f.seen, Records: f.ledger.Records(), Away: map[int][]Span{}, Stops: map[int][]Stop{}, Ended: map[int]int{},
		Least: map[Kind]time.Duration{
			KindLookup: operator.LeastPlain * ms, KindOrder: operator.LeastPlain * ms,
			KindStream: operator.LeastStream * ms, KindOnce: operator.LeastStream * ms,
		},
	}
	for n, g := range f.gateways {
		v.Away[n], v.Stops[n], v.Ended[n] = slices.Concat(g.away, f.stalls), g.planned(), g.ended
	}
	v.Stalls = len(f.stalls)
	return v
}

// watch notes when the process itself stood still, with all targets and callers in it, until
// the context ends. It reports its end on the channel.
func (f *fleet) watch(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for last := time.Now(); sleep(ctx, poll); {
			now := time.Now()
			if now.Sub(last) > stallTime {
				f.stalls = append(f.stalls, Span{From: last, To: now})
			}
			last = now
		}
	}()
	return done
}

// idle returns the time after which an idle connection is closed, as callers know it.
func (f *fleet) idle() time.Duration {
	f.docMu.Lock()
	defer f.docMu.Unlock()
	return time.Duration(f.doc.Limits.Idle) * ms
}

// key returns the newest key of a team.
func (f *fleet) key(team int) string {
	f.docMu.Lock()
	defer f.docMu.Unlock()
	keys := f.doc.Teams[team].Keys
	return keys[len(keys)-1]
}

// configure publishes a changed configuration.
func (f *fleet) configure(draw uint64) error {
	f.docMu.Lock()
	defer f.docMu.Unlock()
	f.doc = f.doc.Change(draw)
	return operator.Publish(f.store, f.doc)
}

// strike plays a fault.
func (f *fleet) strike(ctx context.Context, e Event) {
	var err error
	switch e.Fault {
	case FaultPause:
		f.targets[e.Who].Arm(target.Fault{Kind: target.KindPause, Place: e.Place, Length: e.Length})
	case FaultBreak:
		f.targets[e.Who].Arm(target.Fault{Kind: target.KindBreak, Place: e.Place})
	case FaultStill:
		f.targets[e.Who].Still(e.Length)
	case FaultRepeat:
		f.targets[e.Who].Arm(target.Fault{Kind: target.KindRepeat, Shape: e.Shape})
	case FaultResume:
		f.targets[e.Who].Arm(target.Fault{Kind: target.KindBreak, Place: target.PlaceInEvent})
		for n := range engines {
			if n != e.Who {
				f.targets[n].Arm(target.Fault{Kind: target.KindResume, Shape: e.Shape, Until: time.Now().Add(resumeTime)})
			}
		}
	case FaultFull:
		f.targets[e.Who].Fill(e.Length, 0)
	case FaultRetry:
		f.targets[e.Who].Fill(e.Length, e.Length)
	case FaultEntries:
		f.docMu.Lock()
		f.odd++
		name := fmt.Sprint("odd", f.odd)
		f.docMu.Unlock()
		operator.ListRaw(f.store, name, operator.Odd(e.Draw))
	case FaultConfig:
		err = f.configure(e.Draw)
	case FaultLeave, FaultLeaving:
		err = f.leave(ctx, e)
	case FaultStop:
		f.gateways[e.Who].pause(e.Length)
	case FaultTerm:
		err = f.gateways[e.Who].restart()
	case FaultRoll:
		err = f.roll(ctx, e)
	case FaultHangup:
		err = f.gateways[e.Who].hangup(e.Draw)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintf(f.progress, "%v: %v\n", e, err)
	}
}

// leave has a target leave, by the list or by its answers, and come back with a new identity.
func (f *fleet) leave(ctx context.Context, e Event) error {
	f.docMu.Lock()
	busy := f.moves[e.Who]
	f.moves[e.Who] = true
	f.docMu.Unlock()
	if busy {
		return nil
	}
	t := f.targets[e.Who]
	old := t.ID()
	if e.Fault == FaultLeaving {
		t.SayLeaving()
	} else {
		if err := f.list(e.Who, operator.StateLeaving); err != nil {
			return err
		}
		f.ledger.Leave(old, time.Now())
	}
	sleep(ctx, e.Length)
	operator.Unlist(f.store, old)
	sleep(ctx, reuseTime)
	t.Restart(fmt.Sprintf("t%d-%d", e.Who, e.At.Milliseconds()))
	f.docMu.Lock()
	f.moves[e.Who] = false
	f.docMu.Unlock()
	return f.list(e.Who, operator.StateReady)
}
