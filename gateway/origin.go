package gateway

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/origin"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/route"
	"github.com/cassiachute/cassiachute/wire"
)

const (
	versionGoneAfter      = 3 * time.Second        // for which the list of targets lacks a version before it is marked as gone
	historyMismatchPeriod = time.Second            // between reads of a history that names more versions than are listed
	historyMixedPeriod    = 5 * time.Second        // between reads of the history of a mixed service; another host may have marked a version as gone
	historyConflicts      = 4                      // tries to write a history that other hosts write as well
	originMargin          = 10 * time.Second       // added to the longest stream of a service, for hosts that are cut off from the store
	firstEra              = 1                      // highest number of the era of a store that never came back from a copy
	unknownRetryAfter     = 500 * time.Millisecond // Retry-After of a take-up of unknown origin, whose row may just be on its way
	unreadRetryAfter      = 300 * time.Millisecond // the same if the store can't be read
	goneRetryAfter        = 2 * time.Second        // the same if no target has the version; entries that expired while the store was away are back by then
)

// originTable keeps what this host knows of the versions of services and of those that began streams.
type originTable struct {
	gateway *Gateway
	streams *origin.Table

	mu       sync.Mutex
	services map[string]*serviceVersions
	era      uint64            // newest era of the store
	withheld map[string]string // versions of targets that are withheld, by ID
	followed time.Duration     // time since boot of the last look at a list that another host read
}

// serviceVersions is what a host knows of the versions of one service.
type serviceVersions struct {
	reads       *origin.Reads[platform.HistoryRow] // for take-ups
	row         platform.HistoryRow                // as read or written last
	readAt      time.Duration                      // time since boot, 0 before the first read
	listed      []string                           // versions in the list of targets, sorted
	listedSince time.Duration                      // time since boot
}

// newOriginTable returns an originTable that knows nothing.
func newOriginTable(g *Gateway) *originTable {
	return &originTable{gateway: g, streams: origin.NewTable(), services: map[string]*serviceVersions{}, withheld: map[string]string{}}
}

// service returns what is known of a service. The caller holds the lock.
func (o *originTable) service(name string) *serviceVersions {
	s := o.services[name]
	if s == nil {
		s = &serviceVersions{reads: &origin.Reads[platform.HistoryRow]{Read: func() (platform.HistoryRow, error) { return o.fetchHistory(name) }}}
		o.services[name] = s
	}
	return s
}

// fetchHistory reads the history of a service from the store.
func (o *originTable) fetchHistory(service string) (platform.HistoryRow, error) {
	row, err := o.gateway.client.VersionHistory(service)
	o.gateway.recordStoreCall("versions", err)
	row.At.Window = o.gateway.core.originWindow(service)
	return row, err
}

// originWindow returns the time for which clients may take up streams of a service that began before: the longest time
// limit of its streams, and a margin for hosts that are cut off from the store.
func (c *core) originWindow(service string) time.Duration {
	longest := time.Duration(0)
	if table := c.table.Load(); table != nil {
		for i := range table.Routes {
			r := &table.Routes[i]
			if r.Resumable && slices.ContainsFunc(r.Shares, func(s route.Share) bool { return s.Service == service }) {
				longest = max(longest, r.TimeLimit(0))
			}
		}
	}
	return longest + originMargin
}

// readHistory reads the history of a service from the store and keeps it.
func (o *originTable) readHistory(service string) (platform.HistoryRow, error) {
	asked := sinceBoot()
	row, err := o.fetchHistory(service)
	if err == nil {
		o.setHistory(service, row, asked)
	}
	return row, err
}

// setHistory stores the history of a service as it was read or written at a time since boot.
func (o *originTable) setHistory(service string, row platform.HistoryRow, at time.Duration) {
	o.mu.Lock()
	s := o.service(service)
	changed := !s.row.History.Equal(row.History)
	s.row, s.readAt = row, at
	o.mu.Unlock()
	o.noteEra(row.At.Era)
	if changed {
		o.gateway.record.versionsChanged(service, row)
	}
}

// noteEra notes the newest era of the store. In a new one, the rows of streams may be lost, so they are written again; at the
// first one there are none yet.
func (o *originTable) noteEra(era uint64) {
	o.mu.Lock()
	lost := era > o.era
	o.era = max(o.era, era)
	o.mu.Unlock()
	if lost {
		o.streams.Forgotten()
	}
}

// moment returns the present time by the store.
func (s *serviceVersions) moment(era uint64) origin.Moment {
	return origin.Moment{Era: era, Now: s.row.At.Now + sinceBoot() - s.readAt, Window: s.row.At.Window}
}

// mixed returns whether the origins of a service's streams are kept in the store.
func (o *originTable) mixed(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.row.Found && s.row.History.Mixed(s.moment(o.era))
}

// setListed stores the versions in the list of targets, and returns whether the history of the service has to be read.
func (o *originTable) setListed(service string, versions []string) (due, dropGone bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, now := o.service(service), sinceBoot()
	if !slices.Equal(s.listed, versions) {
		s.listed, s.listedSince = versions, now
	}
	h, age := &s.row.History, now-s.readAt
	unnamed := slices.ContainsFunc(versions, func(v string) bool { return !h.Names(v) })
	switch {
	case !s.row.Found || unnamed || h.Era != o.era:
		due = len(versions) > 0
	case !h.Matches(versions, o.era):
		due = age > historyMismatchPeriod
	case h.Mixed(s.moment(o.era)):
		due = age > historyMixedPeriod
	}
	return due, now-s.listedSince >= versionGoneAfter
}

