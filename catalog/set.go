package catalog

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

// Kinds of objects, as named in the API, in problem paths and in the JSON of a Set.
const (
	Teams    = "teams"
	Keys     = "keys"
	Services = "services"
	Places   = "places"
	Targets  = "targets"
)

// Kinds returns all kinds of objects. A kind follows the kinds that it refers to,
// so objects created in this order never refer to a missing one.
func Kinds() []string { return []string{Teams, Keys, Places, Services, Targets} }

var (
	// ErrUnknownKind marks the error of a lookup with an unknown kind of object.
	ErrUnknownKind = errors.New("unknown kind of object")
	// ErrNotFound marks the error of a lookup for an object that does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrMalformed marks the error of JSON that is malformed or has an unknown field.
	ErrMalformed = errors.New("malformed object")
)

// Set is a complete configuration: all objects by kind and name. A published Set
// must not be modified; Clone returns a copy that can be.
type Set struct {
	Revision   uint64             `json:"revision"`
	LastNumber uint32             `json:"last"` // highest object number assigned so far
	Teams      map[string]Team    `json:"teams"`
	Keys       map[string]Key     `json:"keys"`
	Services   map[string]Service `json:"services"`
	Places     map[string]Place   `json:"places"`
	Targets    map[string]Target  `json:"targets"`
}

// NewSet returns an empty set with revision 0.
func NewSet() *Set {
	return &Set{
		Teams:    map[string]Team{},
		Keys:     map[string]Key{},
		Services: map[string]Service{},
		Places:   map[string]Place{},
		Targets:  map[string]Target{},
	}
}

// ParseSet decodes a set from JSON. The error is marked ErrMalformed if the JSON is
// malformed, has an unknown field, or is followed by more data.
func ParseSet(body []byte) (*Set, error) {
	set := NewSet()
	if err := decodeStrict(body, set); err != nil {
		return nil, err
	}
	return set, nil
}

// Encode returns the canonical JSON encoding of the set, from which Digest is
// computed.
func (s *Set) Encode() []byte {
	body, err := json.Marshal(s)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode set"))
	}
	return body
}

// Digest returns the 64-bit xxHash of the canonical JSON encoding.
func (s *Set) Digest() uint64 { return xxhash.Sum64(s.Encode()) }

// Clone returns a copy of the set whose objects can be added, replaced and removed
// without affecting the original.
func (s *Set) Clone() *Set {
	c := *s
	c.Teams = cloneMap(s.Teams)
	c.Keys = cloneMap(s.Keys)
	c.Services = cloneMap(s.Services)
	c.Places = cloneMap(s.Places)
	c.Targets = cloneMap(s.Targets)
	return &c
}

// cloneMap returns a shallow copy of a map; the copy of a nil map is empty.
func cloneMap[T any](m map[string]T) map[string]T {
	c := make(map[string]T, len(m))
	for name, object := range m {
		c[name] = object
	}
	return c
}

// accessor holds the operations on the objects of one kind, so that code can handle
// all kinds alike.
type accessor struct {
	names   func(s *Set) []string
	get     func(s *Set, name string) (any, bool)
	put     func(s *Set, name string, body []byte) error
	remove  func(s *Set, name string)
	head    func(s *Set, name string) Metadata
	setHead func(s *Set, name string, head Metadata)
}

// newAccessor returns the accessor for objects of type T. The function rows returns
// the map that holds them in a set, and head the metadata of an object.
func newAccessor[T any](rows func(s *Set) map[string]T, head func(t *T) *Metadata) accessor {
	return accessor{
		names: func(s *Set) []string {
			var names []string
			for name := range rows(s) {
				names = append(names, name)
			}
			slices.Sort(names)
			return names
		},
		get: func(s *Set, name string) (any, bool) {
			object, ok := rows(s)[name]
			return object, ok
		},
		put: func(s *Set, name string, body []byte) error {
			var object T
			if err := decodeStrict(body, &object); err != nil {
				return err
			}
			rows(s)[name] = object
			return nil
		},
		remove: func(s *Set, name string) { delete(rows(s), name) },
		head: func(s *Set, name string) Metadata {
			object := rows(s)[name]
			return *head(&object)
		},
		setHead: func(s *Set, name string, h Metadata) {
			object := rows(s)[name]
			*head(&object) = h
			rows(s)[name] = object
		},
	}
}

