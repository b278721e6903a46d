package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/quarantine"
)

// Times that the tests are written in.
const (
	prefillTime = 200 * time.Millisecond // from the send of a request to the crash of its target
	firstHold   = 10 * time.Second       // after two incidents, without the part that differs between hosts
	longestHold = 13 * time.Second       // the same with that part at its largest
)

// start is the time at which the tests begin.
var start = time.Unix(5000, 0)

// crashAt returns the report of a crash at a time after the start, of a request that was sent
// prefillTime before.
func crashAt(target string, at time.Duration, traits ...quarantine.Trait) *quarantine.Report {
	return &quarantine.Report{Target: target, At: start.Add(at), SentAt: start.Add(at - prefillTime), Traits: traits}
}

// recordCrashes records reports at the times of their crashes.
func recordCrashes(t *quarantine.Table, reports ...*quarantine.Report) {
	for _, r := range reports {
		t.RecordCrash(r.At, r)
	}
}

// refused returns whether a request with some traits is refused at a time after the start.
func refused(t *quarantine.Table, at time.Duration, traits ...quarantine.Trait) bool {
	return t.Check(start.Add(at), traits).Refused
}

func ExampleTable() {
	const greeting, dossier = quarantine.Trait(1), quarantine.Trait(2)
	t := quarantine.NewTable(1)
	for n, target := range []string{"engine1", "engine2"} {
		crashedAt := time.Unix(int64(n), 0)
		t.RecordCrash(crashedAt, &quarantine.Report{
			Target: target, At: crashedAt, SentAt: crashedAt.Add(-time.Second / 2), Traits: []quarantine.Trait{greeting, dossier},
		})
	}
	now := time.Unix(2, 0)
	t.RecordAnswer(now, []quarantine.Trait{greeting}) // a request without the dossier was answered
	fmt.Println(t.Check(now, []quarantine.Trait{greeting}).Refused)
	fmt.Println(t.Check(now, []quarantine.Trait{greeting, dossier}).Refused)
	// Output:
	// false
	// true
}

// A trait is held once it was sent again after a crash and its target crashed as well, whatever else the
// requests have.
func TestTraitIsHeldAfterSecondIncident(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1, 7, 21))
	require.False(t, refused(table, 0, 1, 7, 22))
	recordCrashes(table, crashAt("b", time.Second, 3, 7, 22))
	require.True(t, refused(table, time.Second, 4, 7, 23))
	require.False(t, refused(table, time.Second, 1, 4))
}

// Targets that crash at the same moment have a common cause of their own. The traits of the requests that
// they had are not held for it, whichever of them comes to be known last.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	table := quarantine.NewTable(1)
	for n, target := range []string{"a", "b", "c", "d"} {
		recordCrashes(table, crashAt(target, time.Duration(n)*20*time.Millisecond, 1, 2))
	}
	require.Equal(t, 1, table.Incidents(1))
	require.False(t, refused(table, time.Second, 1, 2))
}

// Several hosts report one crash, each for its own requests. It counts once, and the request that was sent
// last decides whether it came after the crash before.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1), crashAt("a", 5*time.Millisecond, 1), crashAt("a", 90*time.Millisecond, 1))
	require.Equal(t, 1, table.Incidents(1))
	early := crashAt("b", time.Second, 1)
	early.SentAt = start.Add(-time.Millisecond)
	recordCrashes(table, early)
	require.Equal(t, 1, table.Incidents(1))
	recordCrashes(table, crashAt("b", time.Second, 1))
	require.Equal(t, 2, table.Incidents(1))
}

// An answer to a request with a trait shows that it doesn't crash targets, so crashes before it do not
// count. Reports of such crashes may come later than the answer.
func TestAnswerClearsTrait(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1, 2), crashAt("b", time.Second, 1, 2))
	cleared, changes := table.RecordAnswer(start.Add(2*time.Second), []quarantine.Trait{1, 5})
	require.Equal(t, []quarantine.Trait{1}, cleared)
	require.Equal(t, []quarantine.Change{{Trait: 1, HeldFor: time.Second}}, changes)
	require.False(t, refused(table, 2*time.Second, 1))
	require.True(t, refused(table, 2*time.Second, 1, 2))
	table.RecordCrash(start.Add(2*time.Second), crashAt("c", 1500*time.Millisecond, 1))
	require.Zero(t, table.Incidents(1))
}

