package order_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiachute/cassiachute/fixedseed"
	"github.com/cassiachute/cassiachute/order"
)

// TestMain runs the tests of this package with fixed random seeds.
func TestMain(m *testing.M) { fixedseed.Main(m) }

// startTime is the time at which the tests begin.
var startTime = time.Unix(1_700_000_000, 0)

// store simulates the database table that holds the orders.
type store struct {
	rows        map[string]order.Record
	versions    map[string]uint64 // of the rows, by name
	lastVersion uint64            // version of the rows that were written last
	delayed     []order.Commit    // transactions without a reply that take effect later
}

// newStore returns an empty store.
func newStore() *store {
	return &store{rows: map[string]order.Record{}, versions: map[string]uint64{}}
}

// commit carries out a transaction if all rows have the versions that it expects. Otherwise it
// returns the names of those that do not.
func (s *store) commit(c order.Commit) []string {
	var failed []string
	for _, op := range c.Ops {
		if s.versions[op.Name] != op.ExpectedVersion {
			failed = append(failed, op.Name)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.lastVersion++
	for _, op := range c.Ops {
		s.rows[op.Name], s.versions[op.Name] = op.Record, s.lastVersion
	}
	return nil
}

// claimOp returns the write that claims an order for a token.
func claimOp(name, token string) order.Op {
	return order.Op{Name: name, Record: order.Record{Token: token, State: order.Claimed}}
}

// TestOneClaimWinsDespiteLostReplies guards against orders that several hosts run, or that nobody
// gets an answer for. Three hosts claim the same two orders while replies are lost, writes take
// effect late, and reads fail. Exactly one claim of each order must win, and once the store works,
// each claim must get an answer.
func TestOneClaimWinsDespiteLostReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		now := startTime
		tables := make([]*order.Table, 3)
		for n := range tables {
			tables[n] = order.NewTable(func() []netip.AddrPort { return nil })
			for k, name := range []string{"a", "b"} {
				op := claimOp(name, string(rune('x'+n)))
				tables[n].Write(now, order.Ref{ID: uint64(k)}, op, now.Add(time.Hour))
			}
		}
		won, answered := map[string]int{}, 0
		for step := range 400 {
			now = now.Add(100 * time.Millisecond)
			faulty := step < 200
			for _, table := range tables {
				table.Tick(now)
				answered += s.execute(t, now, table, faulty, won)
			}
			if len(s.delayed) > 0 && (!faulty || rapid.Bool().Draw(t, "arrives")) {
				s.commit(s.delayed[0])
				s.delayed = s.delayed[1:]
			}
		}
		require.Equal(t, 6, answered)
		require.Equal(t, map[string]int{"a": 1, "b": 1}, won)
	})
}

// execute carries out the commands of a table, with random faults if faulty. It counts in won the
// successful claims of each order, and returns the number of answers that the table gave.
func (s *store) execute(t *rapid.T, now time.Time, table *order.Table, faulty bool, won map[string]int) int {
	commits, reads, _, answers := table.Drain()
	for _, c := range commits {
		fault := 0
		if faulty {
			fault = rapid.IntRange(0, 4).Draw(t, "fault")
		}
		switch fault {
		case 1: // written, but the reply is lost
			s.commit(c)
			table.Committed(now, c.ID, order.Unanswered, 0, nil)
		case 2: // written later, and the reply is lost
			s.delayed = append(s.delayed, c)
			table.Committed(now, c.ID, order.Unanswered, 0, nil)
		case 3: // not written
			table.Committed(now, c.ID, order.Busy, 0, nil)
		default:
			result := order.Written
			failed := s.commit(c)
			if failed != nil {
				result = order.Conflict
			}
			table.Committed(now, c.ID, result, s.lastVersion, failed)
		}
	}
	for _, r := range reads {
		failed := faulty && rapid.Bool().Draw(t, "read fails")
		table.ReadBack(now, r.ID, s.rows[r.Name], s.versions[r.Name], failed)
	}
	for _, a := range answers {
		if a.Verdict.Won {
			won[[]string{"a", "b"}[a.Ref.ID]]++
		}
	}
	return len(answers)
}

// drainCommits returns the commits of a table and panics on any other command and on answers.
func drainCommits(table *order.Table) []order.Commit {
	commits, reads, forwards, answers := table.Drain()
	if len(reads)+len(forwards)+len(answers) > 0 {
		panic("Table.Drain returned more than commits")
	}
	return commits
}

// drainAnswers returns the answers of a table and panics on any command to the store or to other
// hosts.
func drainAnswers(table *order.Table) []order.Answer {
	commits, reads, forwards, answers := table.Drain()
	if len(commits)+len(reads)+len(forwards) > 0 {
		panic("Table.Drain returned commands besides answers")
	}
	return answers
}

// TestClaimOfUnknownEffectIsVoided guards against an order that stays claimed forever because the
// reply to its claim was lost and nobody ran it.
func TestClaimOfUnknownEffectIsVoided(t *testing.T) {
	s := newStore()
	now := startTime
	table := order.NewTable(func() []netip.AddrPort { return nil })
	table.Write(now, order.Ref{ID: 1}, claimOp("a", "x"), now.Add(time.Second))
	commits := drainCommits(table)
	s.commit(commits[0])
	table.Committed(now, commits[0].ID, order.Unanswered, 0, nil)
	now = now.Add(2 * time.Second)
	table.Tick(now)
	answers := drainAnswers(table)
	require.Len(t, answers, 1)
	require.True(t, answers[0].Verdict.Unreached)
	for range 20 {
		now = now.Add(time.Second)
		table.Tick(now)
		commits, reads, _, _ := table.Drain()
		for _, c := range commits {
			failed := s.commit(c)
			result := order.Written
			if failed != nil {
				result = order.Conflict
			}
			table.Committed(now, c.ID, result, s.lastVersion, failed)
		}
		for _, r := range reads {
			table.ReadBack(now, r.ID, s.rows[r.Name], s.versions[r.Name], false)
		}
	}
	require.Equal(t, order.Void, s.rows["a"].State)
	require.Zero(t, table.Count())
}

// A store that comes back from a copy may lack a record that was acknowledged. The result of an order is kept all the
// same, so that a repeat does not run it again. A voided order can be claimed all the same: its caller was told that its
// key belongs to another request.
func TestRecordLostByTheStoreIsWrittenAnew(t *testing.T) {
	for _, state := range []order.State{order.Done, order.Unknown, order.Claimed} {
		s := newStore()
		now := startTime
		table := order.NewTable(func() []netip.AddrPort { return nil })
		op := claimOp("a", "x")
		op.ExpectedVersion, op.Record.State = 7, state
		table.Write(now, order.Ref{ID: 1}, op, now.Add(time.Minute))
		var answers []order.Answer
		for range 4 {
			commits, reads, _, answered := table.Drain()
			answers = append(answers, answered...)
			for _, c := range commits {
				result, failed := order.Written, s.commit(c)
				if failed != nil {
					result = order.Conflict
				}
				table.Committed(now, c.ID, result, s.lastVersion, failed)
			}
			for _, r := range reads {
				table.ReadBack(now, r.ID, s.rows[r.Name], s.versions[r.Name], false)
			}
		}
		require.Len(t, answers, 1, state)
		require.True(t, answers[0].Verdict.Won, state)
		require.Equal(t, state, s.rows["a"].State)
	}
}