// accessors holds the accessor of each kind.
var accessors = map[string]accessor{
	Teams:    newAccessor(func(s *Set) map[string]Team { return s.Teams }, func(t *Team) *Metadata { return &t.Metadata }),
	Keys:     newAccessor(func(s *Set) map[string]Key { return s.Keys }, func(k *Key) *Metadata { return &k.Metadata }),
	Services: newAccessor(func(s *Set) map[string]Service { return s.Services }, func(v *Service) *Metadata { return &v.Metadata }),
	Places:   newAccessor(func(s *Set) map[string]Place { return s.Places }, func(p *Place) *Metadata { return &p.Metadata }),
	Targets:  newAccessor(func(s *Set) map[string]Target { return s.Targets }, func(t *Target) *Metadata { return &t.Metadata }),
}

// Names returns the sorted names of all objects of a kind. The error is marked
// ErrUnknownKind if the kind is unknown.
func (s *Set) Names(kind string) ([]string, error) {
	a, ok := accessors[kind]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownKind, "%q", kind)
	}
	return a.names(s), nil
}

// Get returns the JSON encoding and the metadata of an object. The error is marked
// ErrUnknownKind or ErrNotFound if there is no such kind or object.
func (s *Set) Get(kind, name string) ([]byte, Metadata, error) {
	a, ok := accessors[kind]
	if !ok {
		return nil, Metadata{}, errors.Wrapf(ErrUnknownKind, "%q", kind)
	}
	object, ok := a.get(s, name)
	if !ok {
		return nil, Metadata{}, errors.Wrapf(ErrNotFound, "%s/%s", kind, name)
	}
	body, err := json.Marshal(object)
	return body, a.head(s, name), err
}

// Put creates or replaces an object from JSON. An existing object keeps its number.
// It also keeps its revision if the JSON leaves it unchanged; otherwise the revision
// is 0 until Seal assigns one. The error is marked ErrUnknownKind or ErrMalformed.
func (s *Set) Put(kind, name string, body []byte) error {
	a, ok := accessors[kind]
	if !ok {
		return errors.Wrapf(ErrUnknownKind, "%q", kind)
	}
	former, _ := a.get(s, name)
	head := a.head(s, name)
	if err := a.put(s, name, body); err != nil {
		return errors.Wrapf(err, "%s/%s", kind, name)
	}
	a.setHead(s, name, head)
	current, _ := a.get(s, name)
	if !reflect.DeepEqual(former, current) {
		a.setHead(s, name, Metadata{Number: head.Number})
	}
	return nil
}

// Remove removes an object. The error is marked ErrUnknownKind or ErrNotFound if there is no
// such kind or object.
func (s *Set) Remove(kind, name string) error {
	if _, _, err := s.Get(kind, name); err != nil {
		return err
	}
	accessors[kind].remove(s, name)
	return nil
}

// Seal sets the revision of the set, assigns numbers to new objects, and sets the
// revision of new and changed objects.
func (s *Set) Seal(revision uint64) {
	s.Revision = revision
	for _, kind := range Kinds() {
		a := accessors[kind]
		for _, name := range a.names(s) {
			head := a.head(s, name)
			if head.Number == 0 {
				s.LastNumber++
				head.Number = s.LastNumber
			}
			if head.Revision == 0 {
				head.Revision = revision
			}
			a.setHead(s, name, head)
		}
	}
}

// decodeStrict decodes JSON into value. It rejects unknown fields and trailing data
// with an error marked ErrMalformed.
func decodeStrict(body []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fault.Mark(errors.Wrap(err, "decode"), ErrMalformed)
	}
	if dec.More() {
		return errors.Wrap(ErrMalformed, "data after the object")
	}
	return nil
}
