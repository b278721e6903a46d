package gateway

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cassiachute/cassiachute/placement"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	peerForget = time.Minute // without news from a host that the store lists
	maxCrashes = 64          // crashes told in one news
)

// contact is another host.
type contact struct {
	met    time.Time // when it was named or heard of last
	boot   uint64
	number uint64
	heard  bool
	age    time.Duration // of what it knows from the store
	reader bool          // it reads the store
	place  string        // data centre
	owner  bool          // it decides about targets: it is not shutting down, nor late
	away   bool          // it asks the balancer for no new connections
}

// contacts are the other hosts of the fleet.
type contacts struct {
	self netip.AddrPort
	mu   sync.Mutex
	rows map[netip.AddrPort]*contact

	asked int // queries so far
}

func newContacts(self netip.AddrPort) *contacts {
	return &contacts{self: self, rows: map[netip.AddrPort]*contact{}}
}

// meet takes the address of a host that the store or the settings name. News are sent to IPv4
// addresses alone.
func (c *contacts) meet(address netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.self || !address.Addr().Is4() {
		return
	}
	if row := c.rows[address]; row != nil {
		return
	}
	c.rows[address] = &contact{met: now}
}

// hear takes the number of news. It returns false if newer ones came before, and
// whether the host was silent until now. After a silence any process counts, since
// the time of day by which processes are told apart may have been set back.
func (c *contacts) hear(address netip.AddrPort, m *wire.News, now time.Time) (fresh, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row := c.rows[address]
	if row == nil {
		row = &contact{}
		c.rows[address] = row
	}
	earlier := row.heard && m.Boot < row.boot
	if earlier || m.Boot == row.boot && m.Number <= row.number {
		return false, false
	}
	first = !row.heard
	row.met, row.boot, row.number, row.heard = now, m.Boot, m.Number, true
	row.age, row.reader = time.Duration(m.Age)*time.Millisecond, m.Reader
	row.place, row.owner, row.away = m.Place, !m.Leaving && !m.Away, m.Away
	return true, first
}

// silent returns the hosts that were heard of and are silent now, each once.
func (c *contacts) silent(now time.Time) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := placement.PeerLife(len(c.rows) + 1)
	var list []netip.AddrPort
	for address, row := range c.rows {
		if now.Sub(row.met) > peerForget {
			delete(c.rows, address)
		}
		if row.heard && now.Sub(row.met) > limit {
			row.heard = false
			list = append(list, address)
		}
	}
	return list
}

// sightings returns the hosts that are heard of.
func (c *contacts) sightings() []sighting {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []sighting
	for address, row := range c.rows {
		if row.heard {
			list = append(list, sighting{address: address, fresh: row.age < staleAge, reader: row.reader})
		}
	}
	return list
}

// owners returns the hosts that decide about targets, in the order of their numbers.
func (c *contacts) owners() []placement.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []placement.Host
	for address, row := range c.rows {
		if row.heard && row.owner {
			list = append(list, placement.Host{ID: peerNumber(address), Place: row.place})
		}
	}
	slices.SortFunc(list, func(a, b placement.Host) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// ages returns the time since each host was heard of, by address.
func (c *contacts) ages(now time.Time) map[netip.AddrPort]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := make(map[netip.AddrPort]time.Duration, len(c.rows))
	for address, row := range c.rows {
		ages[address] = now.Sub(row.met)
	}
	return ages
}

// turn returns the host that is to be asked next: one of those that read the store,
// or any that is heard of if the knowledge of all is old.
func (c *contacts) turn() (netip.AddrPort, bool) {
	heard := c.sightings()
	if len(heard) == 0 {
		return netip.AddrPort{}, false
	}
	if slices.ContainsFunc(heard, sighting.current) {
		heard = slices.DeleteFunc(heard, func(s sighting) bool { return !s.current() })
	}
	slices.SortFunc(heard, func(a, b sighting) int { return a.address.Compare(b.address) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	return heard[c.asked%len(heard)].address, true
}

// list returns all hosts.
func (c *contacts) list() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(c.rows))
	for address := range c.rows {
		list = append(list, address)
	}
	return list
}

