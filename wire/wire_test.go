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

// conditionTimeout is how long a test waits for a condition before it fails.
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
		&HostState{Boot: 7, Number: 8, Place: "p", HeldTraits: []HeldTrait{{Trait: 1 << 60, Incidents: 2, CrashAge: 300, AnsweredAge: 1}}, Speeds: []TargetSpeed{{Target: "t", Ratio: 14, Step: -1}}},
		&HostState{Boot: 7, Number: 9, Speeds: []TargetSpeed{}},
		&TargetCrash{Target: "t", Age: 5, SentAge: 400, Traits: []uint64{1 << 60, 3}},
		&TraitsAnswered{Traits: []uint64{1 << 60}},
		&TraitsProbed{Traits: []uint64{1 << 60}},
		&TraitsKnown{Traits: []uint64{1 << 60}},
		&VersionSlotRequest{Request: SlotRequest{Number: 7, Service: "s", Target: "t", Prompt: Prompt{Parts: []uint64{3}, PartTokens: []uint32{9}, TotalTokens: 12}}, Version: "1.2"},
		&TraitsHeld{Traits: []HeldTrait{{Trait: 1 << 60, Incidents: 2, CrashAge: 40, AnsweredAge: 1, Known: true}}},
	}
}

// TestMessagesGolden guards against unintended changes of the encoding, which hosts of another version
// could not decode, and checks that each message decodes to what was encoded.
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

// FuzzDecode checks that Decode does not panic on any input, and that what it decodes can be encoded
// again.
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

// testHub is a hub on loopback that records the RequestEnd messages it receives and the connections
// it rejects.
type testHub struct {
	*Hub
	address netip.AddrPort // where the hub listens

	mu          sync.Mutex
	receivedIDs []uint64 // IDs of the RequestEnd messages, in order of arrival
	rejected    []error  // why connections were rejected, one error each
}

// startTestHub starts a hub that listens on loopback. To reach a peer whose address is a key of routes,
// it dials the address that stands there instead, such as that of a proxy.
func startTestHub(t *testing.T, key string, routes map[netip.AddrPort]netip.AddrPort) *testHub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hub := &testHub{address: l.Addr().(*net.TCPAddr).AddrPort()}
	hub.Hub = NewHub(Config{
		Address: hub.address, Boot: uint64(time.Now().UnixNano()), Key: []byte(key), AckTimeout: 200 * time.Millisecond, Routes: routes,
	}, Events{
		Received: func(_ netip.AddrPort, _ uint64, messages []Message) {
			hub.mu.Lock()
			defer hub.mu.Unlock()
			for _, m := range messages {
				if e, ok := m.(*RequestEnd); ok {
					hub.receivedIDs = append(hub.receivedIDs, e.ID)
				}
			}
		},
		Up:   func(netip.AddrPort, uint64, bool) {},
		Down: func(netip.AddrPort, bool) {},
		Rejected: func(_ netip.AddrPort, err error) {
			hub.mu.Lock()
			defer hub.mu.Unlock()
			hub.rejected = append(hub.rejected, err)
		},
	}, l)
	ctx, cancel := context.WithCancel(context.Background())
	done := hub.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return hub
}

// received returns the IDs of the RequestEnd messages received so far, in order of arrival.
func (hub *testHub) received() []uint64 {
	hub.mu.Lock()
	defer hub.mu.Unlock()
	return append([]uint64(nil), hub.receivedIDs...)
}

// eventually waits until the condition is met, and fails the test after conditionTimeout.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		require.True(t, time.Now().Before(deadline), "condition not met within conditionTimeout")
		time.Sleep(time.Millisecond)
	}
}

// TestSessionLosesNothing guards against messages lost, repeated or reordered when a hub reconnects to
// its peer: a proxy between two hubs closes their connection twice and stops forwarding on it twice
// while messages are sent.
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
	peer := startTestHub(t, "other", nil)
	peer.Send(receiver.address, &RequestEnd{ID: 1})
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
