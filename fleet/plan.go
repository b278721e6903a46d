package fleet

import (
	"fmt"
	"time"

	"github.com/cassiachute/cassiachute/load"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	smallTeams        = 8
	smallRate         = 7.0 // requests per second of one small team
	smallMinTokens    = 20
	smallMaxTokens    = 100
	floodBacklog      = 160
	singleHostBacklog = 60
	lookupRate        = 20.0
	orderRate         = 5.0
	promptWords       = 48
	sharedWords       = 32
	demoSeed          = 7
	settleTime        = 4 * time.Second // time after the run until callers disconnect
)

// Teams of the demonstration.
const (
	FloodTeam      = "night" // sends a flood of bulk requests through all hosts, then one of urgent requests
	BackloggedTeam = "rush"  // keeps a backlog of requests at one host
)

// DemoTeams returns the names of the teams of the demonstration.
func DemoTeams() []string {
	teams := []string{FloodTeam, BackloggedTeam}
	for i := range smallTeams {
		teams = append(teams, smallTeam(i))
	}
	return teams
}

func smallTeam(n int) string { return fmt.Sprintf("crew%d", n+1) }

func settingsDuration(d time.Duration) settings.Duration { return settings.Duration{Duration: d} }

// Plan returns the load of the demonstration: a third of the time without a flood,
// a third with a flood of bulk requests, and a third with a flood of urgent
// requests.
func (f *Fleet) Plan(length time.Duration) load.Plan {
	third := length / 3
	p := load.Plan{Seed: demoSeed, Length: settingsDuration(length), Settle: settingsDuration(settleTime)}
	for _, n := range f.Entries {
		p.Entries = append(p.Entries, n.Settings.Listen)
		p.Status = append(p.Status, n.Settings.Status)
	}
	for _, t := range f.Targets {
		p.Targets = append(p.Targets, load.Target{Address: t.Address, Service: t.Service})
	}
	p.Phases = []load.Phase{
		{Name: "quiet", From: settingsDuration(0), Until: settingsDuration(third)},
		{Name: "bulk flood", From: settingsDuration(third), Until: settingsDuration(2 * third), Flood: true},
		{Name: "urgent flood", From: settingsDuration(2 * third), Until: settingsDuration(length), Flood: true},
	}
	p.Streams = append(p.Streams, f.floodStreams(third, length)...)
	for i := range smallTeams {
		p.Streams = append(p.Streams, smallTeamStream(i))
	}
	p.Streams = append(p.Streams, plainStreams()...)
	return p
}

// floodStreams returns the streams of the flood team, and that of the team with a
// backlog at one host.
func (f *Fleet) floodStreams(third, length time.Duration) []load.Stream {
	bulkFlood := load.Stream{
		Name: "bulk flood", Team: FloodTeam, Key: Key(FloodTeam), Service: "model", Kind: load.KindStreaming,
		Backlog: floodBacklog, Urgency: "bulk", MinSize: 40, MaxSize: 160, PromptWords: promptWords, SharedWords: sharedWords,
		From: settingsDuration(third), Until: settingsDuration(2 * third), Flood: true,
	}
	urgentFlood := bulkFlood
	urgentFlood.Name, urgentFlood.Urgency, urgentFlood.From, urgentFlood.Until = "urgent flood", "urgent", settingsDuration(2*third), settingsDuration(length)
	backlog := bulkFlood
	backlog.Name, backlog.Team, backlog.Key, backlog.Urgency = "rush", BackloggedTeam, Key(BackloggedTeam), "normal"
	backlog.Backlog, backlog.MinSize, backlog.MaxSize, backlog.Entries, backlog.Until = singleHostBacklog, 10, 60, []int{0}, settingsDuration(length)
	return []load.Stream{bulkFlood, urgentFlood, backlog}
}

// smallTeamStream returns the stream of a small team. The teams differ in urgency,
// and every fourth does not stream its answers.
func smallTeamStream(n int) load.Stream {
	s := load.Stream{
		Name: smallTeam(n), Team: smallTeam(n), Key: Key(smallTeam(n)), Service: "model", Kind: load.KindStreaming,
		Rate: smallRate, Urgency: "urgent", MinSize: smallMinTokens, MaxSize: smallMaxTokens, PromptWords: promptWords, SharedWords: sharedWords,
	}
	switch n % 4 {
	case 1:
		s.Urgency = "normal"
	case 3:
		s.Kind, s.Urgency = load.KindNonStreaming, "normal"
	}
	return s
}

// plainStreams returns the streams of lookups and orders for the plain service.
func plainStreams() []load.Stream {
	lookups := load.Stream{
		Name: "lookups", Team: smallTeam(0), Key: Key(smallTeam(0)), Service: "desk", Kind: load.KindPlain,
		Rate: lookupRate, MinSize: 10, MaxSize: 40, PromptWords: 8,
	}
	orders := load.Stream{
		Name: "orders", Team: smallTeam(1), Key: Key(smallTeam(1)), Service: "desk", Kind: load.KindOrder,
		Rate: orderRate, MinSize: 10, MaxSize: 40, PromptWords: 8, DuplicateShare: 0.3,
	}
	return []load.Stream{lookups, orders}
}
