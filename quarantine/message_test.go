package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/quarantine"
)

// What one host tells another is what the other one understands, to the millisecond and though their clocks differ.
func TestMessagesCarryAgesBetweenHosts(t *testing.T) {
	here, there := time.Unix(1_700_000_000, 0), time.Unix(900, 0)
	report := quarantine.Report{Target: "t", At: here.Add(-20 * time.Millisecond), SentAt: here.Add(-time.Second), Traits: []quarantine.Trait{1, 2}}
	want := report
	want.At, want.SentAt = there.Add(-20*time.Millisecond), there.Add(-time.Second)
	require.Equal(t, &want, quarantine.ReportOf(there, report.Message(here)))

	for _, s := range []quarantine.Status{
		{Trait: 7, Incidents: 2, LastCrash: here.Add(-time.Minute)},
		{Trait: 7, AnsweredAt: here.Add(-time.Millisecond), Known: true},
		{Trait: 7, Incidents: 3, LastCrash: here.Add(-time.Second), AnsweredAt: here.Add(-time.Hour), Known: true},
	} {
		want := s
		if !s.LastCrash.IsZero() {
			want.LastCrash = there.Add(s.LastCrash.Sub(here))
		}
		if !s.AnsweredAt.IsZero() {
			want.AnsweredAt = there.Add(s.AnsweredAt.Sub(here))
		}
		require.Equal(t, want, quarantine.StatusOf(there, s.Message(here)))
	}
}

// Counts and ages that a message can't carry are told as the largest that it can, and a time that is yet to come as now.
func TestMessagesBoundWhatTheyCarry(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	many := quarantine.Status{Trait: 7, Incidents: 1000, LastCrash: now.Add(-1000 * 24 * time.Hour)}
	m := many.Message(now)
	require.EqualValues(t, 255, m.Incidents)
	require.EqualValues(t, 1<<32-1, m.CrashAge)
	future := quarantine.Status{Trait: 7, Incidents: 1, LastCrash: now.Add(time.Hour)}
	require.EqualValues(t, 1, future.Message(now).CrashAge)
}
