// Package origin knows which software version of a service began a stream, so that a client that takes the stream up
// gets it from the same version, also after all hosts started again.
//
// The store has a row for each service with the versions that were listed (History). While a service is mixed, it also
// has a row for each stream (Table). The package does no input or output.
package origin

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Window is the least time after which a version that is not listed any more has no streams that a client could take up.
// It covers a client's deadline, and the time for which a host that is cut off from the store may still begin streams at
// a target that left. Services with longer streams have a longer window.
const Window = 40 * time.Second

// retention is the time for which a row keeps a version that is not listed any more. It bounds the window of a service.
const retention = time.Hour

// maxVersions bounds the versions that a row keeps. More are only listed if the entries of targets are wrong.
const maxVersions = 64

// Moment is a point in time by the store: its era, 0 if it does not number its eras, and its clock.
type Moment struct {
	Era    uint64
	Now    time.Duration
	Window time.Duration // that of the service, Window if it is shorter
}

// window returns the window that applies to a history.
func (m Moment) window() time.Duration { return max(Window, m.Window) }

// Listing is a version of a service as its History names it.
type Listing struct {
	Version string
	Gone    time.Duration // time of the store since which the version is not listed, 0 while it is
}

// History names the versions that targets of a service had. A host uses targets of a version only once the history in
// the store names it, so that all versions that can have begun a stream are in it.
type History struct {
	Era       uint64        // era of the store in which it was written; in a later one, versions may be missing
	Uncertain time.Duration // time of the store until which versions may be missing
	Listings  []Listing     // ordered by version
}

// Certain returns whether the history names all versions that were listed within the window.
func (h *History) Certain(at Moment) bool { return h.Era == at.Era && at.Now >= h.Uncertain }

// recent returns the number of versions that were listed within the window, and one of them.
func (h *History) recent(at Moment) (count int, version string) {
	for _, l := range h.Listings {
		if l.Gone == 0 || at.Now-l.Gone < at.window() {
			count, version = count+1, l.Version
		}
	}
	return count, version
}

// Only returns the version that all streams of the service began at, if there is only one that is possible.
func (h *History) Only(at Moment) (version string, ok bool) {
	count, version := h.recent(at)
	return version, count == 1 && h.Certain(at)
}

// Mixed returns whether the origin of each stream has to be kept.
func (h *History) Mixed(at Moment) bool {
	count, _ := h.recent(at)
	return count > 1 || !h.Certain(at)
}

// Names returns whether targets of a version may be used. In a later era than that of the history, they were used
// before already.
func (h *History) Names(version string) bool {
	return slices.ContainsFunc(h.Listings, func(l Listing) bool { return l.Version == version && l.Gone == 0 })
}

// Matches returns whether the history says of exactly these versions that they are listed, in an era of the store.
func (h *History) Matches(versions []string, era uint64) bool {
	listed := 0
	for _, l := range h.Listings {
		if l.Gone == 0 {
			listed++
		}
	}
	return h.Era == era && listed == len(versions) && !slices.ContainsFunc(versions, func(v string) bool { return !h.Names(v) })
}

// NewHistory returns the history of a service that has no row in the store. If the store came back from a copy
// before, the row may have been lost with it, so that versions may be missing.
func NewHistory(at Moment, restored bool) History {
	h := History{Era: at.Era}
	if restored {
		h.Uncertain = at.Now + at.window()
	}
	return h
}

// Update returns the history after a read of the list of targets. All versions in the list are named. Others are marked
// as gone if dropGone is set. A history of an earlier era becomes uncertain.
func (h *History) Update(versions []string, at Moment, dropGone bool) History {
	next := History{Era: at.Era, Uncertain: h.Uncertain}
	if h.Era != at.Era {
		next.Uncertain = at.Now + at.window()
	}
	for _, l := range h.Listings {
		switch {
		case slices.Contains(versions, l.Version):
			continue
		case l.Gone == 0 && dropGone:
			l.Gone = max(1, at.Now)
		case l.Gone != 0 && at.Now-l.Gone >= retention:
			continue
		}
		next.Listings = append(next.Listings, l)
	}
	for _, version := range versions {
		next.Listings = append(next.Listings, Listing{Version: version})
	}
	return next.bounded(at)
}

// bounded returns the history ordered by version. If it has too many versions, those that are not listed go first, and
// what is left is uncertain.
func (h History) bounded(at Moment) History {
	if len(h.Listings) > maxVersions {
		slices.SortStableFunc(h.Listings, func(a, b Listing) int { return cmp.Compare(min(a.Gone, 1), min(b.Gone, 1)) })
		h.Listings, h.Uncertain = h.Listings[:maxVersions], at.Now+at.window()
	}
	slices.SortFunc(h.Listings, func(a, b Listing) int { return strings.Compare(a.Version, b.Version) })
	return h
}

// Equal returns whether two histories say the same.
func (h *History) Equal(other History) bool {
	return h.Era == other.Era && h.Uncertain == other.Uncertain && slices.Equal(h.Listings, other.Listings)
}
