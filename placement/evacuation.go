package placement

import (
	"slices"
	"time"

	"github.com/cassiachute/cassiachute/warmup"
)

// SetRegions sets the region of each data centre. A data centre without a region is in no allowed region.
func (b *Board) SetRegions(byPlace map[string]string) {
	b.regions = byPlace
	for _, r := range b.targets {
		r.region = byPlace[r.target.Place]
	}
}

// SetEvacuated sets the data centres whose targets get no new requests. Requests that run there continue.
// Prompts that are cached there get other preferred engines until the evacuation ends. Its targets count as suspected
// for a cold start from then on, since they may have become cold meanwhile.
func (b *Board) SetEvacuated(now time.Time, places []string) {
	b.evacuated = slices.Clone(places)
	for _, r := range b.targets {
		before := r.evacuated
		r.evacuated = b.isEvacuated(r.target.Place)
		if before && !r.evacuated && r.warmup.ReturnToUse(now) {
			b.recordColdChange(r, warmup.ReasonEvacuated)
		}
	}
	for _, p := range b.pools {
		p.epoch++
	}
}

// isEvacuated reports whether the targets of a data centre get no new requests.
func (b *Board) isEvacuated(place string) bool { return slices.Contains(b.evacuated, place) }

// closed reports whether the target gets no new requests from any host, since it is leaving or its data centre
// is evacuated.
func (r *targetRecord) closed() bool { return r.target.Leaving || r.evacuated }

// allows reports whether the request may be sent to targets of a region.
func (a *Request) allows(region string) bool {
	return len(a.Regions) == 0 || region != "" && slices.Contains(a.Regions, region)
}
