package fleet

import (
	"fmt"
	"time"

	"github.com/cassiachute/cassiachute/load"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	smallTeams   = 8
	smallRate    = 7.0 // requests a second of one small team
	smallLeast   = 20
	smallMost    = 100
	floodBacklog = 160
	rushBacklog  = 60
	lookupRate   = 20.0
	orderRate    = 5.0
	promptWords  = 48
	sharedWords  = 32
	demoSeed     = 7
	settleTime   = 4 * time.Second // after which callers hang up
)

// Teams of the demonstration.
const (
	FloodTeam = "night" // floods with bulk work from all hosts, then with urgent work
	RushTeam  = "rush"  // is backlogged at one host
)

// DemoTeams returns the names of the teams of the demonstration.
func DemoTeams() []string {
	teams := []string{FloodTeam, RushTeam}
	for i := range smallTeams {
		teams = append(teams, smallTeam(i))
	}
	return teams
}

func smallTeam(n int) string { return fmt.Sprintf("crew%d", n+1) }

func at(d time.Duration) settings.Duration { return settings.Duration{Duration: d} }

// Plan returns the load of the demonstration: a third of the time without a
// flood, a third with a bulk flood, and a third with an urgent one.
func (f *Fleet) Plan(length time.Duration) load.Plan {
	third := length / 3
	p := load.Plan{Seed: demoSeed, Length: at(length), Settle: at(settleTime)}
	for _, n := range f.Entries {
		p.Entries = append(p.Entries, n.Settings.Listen)
		p.Status = append(p.Status, n.Settings.Status)
	}
	for _, t := range f.Targets {
		p.Targets = append(p.Targets, load.Target{Address: t.Address, Service: t.Service})
	}
	p.Phases = []load.Phase{
		{Name: "quiet", From: at(0), Until: at(third)},
		{Name: "bulk flood", From: at(third), Until: at(2 * third), Flood: true},
		{Name: "urgent flood", From: at(2 * third), Until: at(length), Flood: true},
	}
	p.Streams = append(p.Streams, f.floods(third, length)...)
	for i := range smallTeams {
		p.Streams = append(p.Streams, small(i))
	}
	p.Streams = append(p.Streams, desk()...)
	return p
}

func (f *Fleet) floods(third, length time.Duration) []load.Stream {
	flood := load.Stream{
		Name: "bulk flood", Team: FloodTeam, Key: Key(FloodTeam), Service: "model", Kind: load.KindModel,
		Backlog: floodBacklog, Urgency: "bulk", Least: 40, Most: 160, Prompt: promptWords, Shared: sharedWords,
		From: at(third), Until: at(2 * third), Flood: true,
	}
	urgent := flood
	urgent.Name, urgent.Urgency, urgent.From, urgent.Until = "urgent flood", "urgent", at(2*third), at(length)
	rush := flood
	rush.Name, rush.Team, rush.Key, rush.Urgency = "rush", RushTeam, Key(RushTeam), "normal"
	rush.Backlog, rush.Least, rush.Most, rush.Entries, rush.Until = rushBacklog, 10, 60, []int{0}, at(length)
	return []load.Stream{flood, urgent, rush}
}

func small(n int) load.Stream {
	s := load.Stream{
		Name: smallTeam(n), Team: smallTeam(n), Key: Key(smallTeam(n)), Service: "model", Kind: load.KindModel,
		Rate: smallRate, Urgency: "urgent", Least: smallLeast, Most: smallMost, Prompt: promptWords, Shared: sharedWords,
	}
	switch n % 4 {
	case 1:
		s.Urgency = "normal"
	case 3:
		s.Kind, s.Urgency = load.KindWhole, "normal"
	}
	return s
}

func desk() []load.Stream {
	lookups := load.Stream{
		Name: "lookups", Team: smallTeam(0), Key: Key(smallTeam(0)), Service: "desk", Kind: load.KindPlain,
		Rate: lookupRate, Least: 10, Most: 40, Prompt: 8,
	}
	orders := load.Stream{
		Name: "orders", Team: smallTeam(1), Key: Key(smallTeam(1)), Service: "desk", Kind: load.KindOrder,
		Rate: orderRate, Least: 10, Most: 40, Prompt: 8, Twice: 0.3,
	}
	return []load.Stream{lookups, orders}
}
