package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
)

// TeamRow is a team as the dispatch sees it.
type TeamRow struct {
	Team
	Name string
}

// ServiceRow is a service with its defaults filled in.
type ServiceRow struct {
	Service
	Name string
}

// PlaceRow is a place with the numbers of all other places, the nearest first.
type PlaceRow struct {
	Name   string
	Number uint32
	Near   []uint32
}

// TargetRow is a target with its references resolved to numbers.
type TargetRow struct {
	Name    string
	Number  uint32
	Service uint32
	Place   uint32
	Address netip.AddrPort
	Slots   int
	Leaving bool
}

// View is an index of a checked set. It does not change.
type View struct {
	Set      *Set
	Teams    map[uint32]*TeamRow
	Services map[uint32]*ServiceRow
	Places   map[uint32]*PlaceRow
	Targets  map[uint32]*TargetRow
	keys     map[string][]uint32
}

// NewView indexes a set.
func NewView(s *Set) *View {
	v := &View{
		Set:      s,
		Teams:    map[uint32]*TeamRow{},
		Services: map[uint32]*ServiceRow{},
		Places:   map[uint32]*PlaceRow{},
		Targets:  map[uint32]*TargetRow{},
		keys:     map[string][]uint32{},
	}
	for name, t := range s.Teams {
		t.Weight = orElse(t.Weight, 1)
		v.Teams[t.Number] = &TeamRow{Team: t, Name: name}
	}
	for name, service := range s.Services {
		v.Services[service.Number] = &ServiceRow{Service: service.withDefaults(), Name: name}
	}
	for name, p := range s.Places {
		v.Places[p.Number] = &PlaceRow{Name: name, Number: p.Number, Near: s.near(name)}
	}
	for name, t := range s.Targets {
		v.Targets[t.Number] = s.targetRow(name, t)
	}
	for _, k := range s.Keys {
		for _, team := range k.Teams {
			v.keys[k.Digest] = append(v.keys[k.Digest], s.Teams[team].Number)
		}
	}
	return v
}

func (s *Set) targetRow(name string, t Target) *TargetRow {
	return &TargetRow{
		Name:    name,
		Number:  t.Number,
		Service: s.Services[t.Service].Number,
		Place:   s.Places[t.Place].Number,
		Address: t.Address,
		Slots:   t.Slots,
		Leaving: t.Leaving,
	}
}

// near returns all other places: first those named as near, then the rest.
func (s *Set) near(name string) []uint32 {
	names := slices.Clone(s.Places[name].Near)
	for _, other := range tables[Places].names(s) {
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

// Speaks returns the numbers of the teams that the bearer of a key speaks for.
// It returns false if no key has this digest.
func (v *View) Speaks(key []byte) ([]uint32, bool) {
	sum := sha256.Sum256(key)
	teams, ok := v.keys[hex.EncodeToString(sum[:])]
	return teams, ok
}

// TeamNumber returns the number of a team, or 0.
func (v *View) TeamNumber(name string) uint32 { return v.Set.Teams[name].Number }

// ServiceNumber returns the number of a service, or 0.
func (v *View) ServiceNumber(name string) uint32 { return v.Set.Services[name].Number }

// PlaceNumber returns the number of a place, or 0.
func (v *View) PlaceNumber(name string) uint32 { return v.Set.Places[name].Number }
