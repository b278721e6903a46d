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

	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/standin/operator"
	standin "github.com/cassiachute/cassiachute/standin/platform"
	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	addressReuseDelay = 2100 * ms // after a target left the list, before its address is used again
	resumeErrorWindow = 700 * ms  // within which a stream that was broken off is resumed at another engine
	pollInterval      = 20 * ms
	stallThreshold    = 200 * ms // a gap of the soak process longer than this is a stall, and requests at that moment are excused
)

// fleet is everything that a soak starts: the stand-ins, gateways and callers.
type fleet struct {
	requestLog

	plan     Plan
	store    *standin.Platform
	writer   *operator.Writer // for the operator and the targets
	ledger   *target.Ledger
	targets  []*target.Target
	gateways []*gateway
	progress io.Writer
	cancel   context.CancelFunc
	done     []<-chan struct{} // closed when the stand-ins have ended

	configMu    sync.Mutex
	config      operator.Config
	badEntries  int             // number of invalid entries listed so far
	unavailable []bool          // by target: it is leaving or starting again, and does not take requests as usual yet
	evacuated   map[string]bool // by place: its evacuation has not ended

	evacuations  []Evacuation
	publications []Publication
	storeOutages []TimeSpan

	publishMu sync.Mutex // held while a configuration is published
	restoreMu sync.Mutex // held during a restore of the store

	stalls []TimeSpan // of the soak process itself
}

// newFleet returns the fleet of a plan.
func newFleet(p Plan, progress io.Writer) *fleet {
	f := &fleet{
		plan: p, ledger: &target.Ledger{}, progress: progress, config: operator.FirstConfig(), unavailable: make([]bool, len(p.Targets)),
		evacuated: map[string]bool{},
	}
	if p.faultCounts()[FaultColdRestart] > 0 {
		for n := range f.config.Services {
			f.config.Services[n].ColdStart, f.config.Services[n].ColdRate = coldStart.Seconds(), coldRate
		}
	}
	return f
}

// startStandIns starts the stand-ins of the store and the targets, and creates the gateways. The stand-ins
// run until stop is called, even if the context ends earlier.
func (f *fleet) startStandIns(ctx context.Context, path, dir string) error {
	ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = standin.New(standin.NewConfig(), l)
	f.writer = operator.NewWriter(f.store)
	f.done = append(f.done, f.store.Run(ctx))
	if err := f.publish(func(d operator.Config) operator.Config { return d }); err != nil {
		return err
	}
	for n, t := range f.plan.Targets {
		tl, err := net.Listen("tcp", loopback.Address().String()) // a target that starts again finds its port free
		if err != nil {
			return err
		}
		config := target.Config{
			ID: fmt.Sprintf("t%d-0", n), Service: t.service, Slots: t.slots, Queue: 4, Step: t.stepTime, Streams: t.service == operator.ServiceStream,
		}
		f.targets = append(f.targets, target.New(config, tl, f.ledger))
		f.done = append(f.done, f.targets[n].Run(ctx))
		if err := f.listTarget(n, operator.StateReady, time.Now(), 0); err != nil {
			return err
		}
	}
	f.gateways = newGateways(f.plan.Gateways, path, dir, l.Addr().(*net.TCPAddr).AddrPort())
	return nil
}

// listTarget writes the entry of a target, which will be cold for the given time, to the list.
func (f *fleet) listTarget(n int, state string, startedAt time.Time, cold time.Duration) error {
	t := f.targets[n]
	return operator.PutEntry(f.writer, t.ID(), operator.Entry{
		Service: f.plan.Targets[n].service, Address: t.Address().String(), Place: placeName(n),
		Slots: f.plan.Targets[n].slots, State: state, StartedAt: startedAt.UnixMilli(), Cold: cold.Milliseconds(),
	})
}

// startGateways starts the gateways and waits until all are ready.
func (f *fleet) startGateways(ctx context.Context) error {
	for _, g := range f.gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: readinessInterval}
	for deadline := time.Now().Add(startTimeout); ; {
		ready := true
		for _, g := range f.gateways {
			g.checkReadiness(client)
			ready = ready && g.inRotation()
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return ErrNotReady
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// stop ends the gateways and stand-ins.
func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		if g.cmd != nil {
			wg.Go(func() { g.stop() })
		}
	}
	wg.Wait()
	f.cancel()
	for _, end := range f.done {
		<-end
	}
}

// view returns what the callers and targets observed. It must be called after stop.
func (f *fleet) view() *View {
	v := &View{
		Requests: f.requests, Records: f.ledger.Records(), Evacuations: f.evacuations, Publications: f.publications, StoreOutages: f.storeOutages, Outages: map[int][]TimeSpan{}, Stops: map[int][]Stop{}, UnexpectedExits: map[int]int{},
		MinTimeouts: map[RequestKind]time.Duration{
			RequestLookup: operator.MinPlainTimeout * ms, RequestOrder: operator.MinPlainTimeout * ms,
			RequestStream: operator.MinStreamTimeout * ms, RequestOnceStream: operator.MinStreamTimeout * ms,
		},
	}
	for n, g := range f.gateways {
		v.Outages[n], v.Stops[n], v.UnexpectedExits[n] = slices.Concat(g.outages, f.stalls), g.plannedStops(), g.unexpectedExits
	}
	v.StallSpans = f.stalls
	return v
}

