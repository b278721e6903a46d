package gateway

import (
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/origin"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	minBatchInterval = 200 * time.Millisecond // between batches of rows; streams that began since the last one are unknown after a kill
	batchPerHost     = 2 * time.Millisecond   // added to that per host of the fleet, to stay within the writes that the store takes
	batchPerNeighbor = 10 * time.Millisecond  // the same per host of the data centre, whose rows share a part of the store
	maxBatchRows     = 100                    // per call, as the store limits it
	maxBatches       = 8                      // calls in a row, when all open streams are written at once
	sweepPeriod      = time.Minute            // between looks for rows that nobody needs; longer than a stream lasts
)

// sync brings the rows of this host's streams up to date, and reads the histories of services whose list of targets
// changed if another host reads that list for this one. It returns the time until the next call.
func (o *originTable) sync() time.Duration {
	g := o.gateway
	interval := g.batchInterval()
	o.noteEra(g.client.History().Era())
	if g.storeRole() == roleAsker {
		o.followList()
	}
	for range maxBatches {
		b := o.streams.Pending(time.Now(), maxBatchRows, o.mixed)
		if b.Len() == 0 {
			break
		}
		err := g.client.PutOrigins(g.settings.Place, b)
		g.recordStoreCall("origins", err)
		if err != nil {
			return interval + storeRetryDelay
		}
		o.streams.Saved(b)
		if b.Len() < maxBatchRows {
			break
		}
	}
	return interval
}

// batchInterval returns the time between two batches of rows.
func (g *Gateway) batchInterval() time.Duration {
	fleet, neighbors := 1, 1
	for _, place := range g.peers.placesOfLive() {
		fleet++
		if place == g.settings.Place {
			neighbors++
		}
	}
	return max(minBatchInterval, time.Duration(fleet)*batchPerHost, time.Duration(neighbors)*batchPerNeighbor)
}

// followList reads the histories of services whose versions in the list of targets they do not match.
func (o *originTable) followList() {
	if sinceBoot()-o.followed < historyMismatchPeriod {
		return
	}
	o.followed = sinceBoot()
	listed := o.gateway.storeCache.versions()
	for _, service := range o.knownServices(listed) {
		if due, _ := o.setListed(service, listed[service]); due {
			_, _ = o.readHistory(service) // the error is logged
		}
	}
}

// versions returns the versions of the targets of each service.
func (c *storeCache) versions() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return versionsByService(slices.Values(c.targets))
}

// placesOfLive returns the data centre of each other host that is alive.
func (c *peerTable) placesOfLive() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, peer := range c.byAddress {
		if peer.alive {
			list = append(list, peer.place)
		}
	}
	return list
}

// originSweep removes the rows of streams that nobody takes up any more, in the part of the own data centre. Hosts
// that were killed leave them.
type originSweep struct {
	gateway *Gateway
	seen    map[origin.Key]uint64 // rows found by the last look, with their versions
	active  bool                  // a service was mixed since the last look, or that found rows
}

// sweep removes the rows that the last look found as well. It returns the time until the next call.
func (w *originSweep) sweep() time.Duration {
	if w.seen != nil && !w.active && !w.gateway.origins.anyMixed() || !w.gateway.sweepsPlace() {
		return sweepPeriod
	}
	rows, err := w.rows()
	w.gateway.recordStoreCall("origins", err)
	if err != nil {
		return sweepPeriod
	}
	var old []origin.Key
	found := make(map[origin.Key]uint64, len(rows))
	for _, row := range rows {
		if version, ok := w.seen[row.Key]; ok && version == row.Version {
			old = append(old, row.Key)
			continue
		}
		found[row.Key] = row.Version
	}
	w.seen, w.active = found, len(found) > 0
	for batch := range slices.Chunk(old, maxBatchRows) {
		err := w.gateway.client.PutOrigins(w.gateway.settings.Place, origin.Batch{Removals: batch})
		w.gateway.recordStoreCall("origins", err)
		if err != nil {
			w.active = true
			break
		}
	}
	return sweepPeriod
}

// rows reads all rows in the part of the own data centre.
func (w *originSweep) rows() ([]platform.OriginRow, error) {
	var all []platform.OriginRow
	for from := ""; ; {
		page, next, err := w.gateway.client.Origins(w.gateway.settings.Place, from)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if next == "" {
			return all, nil
		}
		from = next
	}
}

// anyMixed returns whether a service is mixed.
func (o *originTable) anyMixed() bool {
	for _, service := range o.knownServices(nil) {
		if o.mixed(service) {
			return true
		}
	}
	return false
}

// sweepsPlace returns whether this host is the one of its data centre that removes old rows.
func (g *Gateway) sweepsPlace() bool {
	return !slices.ContainsFunc(g.peers.liveIn(g.settings.Place), func(rank uint64) bool { return rank < hostRank(g.settings.Peer) })
}

// liveIn returns the ranks of the hosts of a data centre that are alive.
func (c *peerTable) liveIn(place string) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []uint64
	for address, peer := range c.byAddress {
		if peer.alive && peer.place == place {
			list = append(list, hostRank(address))
		}
	}
	return list
}