// names returns whether targets of a version of a service may be used.
func (o *originTable) names(service, version string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	return s != nil && s.row.Found && s.row.History.Names(version)
}

// nameVersions makes the store name all versions of a service that are listed. The error is one of the store.
func (o *originTable) nameVersions(service string, versions []string, dropGone bool) error {
	g := o.gateway
	err := platform.ErrConflict
	for tries := 0; tries < historyConflicts && errors.Is(err, platform.ErrConflict); tries++ {
		row, readErr := o.readHistory(service)
		if readErr != nil {
			return readErr
		}
		before := row.History
		if !row.Found {
			before = origin.NewHistory(row.At, row.At.Era > firstEra || g.client.History().Restores() > 0)
		}
		next := before.Update(versions, row.At, dropGone)
		if row.Found && next.Equal(row.History) {
			return nil
		}
		asked := sinceBoot()
		if err = g.client.PutVersionHistory(service, row, next); err == nil {
			o.setHistory(service, platform.HistoryRow{History: next, Found: true, At: row.At}, asked)
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			g.recordStoreCall("versions", err)
		}
	}
	return err
}

// unnamed returns the versions of targets that the store does not name, by ID. A target that is in use at its version
// is not among them: the store named that before it came into use, here or at the host that told it.
func (o *originTable) unnamed(targets map[string]route.Target) map[string]string {
	inUse := o.gateway.storeCache.versionsInUse()
	list := map[string]string{}
	for id, t := range targets {
		if version, ok := inUse[id]; (!ok || version != t.Version) && !o.names(t.Service, t.Version) {
			list[id] = t.Version
		}
	}
	return list
}

// readNamed returns the update of the list of targets that records all that were read, and uses those whose versions the
// store names.
func (o *originTable) readNamed() listingUpdate {
	return func(l *route.Listing, now time.Time, targets []route.Target) []route.Target {
		byID := map[string]route.Target{}
		list := l.Read(now, targets)
		for _, t := range list {
			byID[t.ID] = t
		}
		withheld := o.unnamed(byID)
		return slices.DeleteFunc(list, func(t route.Target) bool { _, ok := withheld[t.ID]; return ok })
	}
}

// nameListed makes the store name the versions in the list of targets, as this host read it from the store. What
// can't be named is due again at the next call. It returns whether it called the store.
func (o *originTable) nameListed(targets map[string]route.Target) (called bool) {
	listed := versionsByService(maps.Values(targets))
	for _, service := range o.knownServices(listed) {
		if due, dropGone := o.setListed(service, listed[service]); due {
			called = true
			_ = o.nameVersions(service, listed[service], dropGone) // the error is logged
		}
	}
	return called
}

// recordWithheld logs the targets that are withheld, if they changed.
func (o *originTable) recordWithheld(withheld map[string]string) {
	o.mu.Lock()
	changed := !maps.Equal(o.withheld, withheld)
	o.withheld = withheld
	o.mu.Unlock()
	if changed {
		o.gateway.record.targetsWithheld(withheld)
	}
}

// decode returns the valid targets of a list, by key.
func (o *originTable) decode(rows []wire.TargetRow) map[string]route.Target {
	g := o.gateway
	g.targetsMu.Lock()
	defer g.targetsMu.Unlock()
	targets := make(map[string]route.Target, len(rows))
	for _, row := range rows {
		if t, ok := g.decodeTarget(row); ok {
			targets[row.Key] = t
		}
	}
	return targets
}

// knownServices returns the services in a list and those known before.
func (o *originTable) knownServices(listed map[string][]string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := map[string]bool{}
	for service := range listed {
		names[service] = true
	}
	for service := range o.services {
		names[service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// versionsByService returns the versions of the targets of each service, sorted.
func versionsByService(list iter.Seq[route.Target]) map[string][]string {
	versions := map[string][]string{}
	for t := range list {
		if !slices.Contains(versions[t.Service], t.Version) {
			versions[t.Service] = append(versions[t.Service], t.Version)
		}
	}
	for _, names := range versions {
		slices.Sort(names)
	}
	return versions
}

// versionsChanged records what the store names now as the versions of a service.
func (r *recorder) versionsChanged(service string, row platform.HistoryRow) {
	var listed, gone []string
	for _, l := range row.History.Listings {
		if l.Gone == 0 {
			listed = append(listed, l.Version)
		} else {
			gone = append(gone, l.Version)
		}
	}
	r.log.Info().Str("event", eventVersions).Str("service", service).Strs("listed", listed).Strs("gone", gone).
		Bool("found", row.Found).Uint64("era", row.At.Era).Bool("mixed", row.History.Mixed(row.At)).Send()
}

// targetsWithheld records the targets that are not used until the store names their versions.
func (r *recorder) targetsWithheld(targets map[string]string) {
	event := r.log.Info()
	if len(targets) > 0 {
		event = r.log.Warn()
	}
	event.Str("event", eventWithheld).Strs("targets", slices.Sorted(maps.Keys(targets))).
		Strs("versions", slices.Compact(slices.Sorted(maps.Values(targets)))).Send()
}
