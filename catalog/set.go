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

// Kind names of objects, as they stand in the API and in settings.
const (
	Teams    = "teams"
	Keys     = "keys"
	Services = "services"
	Places   = "places"
	Targets  = "targets"
)

// Kinds lists the kinds in the order that references allow.
func Kinds() []string { return []string{Teams, Keys, Places, Services, Targets} }

var (
	// ErrKind means that a kind of object does not exist.
	ErrKind = errors.New("unknown kind of object")
	// ErrMissing means that an object does not exist.
	ErrMissing = errors.New("no such object")
	// ErrBody means that the JSON of an object is malformed or has an unknown field.
	ErrBody = errors.New("malformed object")
)

// Set is a whole configuration. A published Set does not change.
type Set struct {
	Revision uint64             `json:"revision"`
	Last     uint32             `json:"last"` // highest number given to an object so far
	Teams    map[string]Team    `json:"teams"`
	Keys     map[string]Key     `json:"keys"`
	Services map[string]Service `json:"services"`
	Places   map[string]Place   `json:"places"`
	Targets  map[string]Target  `json:"targets"`
}

// NewSet returns an empty set of revision 0.
func NewSet() *Set {
	return &Set{
		Teams:    map[string]Team{},
		Keys:     map[string]Key{},
		Services: map[string]Service{},
		Places:   map[string]Place{},
		Targets:  map[string]Target{},
	}
}

// ParseSet reads a set from JSON. An unknown field is an error marked ErrBody.
func ParseSet(body []byte) (*Set, error) {
	set := NewSet()
	if err := strict(body, set); err != nil {
		return nil, err
	}
	return set, nil
}

// Encode returns the canonical JSON of the set.
func (s *Set) Encode() []byte {
	body, err := json.Marshal(s)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode set"))
	}
	return body
}

// Digest returns a hash of the canonical JSON.
func (s *Set) Digest() uint64 { return xxhash.Sum64(s.Encode()) }

// Clone returns a copy that can be changed.
func (s *Set) Clone() *Set {
	c := *s
	c.Teams = cloneMap(s.Teams)
	c.Keys = cloneMap(s.Keys)
	c.Services = cloneMap(s.Services)
	c.Places = cloneMap(s.Places)
	c.Targets = cloneMap(s.Targets)
	return &c
}

func cloneMap[T any](m map[string]T) map[string]T {
	c := make(map[string]T, len(m))
	for name, object := range m {
		c[name] = object
	}
	return c
}

// table gives uniform access to the objects of one kind.
type table struct {
	names  func(s *Set) []string
	get    func(s *Set, name string) (any, bool)
	put    func(s *Set, name string, body []byte) error
	drop   func(s *Set, name string)
	head   func(s *Set, name string) Head
	assign func(s *Set, name string, head Head)
}

func newTable[T any](rows func(s *Set) map[string]T, head func(t *T) *Head) table {
	return table{
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
			if err := strict(body, &object); err != nil {
				return err
			}
			rows(s)[name] = object
			return nil
		},
		drop: func(s *Set, name string) { delete(rows(s), name) },
		head: func(s *Set, name string) Head {
			object := rows(s)[name]
			return *head(&object)
		},
		assign: func(s *Set, name string, h Head) {
			object := rows(s)[name]
			*head(&object) = h
			rows(s)[name] = object
		},
	}
}

var tables = map[string]table{
	Teams:    newTable(func(s *Set) map[string]Team { return s.Teams }, func(t *Team) *Head { return &t.Head }),
	Keys:     newTable(func(s *Set) map[string]Key { return s.Keys }, func(k *Key) *Head { return &k.Head }),
	Services: newTable(func(s *Set) map[string]Service { return s.Services }, func(v *Service) *Head { return &v.Head }),
	Places:   newTable(func(s *Set) map[string]Place { return s.Places }, func(p *Place) *Head { return &p.Head }),
	Targets:  newTable(func(s *Set) map[string]Target { return s.Targets }, func(t *Target) *Head { return &t.Head }),
}

// Names returns the sorted names of the objects of a kind. The error is ErrKind.
func (s *Set) Names(kind string) ([]string, error) {
	t, ok := tables[kind]
	if !ok {
		return nil, errors.Wrapf(ErrKind, "%q", kind)
	}
	return t.names(s), nil
}

// Get returns the JSON and the head of an object. The error is ErrKind or
// ErrMissing.
func (s *Set) Get(kind, name string) ([]byte, Head, error) {
	t, ok := tables[kind]
	if !ok {
		return nil, Head{}, errors.Wrapf(ErrKind, "%q", kind)
	}
	object, ok := t.get(s, name)
	if !ok {
		return nil, Head{}, errors.Wrapf(ErrMissing, "%s/%s", kind, name)
	}
	body, err := json.Marshal(object)
	return body, t.head(s, name), err
}

// Put sets an object from JSON and keeps the head that it had. The error is
// ErrKind or ErrBody.
func (s *Set) Put(kind, name string, body []byte) error {
	t, ok := tables[kind]
	if !ok {
		return errors.Wrapf(ErrKind, "%q", kind)
	}
	former, _ := t.get(s, name)
	head := t.head(s, name)
	if err := t.put(s, name, body); err != nil {
		return errors.Wrapf(err, "%s/%s", kind, name)
	}
	t.assign(s, name, head)
	current, _ := t.get(s, name)
	if !reflect.DeepEqual(former, current) {
		t.assign(s, name, Head{Number: head.Number})
	}
	return nil
}

// Drop removes an object. The error is ErrKind or ErrMissing.
func (s *Set) Drop(kind, name string) error {
	if _, _, err := s.Get(kind, name); err != nil {
		return err
	}
	tables[kind].drop(s, name)
	return nil
}

// Seal gives the set a revision, numbers to new objects, and the revision to
// changed ones.
func (s *Set) Seal(revision uint64) {
	s.Revision = revision
	for _, kind := range Kinds() {
		t := tables[kind]
		for _, name := range t.names(s) {
			head := t.head(s, name)
			if head.Number == 0 {
				s.Last++
				head.Number = s.Last
			}
			if head.Revision == 0 {
				head.Revision = revision
			}
			t.assign(s, name, head)
		}
	}
}

// strict decodes JSON and refuses unknown fields and trailing data.
func strict(body []byte, value any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		return fault.Mark(errors.Wrap(err, "decode"), ErrBody)
	}
	if dec.More() {
		return errors.Wrap(ErrBody, "data after the object")
	}
	return nil
}
