package catalog

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

// ErrStep marks the error of a step that can't be applied to a set, or whose result
// differs from the expected one.
var ErrStep = errors.New("step does not follow the set")

// Change describes one object that differs between two sets. Body is the new JSON
// of the object, or nil if it was removed.
type Change struct {
	Kind string          `json:"kind"`
	Name string          `json:"name"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Step holds the changes that turn the set with revision From into the set with
// revision To.
type Step struct {
	From       uint64   `json:"from"`
	To         uint64   `json:"to"`
	LastNumber uint32   `json:"last"`   // value of Set.LastNumber after the step
	Digest     uint64   `json:"digest"` // digest of the set after the step, to verify the result
	Changes    []Change `json:"changes"`
}

// Diff returns the step that turns one set into another.
func Diff(from, to *Set) Step {
	step := Step{From: from.Revision, To: to.Revision, LastNumber: to.LastNumber, Digest: to.Digest()}
	for _, kind := range Kinds() {
		a := accessors[kind]
		for _, name := range a.names(from) {
			if _, ok := a.get(to, name); !ok {
				step.Changes = append(step.Changes, Change{Kind: kind, Name: name})
			}
		}
		for _, name := range a.names(to) {
			body, _, _ := to.Get(kind, name)
			former, _, err := from.Get(kind, name)
			if err != nil || !bytes.Equal(former, body) {
				step.Changes = append(step.Changes, Change{Kind: kind, Name: name, Body: body})
			}
		}
	}
	return step
}

// Apply returns a new set with the changes of a step. The error is marked ErrStep if
// the step starts at another revision, holds an invalid change, or gives a set whose
// digest differs from that in the step.
func (s *Set) Apply(step Step) (*Set, error) {
	if step.From != s.Revision {
		return nil, errors.Wrapf(ErrStep, "set has revision %d and step starts at %d", s.Revision, step.From)
	}
	next := s.Clone()
	for _, change := range step.Changes {
		a, ok := accessors[change.Kind]
		if !ok {
			return nil, errors.Wrapf(ErrStep, "kind %q", change.Kind)
		}
		if change.Body == nil {
			a.remove(next, change.Name)
			continue
		}
		if err := a.put(next, change.Name, change.Body); err != nil {
			return nil, fault.Mark(err, ErrStep)
		}
	}
	next.Revision = step.To
	next.LastNumber = step.LastNumber
	if next.Digest() != step.Digest {
		return nil, errors.Wrapf(ErrStep, "digest of revision %d differs", step.To)
	}
	return next, nil
}
