package admin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/publish"
)

// errPrecondition means that a change of an existing object names no revision.
var errPrecondition = errors.New("the object exists: name its revision in If-Match")

// conflictError names the object that changed meanwhile.
type conflictError struct {
	object   string
	revision uint64
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s was changed in revision %d", e.object, e.revision)
}

// Is makes errors.Is find publish.ErrConflict.
func (e *conflictError) Is(target error) bool { return target == publish.ErrConflict }

// expect checks that an object is as the operator knows it. match is the
// revision that last changed it, or 0 if it must not exist.
func expect(set *catalog.Set, kind, name string, match uint64, given bool) error {
	_, head, err := set.Get(kind, name)
	if errors.Is(err, catalog.ErrMissing) {
		if match != 0 {
			return &conflictError{object: kind + "/" + name, revision: set.Revision}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if !given {
		return errPrecondition
	}
	if head.Revision != match {
		return &conflictError{object: kind + "/" + name, revision: head.Revision}
	}
	return nil
}

func putObject(kind, name string, body []byte, match uint64, given bool) publish.Change {
	return func(set *catalog.Set) error {
		if err := expect(set, kind, name, match, given); err != nil {
			return err
		}
		return set.Put(kind, name, body)
	}
}

func dropObject(kind, name string, match uint64, given bool) publish.Change {
	return func(set *catalog.Set) error {
		if err := expect(set, kind, name, match, given); err != nil {
			return err
		}
		return set.Drop(kind, name)
	}
}

// applyDocument puts all objects of a document. With prune, objects of the
// kinds that it names and that it lacks are removed. An object that changed
// after the base revision is a conflict.
func applyDocument(d *Document, base uint64, prune bool) publish.Change {
	return func(set *catalog.Set) error {
		for _, kind := range catalog.Kinds() {
			rows := d.Of(kind)
			for _, name := range slices.Sorted(maps.Keys(rows)) {
				if err := applyObject(set, kind, name, rows[name], base); err != nil {
					return err
				}
			}
		}
		if prune {
			return pruneSet(set, d, base)
		}
		return nil
	}
}

func applyObject(set *catalog.Set, kind, name string, body json.RawMessage, base uint64) error {
	_, head, err := set.Get(kind, name)
	if err != nil && !errors.Is(err, catalog.ErrMissing) {
		return err
	}
	if err := set.Put(kind, name, body); err != nil {
		return err
	}
	_, after, err := set.Get(kind, name)
	if err != nil {
		return err
	}
	if after.Revision != head.Revision && head.Revision > base {
		return &conflictError{object: kind + "/" + name, revision: head.Revision}
	}
	return nil
}

func pruneSet(set *catalog.Set, d *Document, base uint64) error {
	for _, kind := range catalog.Kinds() {
		rows := d.Of(kind)
		if rows == nil {
			continue
		}
		names, err := set.Names(kind)
		if err != nil {
			return err
		}
		for _, name := range names {
			if _, ok := rows[name]; ok {
				continue
			}
			if _, head, _ := set.Get(kind, name); head.Revision > base {
				return &conflictError{object: kind + "/" + name, revision: head.Revision}
			}
			if err := set.Drop(kind, name); err != nil {
				return err
			}
		}
	}
	return nil
}
