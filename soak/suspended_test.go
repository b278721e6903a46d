package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/target"
)

// A target that crashes while a gateway is suspended resets its connections. An answer without a length must not look
// complete then: when the gateway continues, its wait has timed out and the reset has arrived at once.
func TestResetDuringSuspensionIsNotEndOfAnswer(t *testing.T) {
	const (
		streams, events, lookups = 12, 40, 6
		beforeSuspension         = 250 * ms
		suspension               = 2500 * ms // longer than the time after which a target counts as silent
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	path, err := Build(ctx, t.TempDir())
	require.NoError(t, err)
	f := newFleet(NewPlan(1, 1, 0, nil), io.Discard)
	require.NoError(t, f.startStandIns(ctx, path, t.TempDir()))
	defer f.stop()
	require.NoError(t, f.startGateways(ctx))
	for n, target := range f.targets {
		armUnframed(target, streams+lookups)
		if n >= engineCount {
			armTruncatedBodies(target, lookups)
		}
	}
	answers := make([]*SentRequest, streams+lookups)
	var wg sync.WaitGroup
	for n := range answers {
		s := &SentRequest{ID: fmt.Sprintf("r%d", n), Kind: RequestLookup, Timeout: 10 * time.Second}
		if n < streams {
			s.Kind, s.ExpectedEvents = RequestStream, events
		}
		answers[n] = s
		wg.Go(func() { sendOnce(t, f, s) })
	}
	time.Sleep(beforeSuspension)
	for _, target := range f.targets[:engineCount] {
		armResets(target, streams/engineCount)
	}
	f.gateways[0].pause(suspension)
	wg.Wait()
	cut := 0
	for _, s := range answers {
		want := target.Body(s.ID, s.Path, s.ID)
		if s.ExpectedEvents > 0 {
			want = wholeStream(s)
		}
		if s.Complete && s.Status == 200 {
			require.Equal(t, want, s.Body, "%s looks complete", s.ID)
			continue
		}
		cut++
	}
	t.Log(cut, "of", len(answers), "answers were not passed on whole")
}

// armUnframed makes the next answers of a target end with their connection.
func armUnframed(t *target.Target, count int) {
	for range count {
		t.Arm(target.Fault{Kind: target.KindUnframed})
	}
}

// armTruncatedBodies makes a target pause in the body of its next answers, and then reset their connections.
func armTruncatedBodies(t *target.Target, count int) {
	for range count {
		t.Arm(target.Fault{Kind: target.KindPause, Position: target.PositionInBody, Length: time.Second})
		t.Arm(target.Fault{Kind: target.KindBreak, Position: target.PositionInBody})
	}
}

// armResets makes a target reset the connections of its next streams before an event.
func armResets(t *target.Target, count int) {
	for range count {
		t.Arm(target.Fault{Kind: target.KindBreak, Position: target.PositionBeforeEvent})
	}
}

// sendOnce sends a request on a connection of its own and reads the answer.
func sendOnce(t *testing.T, f *fleet, s *SentRequest) {
	t.Helper()
	conn, err := net.Dial("tcp", f.gateways[0].listenAddress.String())
	if !assertNoError(t, err) {
		return
	}
	defer conn.Close()
	c := &caller{fleet: f, conn: conn, rd: bufio.NewReader(conn)}
	s.Path, s.Key = fmt.Sprintf("/%s/x", s.Kind), f.newestKey(0)
	_ = conn.SetDeadline(time.Now().Add(s.Timeout + answerMargin)) // the connection is open
	if !assertNoError(t, c.writeRequest(s.requestHead(), s.requestBody())) {
		return
	}
	c.readAnswer(s)
}

// assertNoError reports an error of a goroutine other than that of the test, which must not stop the test.
func assertNoError(t *testing.T, err error) bool {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
	return err == nil
}

// wholeStream returns the body of a complete stream.
func wholeStream(s *SentRequest) string {
	var b strings.Builder
	for n := 1; n <= s.ExpectedEvents; n++ {
		b.WriteString(target.Event(s.ID, n))
	}
	return b.String()
}
