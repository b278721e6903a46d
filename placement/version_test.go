package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/route"
)

// setVersions sets the software versions of the targets on a board, in their order.
func setVersions(b *placement.Board, targets []route.Target, versions ...string) {
	for i := range targets {
		targets[i].Version = versions[i]
	}
	b.SetTargets(targets)
}

// boundRequest returns a request that is bound to a software version.
func boundRequest(service, version string) *placement.Request {
	request := smallRequest(service)
	request.FixVersion(version)
	return request
}

// TestBoundRequestStaysAtItsVersion guards against streams that go on at another software version because all targets of
// theirs are full, cold, leaving or none. The empty version is one of its own.
func TestBoundRequestStaysAtItsVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, service := range []string{"model", "plain"} {
		for _, c := range []struct {
			version string
			want    []string
			reason  placement.Reason // once its targets have no more room
		}{
			{"1", []string{"a", "b"}, placement.ReasonFull},
			{"2", []string{"c"}, placement.ReasonFull},
			{"", []string{"d"}, placement.ReasonFull},
			{"3", nil, placement.ReasonNoTarget},
			{"left", nil, placement.ReasonNoTarget},
		} {
			b, targets := newBoardWithTargets(service, "a", "b", "c", "d", "e")
			targets[4].Leaving = true
			setVersions(b, targets, "1", "1", "2", "", "left")
			var used []string
			choice := placement.Choice{}
			for range 100 {
				request := boundRequest(service, c.version)
				if choice = b.Choose(now, request); choice.Target == "" {
					break
				}
				b.RecordSent(now, request, &choice)
				used = append(used, choice.Target)
			}
			require.Subset(t, c.want, used, "%s %q", service, c.version)
			require.Subset(t, used, c.want, "%s %q", service, c.version)
			require.Equal(t, c.reason, choice.Reason, "%s %q", service, c.version)
			require.NotEmpty(t, b.Choose(now, smallRequest(service)).Target, "the other targets have room")
		}
	}
}

// TestBoundRequestWaitsForItsColdTarget guards against streams that go to another version while the only target of theirs
// is cold and has got what it can take.
func TestBoundRequestWaitsForItsColdTarget(t *testing.T) {
	f := newColdFleet("a", "b")
	f.restart(0)
	setVersions(f.board, f.targets, "1", "2")
	sent := 0
	for range 2 * testColdRate {
		request := boundRequest("model", "1")
		choice := f.board.Choose(f.now, request)
		if choice.Target == "" {
			require.Equal(t, placement.ReasonFull, choice.Reason)
			break
		}
		require.Equal(t, "a", choice.Target)
		f.board.RecordSent(f.now, request, &choice)
		sent++
	}
	require.LessOrEqual(t, sent, testColdRate)
	require.Equal(t, "b", f.board.Choose(f.now, smallRequest("model")).Target)
}

// TestQueuedRequestIsRefusedOnceItsVersionLeaves guards against a request that waits to its end for a version of which no
// target is left, and against requests for a full version that keep those behind them from free slots of another one.
func TestQueuedRequestIsRefusedOnceItsVersionLeaves(t *testing.T) {
	const bound = 20
	now := time.Unix(1000, 0)
	b, targets := newBoardWithTargets("model", "a", "b")
	setVersions(b, targets, "1", "2")
	fill(b, now, "model")
	for id := range uint64(bound) {
		require.True(t, b.Wait(now, id, boundRequest("model", "1")))
	}
	require.True(t, b.Wait(now.Add(time.Millisecond), bound, boundRequest("model", "2")))
	b.RecordEnd(now, smallRequest("model"), "b", placement.Load{Running: 1}, placement.Done, time.Second)
	grants := b.ServeQueue(now.Add(time.Millisecond), "model")
	require.Len(t, grants, 1)
	require.Equal(t, uint64(bound), grants[0].ID)
	require.Equal(t, "b", grants[0].Choice.Target)

	targets[0].Leaving = true
	b.SetTargets(targets)
	grants = b.ExpireQueued(now.Add(2 * time.Millisecond))
	require.Len(t, grants, bound)
	for _, g := range grants {
		require.Equal(t, placement.ReasonNoTarget, g.Choice.Reason)
	}
}

// TestOwnersAreAskedOnlyForTargetsOfVersion guards against a request that is referred to the owner of an engine of another
// version: the preferred one for its prompt, an alternative that an owner named, or any with room.
func TestOwnersAreAskedOnlyForTargetsOfVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	b, targets := newBoardWithTargets("model", "a", "b", "c", "d")
	for _, version := range []string{"1", "2", "3"} {
		for prefix := range uint64(20) {
			setVersions(b, targets, "1", "1", "2", "2")
			request := smallRequest("model")
			request.Chain = placement.NewPrefixChain([]placement.Part{{ID: prefix, Tokens: 900}, {ID: 100, Tokens: 100}}, 1000)
			require.NotEmpty(t, b.PreferredEngine(request).Target)
			request.FixVersion(version)
			var asked []string
			for _, alternative := range []string{"", "a", "c"} {
				request.Alternative = alternative
				for referral, ok := b.NextOwner(now, request); ok; referral, ok = b.NextOwner(now, request) {
					asked = append(asked, referral.Target)
				}
			}
			for _, id := range asked {
				at := slices.IndexFunc(targets, func(target route.Target) bool { return target.ID == id })
				require.Equal(t, version, targets[at].Version)
			}
			require.Equal(t, version == "3", len(asked) == 0)
		}
	}
}