// near returns the hosts of a data centre and those whose data centre is not known.
func (c *contacts) near(place string) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []netip.AddrPort
	for address, row := range c.rows {
		if row.place == "" || row.place == place {
			list = append(list, address)
		}
	}
	return list
}

func (c *contacts) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows)
}

// tell sends the news of this host to the others, those of other data centres now and then.
func (g *Gateway) tell() time.Duration {
	hosts := g.peers.list()
	if len(hosts) == 0 {
		return placement.NewsPeriod(1)
	}
	period, farEvery := placement.NewsPeriod(len(hosts)+1), uint64(placement.FarNewsEvery(len(hosts)+1))
	if g.number%farEvery != 0 {
		hosts = g.peers.near(g.settings.Place)
	}
	defer g.record.busy.since(activityNews, time.Now())
	g.number++
	news := g.core.newsOut(time.Now())
	news.Boot, news.Number, news.Place = g.boot, g.number, g.settings.Place
	news.Leaving, news.Reader = g.stopping(), g.duty() == reader
	news.Away = g.stopping() || g.core.away()
	news.Age = ageField(max(g.core.age(), g.known.targetsAge()))
	if table := g.core.view.Load(); table != nil {
		news.Revision = table.Version
	}
	if err := g.mesh.Send(news, hosts); err != nil {
		g.record.peerFailed(err)
	} else {
		g.record.peersReached()
	}
	return period
}

// newsOut returns what the core tells.
func (c *core) newsOut(now time.Time) *wire.News {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.board.News(now)
	out := &wire.News{}
	for _, l := range n.Loads {
		out.Loads = append(out.Loads, wire.TargetLoad{
			Target: l.Target, PromptTokens: uint32(l.Load.Prompt), Running: uint32(l.Load.Running), MemoryTokens: uint32(l.Load.Memory),
		})
	}
	for _, d := range n.Demands {
		out.Demands = append(out.Demands, wire.TeamDemand{
			Service: d.Service, Team: d.Demand.Team, Received: uint32(d.Demand.Received), Asked: uint32(d.Demand.Asked),
		})
	}
	for _, d := range n.Departures {
		out.Departures = append(out.Departures, departureMessage(now, d))
	}
	for _, p := range n.Pauses {
		out.Pauses = append(out.Pauses, wire.Pause{Target: p.Target, Left: toMillis(p.Until.Sub(now))})
	}
	for digest, count := range c.news {
		if len(out.Crashes) == maxCrashes {
			break
		}
		out.Crashes = append(out.Crashes, wire.Crash{Digest: digest, Count: count})
	}
	return out
}

// hear takes the news of another host.
func (g *Gateway) hear(from netip.AddrPort, m *wire.News) {
	now := time.Now()
	fresh, first := g.peers.hear(from, m, now)
	if !fresh {
		return
	}
	if first {
		g.record.peer(from, m.Place, true)
	}
	n := placement.News{}
	for _, l := range m.Loads {
		n.Loads = append(n.Loads, placement.TargetLoad{Target: l.Target, Load: placement.Load{
			Prompt: int(l.PromptTokens), Running: int(l.Running), Memory: int(l.MemoryTokens),
		}})
	}
	for _, d := range m.Demands {
		n.Demands = append(n.Demands, placement.ServiceDemand{Service: d.Service, Demand: placement.Demand{
			Team: d.Team, Received: float64(d.Received), Asked: float64(d.Asked),
		}})
	}
	for n := range m.Departures {
		g.departed(from, &m.Departures[n])
	}
	for _, p := range m.Pauses {
		n.Pauses = append(n.Pauses, placement.Pause{Target: p.Target, Until: now.Add(fromMillis(p.Left))})
	}
	for _, crash := range m.Crashes {
		g.core.suspect(crash.Digest, crash.Count)
	}
	g.core.learn(now, peerNumber(from), n)
}