// Requests that crash targets share a part with sound ones, and nobody has answered that part since the first
// crash. The sound ones lack the part that explains the same crashes, so they go on, and tell the two apart.
func TestRequestWithoutTheOtherSuspectGoesOn(t *testing.T) {
	const shared, deadly = quarantine.Trait(1), quarantine.Trait(2)
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, shared, deadly, 31), crashAt("b", time.Second, shared, deadly, 32))
	require.True(t, refused(table, time.Second, shared, deadly, 33))
	require.False(t, refused(table, time.Second, shared, 34))

	recordCrashes(table, crashAt("c", 2*time.Second, shared, 34))
	require.True(t, refused(table, 2*time.Second, shared, 35), "the shared part crashes targets on its own")
	require.False(t, refused(table, 2*time.Second, deadly, 36), "the other one is explained by it")
}

// A crash speaks against the trait that most crashes speak against. Bystanders whose requests are sent again
// and again to targets that crash are not held for it.
func TestCrashesCountForTheBestExplanation(t *testing.T) {
	const deadly, bystander = quarantine.Trait(1), quarantine.Trait(2)
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, deadly), crashAt("b", time.Second, deadly, bystander), crashAt("c", 2*time.Second, deadly, bystander))
	require.Equal(t, 3, table.Incidents(deadly))
	require.Zero(t, table.Incidents(bystander))

	table.RecordAnswer(start.Add(3*time.Second), []quarantine.Trait{deadly})
	require.Equal(t, 2, table.Incidents(bystander), "what explained the crashes was answered")
}

// A trait that was answered before is more likely sound, so it is held for less time. Hosts that know it tell
// the others, one of them for all.
func TestKnownTraitIsHeldForLessTime(t *testing.T) {
	traits := []quarantine.Trait{1}
	crashes := []*quarantine.Report{crashAt("a", 0, 1), crashAt("b", time.Second, 1)}
	var tables []*quarantine.Table
	for host := range uint64(3) {
		table := quarantine.NewTable(host)
		if host > 0 {
			table.RecordAnswer(start.Add(-time.Hour), traits)
		}
		recordCrashes(table, crashes...)
		tables = append(tables, table)
	}
	require.True(t, refused(tables[0], 5*time.Second, 1))
	require.True(t, refused(tables[1], time.Second, 1))
	require.False(t, refused(tables[1], 5*time.Second, 1))

	now := start.Add(time.Second + 200*time.Millisecond)
	require.Empty(t, tables[0].Vouches(now))
	require.Equal(t, traits, tables[1].Vouches(now))
	tables[0].RecordKnown(traits)
	tables[2].RecordKnown(traits)
	require.Empty(t, tables[2].Vouches(now), "another host has told it")
	require.False(t, refused(tables[0], 5*time.Second, 1))
}

// Requests that a target has not begun to answer when a trait is held are ended before they crash it. Those
// with a trait that was answered before go on: if it is sound, they show it.
func TestRequestsAtTargetsAreEnded(t *testing.T) {
	table := quarantine.NewTable(1)
	table.RecordAnswer(start.Add(-time.Hour), []quarantine.Trait{1})
	recordCrashes(table, crashAt("a", 0, 1, 2), crashAt("b", time.Second, 1, 2))
	now := start.Add(time.Second)
	require.False(t, table.Ends(now, 1, []quarantine.Trait{1, 2}))
	require.True(t, table.Ends(now, 2, []quarantine.Trait{1, 2}))
	require.False(t, table.Ends(now, 2, []quarantine.Trait{2, 3}), "it lacks what explains the crashes as well")
	require.False(t, table.Ends(now, 2, []quarantine.Trait{3}))
}

// After its hold a trait is probed by one request at a time. If the probe crashes its target, the next hold
// is longer; if it is answered, the trait is not held any more.
func TestOneRequestProbesAfterHold(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1), crashAt("b", time.Second, 1))
	at := time.Second + longestHold
	traits := []quarantine.Trait{1}
	d := table.Check(start.Add(time.Second), traits)
	require.True(t, d.Refused)
	require.GreaterOrEqual(t, d.RetryAfter, firstHold)
	d = table.Check(start.Add(at), traits)
	require.False(t, d.Refused)
	require.Equal(t, traits, d.Probes)
	table.BeginProbe(start.Add(at), d.Probes)
	require.True(t, refused(table, at+time.Second, 1))
	require.False(t, refused(table, at+5*time.Second, 1), "a probe that tells nothing does not keep others back for long")

	table.EndProbe(d.Probes)
	require.False(t, refused(table, at, 1))
	recordCrashes(table, crashAt("c", at+prefillTime, 1))
	require.True(t, refused(table, at+3*longestHold, 1))
	require.False(t, refused(table, at+10*longestHold, 1))
	table.RecordAnswer(start.Add(at+10*longestHold), traits)
	require.True(t, table.Empty())
}

