package wire

import (
	"context"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/golden"
	"github.com/cassiachute/cassiachute/standin/faults"
)

// conditionTimeout limits how long a test waits for a condition.
const conditionTimeout = 30 * time.Second

// sampleMessages returns messages of several kinds with fields set.
func sampleMessages() []Message {
	shard := Shard{Service: 300, Place: 7}
	return []Message{
		&Heartbeat{Revision: 9, Leaving: true, Rosters: 5},
		&Roster{Place: 7, Version: 8, Revision: 9, Members: []Member{{Address: netip.MustParseAddrPort("10.0.0.1:70"), Boot: 3}}},
		&Ticket{ID: 70000, Shard: shard, Team: 12, Urgency: 2, Blocks: []uint32{1, 1 << 31}},
		&Grant{ID: 70000, Shard: shard, Incarnation: 1 << 31, Target: 44},
		&RequestEnd{ID: 70000, Shard: shard, Outcome: OutcomeConnectionLost, Cost: 512, TokenInterval: 20000, FirstByte: 12},
		&ShardState{Shard: shard, Incarnation: 2, Sequence: 3, AllTeams: true, Teams: []TeamUsage{{Team: 12, Served: 1 << 40, Waiting: 3}}},
		&ConfigSteps{From: 3, Bodies: [][]byte{[]byte("{}")}},
	}
}

// TestMessagesGolden guards against unintended changes of the encoding.
func TestMessagesGolden(t *testing.T) {
	var got strings.Builder
	for _, m := range sampleMessages() {
		body, err := Encode([]Message{m})
		require.NoError(t, err)
		fmt.Fprintf(&got, "%s %s\n", m.Kind(), hex.EncodeToString(body))
		list, err := Decode(body)
		require.NoError(t, err)
		require.Equal(t, []Message{m}, list)
	}
	golden.Equal(t, "messages.golden", got.String())
}

// TestDecodeRejectsInvalidFrames checks the errors of an unknown kind, a truncated message and an
// oversized frame.
func TestDecodeRejectsInvalidFrames(t *testing.T) {
	_, err := Decode([]byte{200, 0x90})
	require.ErrorIs(t, err, ErrUnknownKind)
	_, err = Decode([]byte{byte(KindTicket), 0x9c, 0x01})
	require.ErrorIs(t, err, ErrMalformed)
	_, err = readFrame(strings.NewReader("\xff\xff\xff\xff"), MaxFrameBytes)
	require.ErrorIs(t, err, ErrFrameTooLarge)
}

// FuzzDecode checks that decoding does not panic and that decoded messages can be encoded.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		body, err := Encode([]Message{m})
		require.NoError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := Decode(body)
		if err != nil {
			return
		}
		_, err = Encode(list)
		require.NoError(t, err)
	})
}

// testHub is a hub that records the messages and rejections reported to it.
type testHub struct {
	*Hub
	address netip.AddrPort

	mu          sync.Mutex
	receivedIDs []uint64
	rejected    []error // errors of rejected connections
}

// startTestHub starts a hub that listens on loopback and dials the given routes.
func startTestHub(t *testing.T, key string, via map[netip.AddrPort]netip.AddrPort) *testHub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testHub{address: l.Addr().(*net.TCPAddr).AddrPort()}
	s.Hub = NewHub(Config{
		Address: s.address, Boot: uint64(time.Now().UnixNano()), Key: []byte(key), AckTimeout: 200 * time.Millisecond, Routes: via,
	}, Events{
		Received: func(_ netip.AddrPort, _ uint64, messages []Message) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, m := range messages {
				if e, ok := m.(*RequestEnd); ok {
					s.receivedIDs = append(s.receivedIDs, e.ID)
				}
			}
		},
		Up:   func(netip.AddrPort, uint64, bool) {},
		Down: func(netip.AddrPort, bool) {},
		Rejected: func(_ netip.AddrPort, err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.rejected = append(s.rejected, err)
		},
	}, l)
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// received returns the IDs of the End messages received so far.
func (s *testHub) received() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.receivedIDs...)
}

// eventually waits until a condition holds, at most conditionTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		require.True(t, time.Now().Before(deadline), "condition not met in time")
		time.Sleep(time.Millisecond)
	}
}

// TestSessionLosesNothing breaks connections and makes them silent while messages
// are sent, and checks that each message arrives once and in order.
func TestSessionLosesNothing(t *testing.T) {
	const total = 3000
	receiver := startTestHub(t, "key", nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	proxy := faults.New(l, receiver.address)
	ctx, cancel := context.WithCancel(context.Background())
	proxied := proxy.Run(ctx)
	defer func() {
		cancel()
		<-proxied
	}()
	sender := startTestHub(t, "key", map[netip.AddrPort]netip.AddrPort{receiver.address: proxy.Address()})
	for n := range uint64(total) {
		sender.Send(receiver.address, &RequestEnd{ID: n})
		switch n {
		case 500, 1500:
			eventually(t, func() bool { return len(receiver.received()) > int(n)/2 })
			proxy.Break()
		case 1000, 2000:
			eventually(t, func() bool { return len(receiver.received()) > int(n)/2 })
			proxy.Silence()
		}
	}
	eventually(t, func() bool { return len(receiver.received()) >= total })
	for n, id := range receiver.received() {
		require.Equal(t, uint64(n), id)
	}
	require.Greater(t, proxy.Accepted(), 2)
}

// TestPeerWithoutTheKeyIsRejected checks that neither a peer with another key nor a client that
// does not speak the protocol can deliver messages.
func TestPeerWithoutTheKeyIsRejected(t *testing.T) {
	receiver := startTestHub(t, "key", nil)
	stranger := startTestHub(t, "other", nil)
	stranger.Send(receiver.address, &RequestEnd{ID: 1})
	conn, err := net.Dial("tcp", receiver.address.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	eventually(t, func() bool {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		for _, err := range receiver.rejected {
			if errors.Is(err, ErrFrameTooLarge) {
				return true
			}
		}
		return false
	})
	require.Empty(t, receiver.received())
}
