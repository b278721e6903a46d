package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
)

// TeamRow is a team with its name, and its weight set to 1 if it was unset.
type TeamRow struct {
	Team
	Name string
}

// ServiceRow is a service with its name, and its unset fields set to the defaults.
type ServiceRow struct {
	Service
	Name string
}

// PlaceRow is a place with the numbers of all other places, nearest first.
type PlaceRow struct {
	Name   string
	Number uint32
	Near   []uint32
}

// TargetRow is a target whose service and place are given by number, not by name.
type TargetRow struct {
	Name     string
	Number   uint32
	Service  uint32
	Place    uint32
	Address  netip.AddrPort
	Slots    int
	Draining bool
}

// View is an immutable index of a valid set. Its maps are keyed by object number.
type View struct {
	Set           *Set
	Teams         map[uint32]*TeamRow
	Services      map[uint32]*ServiceRow
	Places        map[uint32]*PlaceRow
	Targets       map[uint32]*TargetRow
	teamsByDigest map[string][]uint32
}

// NewView returns an index of a set, which must be valid as Set.CheckError defines
// it.
func NewView(s *Set) *View {
	v := &View{
		Set:           s,
		Teams:         map[uint32]*TeamRow{},
		Services:      map[uint32]*ServiceRow{},
		Places:        map[uint32]*PlaceRow{},
		Targets:       map[uint32]*TargetRow{},
		teamsByDigest: map[string][]uint32{},
	}
	for name, t := range s.Teams {
		t.Weight = orDefault(t.Weight, 1)
		v.Teams[t.Number] = &TeamRow{Team: t, Name: name}
	}
	for name, service := range s.Services {
		v.Services[service.Number] = &ServiceRow{Service: service.withDefaults(), Name: name}
	}
	for name, p := range s.Places {
		v.Places[p.Number] = &PlaceRow{Name: name, Number: p.Number, Near: s.placesByProximity(name)}
	}
	for name, t := range s.Targets {
		v.Targets[t.Number] = s.targetRow(name, t)
	}
	for _, k := range s.Keys {
		for _, team := range k.Teams {
			v.teamsByDigest[k.Digest] = append(v.teamsByDigest[k.Digest], s.Teams[team].Number)
		}
	}
	return v
}

// targetRow returns a target with its service and place resolved to numbers.
func (s *Set) targetRow(name string, t Target) *TargetRow {
	return &TargetRow{
		Name:     name,
		Number:   t.Number,
		Service:  s.Services[t.Service].Number,
		Place:    s.Places[t.Place].Number,
		Address:  t.Address,
		Slots:    t.Slots,
		Draining: t.Draining,
	}
}

// placesByProximity returns the numbers of all other places: first those listed in
// Place.Near, in that order, then the rest by name.
func (s *Set) placesByProximity(name string) []uint32 {
	names := slices.Clone(s.Places[name].Near)
	for _, other := range accessors[Places].names(s) {
		if other != name && !slices.Contains(names, other) {
			names = append(names, other)
		}
	}
	numbers := make([]uint32, 0, len(names))
	for _, other := range names {
		numbers = append(numbers, s.Places[other].Number)
	}
	return numbers
}

// TeamsForKey returns the numbers of the teams that the bearer of an API key may send
// requests for. It returns false if the key is unknown.
func (v *View) TeamsForKey(key []byte) ([]uint32, bool) {
	sum := sha256.Sum256(key)
	teams, ok := v.teamsByDigest[hex.EncodeToString(sum[:])]
	return teams, ok
}

// TeamNumber returns the number of the named team, or 0 if there is none.
func (v *View) TeamNumber(name string) uint32 { return v.Set.Teams[name].Number }

// ServiceNumber returns the number of the named service, or 0 if there is none.
func (v *View) ServiceNumber(name string) uint32 { return v.Set.Services[name].Number }

// PlaceNumber returns the number of the named place, or 0 if there is none.
func (v *View) PlaceNumber(name string) uint32 { return v.Set.Places[name].Number }