// Hosts do not end their holds at the same moment, so that they do not all probe a trait at once.
func TestHostsEndTheirHoldsAtDifferentTimes(t *testing.T) {
	ends := map[time.Duration]bool{}
	for host := range uint64(50) {
		table := quarantine.NewTable(host)
		recordCrashes(table, crashAt("a", 0, 1), crashAt("b", time.Second, 1))
		ends[table.Check(start.Add(time.Second), []quarantine.Trait{1}).RetryAfter.Round(10*time.Millisecond)] = true
	}
	require.Greater(t, len(ends), 40)
}

// A host that starts again knows nothing of the crashes, but is told by the others which traits are held, and
// one that missed an answer is told that they are not.
func TestHostsTellEachOtherWhatIsHeld(t *testing.T) {
	table, restarted := quarantine.NewTable(1), quarantine.NewTable(2)
	recordCrashes(table, crashAt("a", 0, 1), crashAt("b", time.Second, 1))
	now := start.Add(2 * time.Second)
	merge := func(to, from *quarantine.Table) {
		for _, s := range from.State() {
			to.Merge(now, s)
		}
	}
	merge(restarted, table)
	require.True(t, refused(restarted, 2*time.Second, 1))

	now = start.Add(3 * time.Second)
	table.RecordAnswer(now, []quarantine.Trait{1})
	merge(table, restarted)
	require.False(t, refused(table, 3*time.Second, 1), "what another host knew before the answer does not count")
	merge(restarted, table)
	require.False(t, refused(restarted, 3*time.Second, 1))
}

// Callers choose the traits of their requests. However many they name, tables stay small, and what is held
// is not lost to traits that are only suspected.
func TestTablesAreBounded(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1), crashAt("b", time.Second, 1))
	for n := range 400 {
		traits := make([]quarantine.Trait, 10000)
		for i := range traits {
			traits[i] = quarantine.Trait(1000 + n*len(traits) + i)
		}
		at := 2*time.Second + time.Duration(n)*10*time.Millisecond
		table.RecordCrash(start.Add(at), crashAt(fmt.Sprint("t", n), at, traits...))
	}
	require.True(t, refused(table, 6*time.Second, 1))
	require.Zero(t, table.Incidents(1000+quarantine.MaxReportedTraits), "traits beyond the limit do not count")
	require.Equal(t, 1, table.Held())

	evicted := 0
	for n := range 20 {
		traits := make([]quarantine.Trait, quarantine.MaxReportedTraits)
		for i := range traits {
			traits[i] = quarantine.Trait(1_000_000_000 + n*len(traits) + i)
		}
		for crash := range 2 {
			at := 10*time.Second + time.Duration(2*n+crash)*time.Second
			for _, change := range table.RecordCrash(start.Add(at), crashAt(fmt.Sprint("u", n, crash), at, traits...)) {
				if change.Evicted {
					evicted++
				}
			}
		}
	}
	require.LessOrEqual(t, table.Held(), 512)
	require.Positive(t, evicted, "evictions are told")
	require.LessOrEqual(t, len(table.State()), 16)
}

// A trait about which nothing is heard for long is forgotten, so that two crashes far apart do not count as one
// after the other.
func TestSuspicionsExpire(t *testing.T) {
	table := quarantine.NewTable(1)
	recordCrashes(table, crashAt("a", 0, 1), crashAt("b", time.Second, 2), crashAt("c", 2*time.Second, 2))
	table.Tick(start.Add(30 * time.Minute))
	require.Zero(t, table.Incidents(1))
	require.True(t, table.Empty())
	recordCrashes(table, crashAt("d", 31*time.Minute, 1))
	require.False(t, refused(table, 31*time.Minute, 1))
}

// Many targets crash before the fleet knows why, more than a record remembers. Each probe that crashes another one
// still makes the hold longer; probes went on every ten seconds.
func TestHoldGrowsAfterMoreCrashesThanAreRemembered(t *testing.T) {
	table := quarantine.NewTable(1)
	for n := range 12 {
		recordCrashes(table, crashAt(fmt.Sprint("t", n), time.Duration(n)*35*time.Millisecond, 7, quarantine.Trait(100+n)))
	}
	at := time.Second
	require.True(t, refused(table, at, 7))
	hold := firstHold
	for n := range 3 {
		require.True(t, refused(table, at+hold-2*time.Second, 7), "probe %d", n)
		for refused(table, at, 7) {
			at += time.Second
		}
		at += prefillTime
		recordCrashes(table, crashAt(fmt.Sprint("p", n), at, 7, quarantine.Trait(200+n)))
		hold *= 6
	}
	require.Equal(t, 5, table.Incidents(7))
}
