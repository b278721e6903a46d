package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/standin/loopback"
	"github.com/cassiachute/cassiachute/standin/target"
)

const (
	testTimeout = 10 * time.Second
	pauseLength = 300 * time.Millisecond
)

// testTarget is a running target with its ledger.
type testTarget struct {
	*target.Target

	t      *testing.T
	ledger *target.Ledger
}

func newTestTarget(t *testing.T, streams bool) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp", loopback.Address().String())
	require.NoError(t, err)
	s := &testTarget{t: t, ledger: &target.Ledger{}}
	s.Target = target.New(target.Config{ID: "t1", Service: "s", Slots: 1, Queue: 2, Step: time.Millisecond, Streams: streams}, l, s.ledger)
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// testConn is a client's connection to a target.
type testConn struct {
	net.Conn

	t  *testing.T
	rd *bufio.Reader
}

func (s *testTarget) dial() *testConn {
	conn, err := net.Dial("tcp", s.Address().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &testConn{Conn: conn, t: s.t, rd: bufio.NewReader(conn)}
}

func (l *testConn) send(id, headers string) {
	fmt.Fprintf(l, "POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Token-Count: 1,3\r\n%sContent-Length: 2\r\n\r\nab", id, headers)
}

// answer holds what was read of an answer.
type answer struct {
	status int // 0 if no status line was read
	header http.Header
	body   string
	err    error // why the answer is incomplete
}

// receive reads an answer, which may be incomplete.
func (l *testConn) receive() answer {
	response, err := http.ReadResponse(l.rd, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// receiveWhole returns the status, attempt ID and body of the next answer, which must be complete.
func (l *testConn) receiveWhole() (int, string, string) {
	l.t.Helper()
	a := l.receive()
	require.NoError(l.t, a.err)
	return a.status, a.header.Get(target.HeaderAttempt), a.body
}

// eventsFrom returns the events of an answer from a number up to the third, which is the last.
func eventsFrom(id string, from int) string {
	text := ""
	for n := from; n <= 3; n++ {
		text += target.Event(id, n)
	}
	return text
}

func TestAnswersWithoutFaultsAreComplete(t *testing.T) {
	plain, engine := newTestTarget(t, false).dial(), newTestTarget(t, true).dial()
	for range 2 {
		plain.send("a", "")
		_, id, body := plain.receiveWhole()
		require.Equal(t, "a", id)
		require.Equal(t, target.Body("a", "/x", "ab"), body)
		engine.send("b", "Last-Event-Id: 1\r\n")
		_, _, body = engine.receiveWhole()
		require.Equal(t, eventsFrom("b", 2), body)
	}
}

// A pause delays the answer or the next one and doesn't change its bytes.
func TestPauseDelaysAnswerAtEachPosition(t *testing.T) {
	for streams, positions := range map[bool][]target.Position{true: target.StreamPositions, false: target.PlainPositions} {
		for _, position := range positions {
			s := newTestTarget(t, streams)
			s.Arm(target.Fault{Kind: target.KindPause, Position: position, Length: pauseLength})
			l, start := s.dial(), time.Now()
			for _, id := range []string{"a", "b"} {
				l.send(id, "")
				_, gotID, body := l.receiveWhole()
				require.Equal(t, id, gotID)
				if streams {
					require.Equal(t, eventsFrom(id, 1), body)
				}
			}
			require.GreaterOrEqual(t, time.Since(start), pauseLength, position)
		}
	}
}

func TestStalledTargetContinues(t *testing.T) {
	s := newTestTarget(t, true)
	l, start := s.dial(), time.Now()
	s.Stall(pauseLength)
	l.send("a", "")
	_, _, body := l.receiveWhole()
	require.Equal(t, eventsFrom("a", 1), body)
	require.GreaterOrEqual(t, time.Since(start), pauseLength)
}

func TestRepeatFaultSendsAnswerTwice(t *testing.T) {
	for _, shape := range target.RepeatShapes {
		s := newTestTarget(t, false)
		s.Arm(target.Fault{Kind: target.KindRepeat, Shape: shape})
		l := s.dial()
		var gotIDs, bodies []string
		for _, id := range []string{"a", "b"} {
			l.send(id, "")
			_, gotID, body := l.receiveWhole()
			gotIDs, bodies = append(gotIDs, gotID), append(bodies, body)
		}
		require.Equal(t, bodies[0], bodies[1], shape)
		require.Equal(t, shape == target.RepeatWithoutID || shape == target.RepeatLateWithoutID, gotIDs[1] == "", shape)
		_, gotID, _ := l.receiveWhole()
		require.Equal(t, "b", gotID)
		require.True(t, s.ledger.Records().Runs[1].Corrupted)
	}
}

func TestRejectedRequestsDoNotRun(t *testing.T) {
	s := newTestTarget(t, false)
	l := s.dial()
	l.send("a", "X-Expect-Replica: t2\r\n")
	status, _, _ := l.receiveWhole()
	require.Equal(t, http.StatusMisdirectedRequest, status)
	s.RejectRequests(testTimeout, 0)
	l.send("b", "X-Expect-Replica: t1\r\n")
	status, _, _ = l.receiveWhole()
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Empty(t, s.ledger.Records().Runs)
	require.Len(t, s.ledger.Records().Arrivals, 2)
}

// A request whose client closes the connection while it waits for a slot must not run.
func TestQueuedRequestDoesNotRunAfterItsConnectionCloses(t *testing.T) {
	s := newTestTarget(t, false)
	s.Arm(target.Fault{Kind: target.KindPause, Position: target.PositionBeforeHead, Length: pauseLength})
	first, second := s.dial(), s.dial()
	first.send("a", "")
	require.Eventually(t, func() bool { return len(s.ledger.Records().Runs) == 1 }, testTimeout, time.Millisecond)
	second.send("b", "")
	require.Eventually(t, func() bool { return len(s.ledger.Records().Arrivals) == 2 }, testTimeout, time.Millisecond)
	second.Close()
	time.Sleep(pauseLength / 3) // let the target notice the close before the slot is free
	first.receiveWhole()
	first.send("c", "")
	first.receiveWhole()
	require.Len(t, s.ledger.Records().Runs, 2)
}

func TestBreakAndResumeFaultsSetRunEnds(t *testing.T) {
	s := newTestTarget(t, true)
	s.Arm(target.Fault{Kind: target.KindBreak, Position: target.PositionInEvent})
	l := s.dial()
	l.send("a", "")
	a := l.receive()
	require.Equal(t, http.StatusOK, a.status)
	require.Error(t, a.err)
	ends := []target.End{target.EndReset}
	for _, shape := range target.ResumeShapes {
		s.Arm(target.Fault{Kind: target.KindResume, Shape: shape})
		l := s.dial()
		l.send("a", "Last-Event-Id: 1\r\n")
		require.NotZero(t, l.receive().status, shape)
		l.Close()
		ends = append(ends, target.EndFailed)
	}
	var seen []target.End
	require.Eventually(t, func() bool {
		seen = nil
		for _, run := range s.ledger.Records().Runs {
			seen = append(seen, run.End)
		}
		return len(seen) == len(ends) && !slices.Contains(seen, target.EndOpen)
	}, testTimeout, time.Millisecond)
	require.Equal(t, ends, seen)
}

// The ledger records what a target announces in its answers: a time without requests, or that it is
// leaving.
func TestNoticesInAnswersAreRecorded(t *testing.T) {
	s := newTestTarget(t, false)
	l := s.dial()
	s.RejectRequests(pauseLength, 2*time.Second)
	l.send("a", "")
	a := l.receive()
	require.NoError(t, a.err)
	require.Equal(t, "2.000", a.header.Get("Retry-After"))
	s.AnnounceLeaving()
	time.Sleep(pauseLength)
	l.send("b", "")
	a = l.receive()
	require.NoError(t, a.err)
	require.Equal(t, "1", a.header.Get("Server-Leaving"))
	notices := s.ledger.Records().Notices
	require.Equal(t, []time.Duration{2 * time.Second, 0}, []time.Duration{notices[0].Wait, notices[1].Wait})
}

// Tests of restarts would show nothing if the stand-in kept a connection or a waiting request through its crash, accepted
// connections while it is down, or came back under another ID.
func TestCrashedTargetServesAgain(t *testing.T) {
	s := newTestTarget(t, false)
	s.Arm(target.Fault{Kind: target.KindPause, Position: target.PositionBeforeHead, Length: testTimeout})
	running, waiting := s.dial(), s.dial()
	running.send("a", "")
	require.Eventually(t, func() bool { return len(s.ledger.Records().Runs) == 1 }, testTimeout, time.Millisecond)
	waiting.send("b", "")
	require.Eventually(t, func() bool { return len(s.ledger.Records().Arrivals) == 2 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool { return s.PendingFaults() == 0 }, testTimeout, time.Millisecond, "else the pause would affect the last request")
	s.Crash(pauseLength)
	require.ErrorIs(t, running.receive().err, syscall.ECONNRESET)
	require.ErrorIs(t, waiting.receive().err, syscall.ECONNRESET)
	_, err := net.Dial("tcp", s.Address().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Eventually(t, func() bool { return len(s.ledger.Records().Crashes) == 1 }, testTimeout, time.Millisecond)
	again := s.dial()
	again.send("c", "X-Expect-Replica: t1\r\n")
	_, id, _ := again.receiveWhole()
	require.Equal(t, "c", id)
	records := s.ledger.Records()
	require.Equal(t, target.EndReset, records.Runs[0].End)
	require.Equal(t, target.EndReset, records.Runs[1].End)
	require.GreaterOrEqual(t, records.Crashes[0].ServedAt.Sub(records.Crashes[0].At), pauseLength)
}