// watchStalls records when the soak process itself, with all targets and callers in it, did not run, until
// the context ends. It closes the returned channel when it has finished.
func (f *fleet) watchStalls(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for last := time.Now(); sleep(ctx, pollInterval); {
			now := time.Now()
			if now.Sub(last) > stallThreshold {
				f.stalls = append(f.stalls, TimeSpan{From: last, To: now})
			}
			last = now
		}
	}()
	return done
}

// idleTimeout returns the idle timeout of the current configuration.
func (f *fleet) idleTimeout() time.Duration {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	return time.Duration(f.config.Limits.IdleTimeout) * ms
}

// newestKey returns the newest API key of a team.
func (f *fleet) newestKey(team int) string {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	keys := f.config.Teams[team].Keys
	return keys[len(keys)-1]
}

// changeConfig publishes a changed configuration.
func (f *fleet) changeConfig(seed uint64) error {
	return f.publish(func(d operator.Config) operator.Config { return d.Next(seed) })
}

// answerFaults are the faults that a target applies to one of its next answers.
var answerFaults = map[FaultKind]target.Kind{
	FaultAnswerPause: target.KindPause, FaultBrokenAnswer: target.KindBreak, FaultRepeatedAnswer: target.KindRepeat,
	FaultUnframedAnswer: target.KindUnframed, FaultSpoiledEvent: target.KindSpoil,
}

// inject injects a fault.
func (f *fleet) inject(ctx context.Context, e ScheduledFault) {
	var err error
	switch e.Kind {
	case FaultAnswerPause, FaultBrokenAnswer, FaultRepeatedAnswer, FaultUnframedAnswer, FaultSpoiledEvent:
		f.targets[e.Index].Arm(target.Fault{Kind: answerFaults[e.Kind], Position: e.Position, Shape: e.Shape, Length: e.Duration})
	case FaultTargetStall:
		f.targets[e.Index].Stall(e.Duration)
	case FaultResumeError:
		f.targets[e.Index].Arm(target.Fault{Kind: target.KindBreak, Position: target.PositionInEvent})
		for n := range engineCount {
			if n != e.Index {
				f.targets[n].Arm(target.Fault{Kind: target.KindResume, Shape: e.Shape, Until: time.Now().Add(resumeErrorWindow)})
			}
		}
	case FaultTargetFull:
		f.targets[e.Index].RejectRequests(e.Duration, 0)
	case FaultRetryAfter:
		f.targets[e.Index].RejectRequests(e.Duration, e.Duration)
	case FaultBadEntry:
		f.configMu.Lock()
		f.badEntries++
		name := fmt.Sprint("odd", f.badEntries)
		f.configMu.Unlock()
		operator.PutRawEntry(f.writer, name, operator.InvalidEntry(e.Seed))
	case FaultConfigChange:
		err = f.changeConfig(e.Seed)
	case FaultTargetDrain, FaultLeavingNotice:
		err = f.replaceTarget(ctx, e)
	case FaultColdRestart:
		err = f.restartCold(ctx, e)
	case FaultEvacuation:
		f.evacuate(ctx, e)
	case FaultStoreRestore:
		err = f.restoreStore(ctx, e)
	case FaultGatewayPause:
		f.gateways[e.Index].pause(e.Duration)
	case FaultGatewayRestart:
		err = f.gateways[e.Index].restart()
	case FaultRollingRestart:
		err = f.rollingRestart(ctx, e)
	case FaultSettingsReload:
		err = f.gateways[e.Index].reloadSettings(e.Seed)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintf(f.progress, "%v: %v\n", e, err)
	}
}

// replaceTarget makes a target leave, announced in the list or in its answers, and come back with a new
// identity. It does nothing if the target is already unavailable.
func (f *fleet) replaceTarget(ctx context.Context, e ScheduledFault) error {
	if !f.setUnavailable(e.Index, true) {
		return nil
	}
	t := f.targets[e.Index]
	oldID := t.ID()
	if e.Kind == FaultLeavingNotice {
		t.AnnounceLeaving()
	} else {
		if err := f.listTarget(e.Index, operator.StateLeaving, time.Now(), 0); err != nil {
			return err
		}
		f.ledger.RecordLeaving(oldID, time.Now())
	}
	sleep(ctx, e.Duration)
	operator.DeleteEntry(f.writer, oldID)
	sleep(ctx, addressReuseDelay)
	t.Restart(fmt.Sprintf("t%d-%d", e.Index, e.At.Milliseconds()))
	f.setUnavailable(e.Index, false)
	return f.listTarget(e.Index, operator.StateReady, time.Now(), 0)
}

// setUnavailable sets whether a target is leaving or starting again. It returns false if that was set before.
func (f *fleet) setUnavailable(index int, unavailable bool) bool {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	changed := f.unavailable[index] != unavailable
	f.unavailable[index] = unavailable
	return changed
}
