package catalog

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

// ErrStep means that a step does not follow a set.
var ErrStep = errors.New("step does not follow the set")

// Change is one object that differs between two sets. Body is absent if the
// object was removed.
type Change struct {
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Step is the difference between two sets.
type Step struct {
	From    uint64   `json:"from"`
	To      uint64   `json:"to"`
	Last    uint32   `json:"last"`
	Digest  uint64   `json:"digest"` // digest of the set after the step
	Changes []Change `json:"changes"`
}

// Diff returns the step that leads from one set to another.
func Diff(from, to *Set) Step {
	step := Step{From: from.Revision, To: to.Revision, Last: to.Last, Digest: to.Digest()}
	for _, kind := range Kinds() {
		t := tables[kind]
		for _, name := range t.names(from) {
			if _, ok := t.get(to, name); !ok {
				step.Changes = append(step.Changes, Change{Kind: kind, Name: name})
			}
		}
		for _, name := range t.names(to) {
			body, _, _ := to.Get(kind, name)
			former, _, err := from.Get(kind, name)
			if err != nil || !bytes.Equal(former, body) {
				step.Changes = append(step.Changes, Change{Kind: kind, Name: name, Body: body})
			}
		}
	}
	return step
}

// Apply returns the set after a step. The error is marked ErrStep if the step
// starts elsewhere or does not lead to its digest.
func (s *Set) Apply(step Step) (*Set, error) {
	if step.From != s.Revision {
		return nil, errors.Wrapf(ErrStep, "set has revision %d and step starts at %d", s.Revision, step.From)
	}
	next := s.Clone()
	for _, change := range step.Changes {
		t, ok := tables[change.Kind]
		if !ok {
			return nil, errors.Wrapf(ErrStep, "kind %q", change.Kind)
		}
		if change.Body == nil {
			t.drop(next, change.Name)
			continue
		}
		if err := t.put(next, change.Name, change.Body); err != nil {
			return nil, fault.Mark(err, ErrStep)
		}
	}
	next.Revision = step.To
	next.Last = step.Last
	if next.Digest() != step.Digest {
		return nil, errors.Wrapf(ErrStep, "digest of revision %d differs", step.To)
	}
	return next, nil
}
