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

// errRevisionRequired is the error of a change to an existing object without an
// If-Match header.
var errRevisionRequired = errors.New("the object exists: name its revision in If-Match")

// conflictError reports an object that was modified since the operator read it.
type conflictError struct {
	object   string // kind and name, such as "teams/red"
	revision uint64 // revision in which the object last changed
}

// Error names the object and the revision that changed it.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s was changed in revision %d", e.object, e.revision)
}

// Is reports whether target is publish.ErrConflict, for errors.Is.
func (e *conflictError) Is(target error) bool { return target == publish.ErrConflict }

// checkRevision verifies that an object is unchanged since the operator read it. The
// revision is that of the If-Match header, where 0 means that the object must not
// exist; hasRevision tells whether the header was present.
func checkRevision(set *catalog.Set, kind, name string, revision uint64, hasRevision bool) error {
	_, head, err := set.Get(kind, name)
	if errors.Is(err, catalog.ErrNotFound) {
		if revision != 0 {
			return &conflictError{object: kind + "/" + name, revision: set.Revision}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if !hasRevision {
		return errRevisionRequired
	}
	if head.Revision != revision {
		return &conflictError{object: kind + "/" + name, revision: head.Revision}
	}
	return nil
}

// putObject returns a change that creates or replaces an object if its revision
// matches.
func putObject(kind, name string, body []byte, revision uint64, hasRevision bool) publish.ChangeFunc {
	return func(set *catalog.Set) error {
		if err := checkRevision(set, kind, name, revision, hasRevision); err != nil {
			return err
		}
		return set.Put(kind, name, body)
	}
}

// deleteObject returns a change that removes an object if its revision matches.
func deleteObject(kind, name string, revision uint64, hasRevision bool) publish.ChangeFunc {
	return func(set *catalog.Set) error {
		if err := checkRevision(set, kind, name, revision, hasRevision); err != nil {
			return err
		}
		return set.Remove(kind, name)
	}
}

// applyDocument returns a change that creates or replaces all objects of a document.
// With prune, it also removes the objects that the document lacks, for each kind that
// the document contains. To modify or remove an object that changed after the base
// revision is a conflict.
func applyDocument(d *Document, base uint64, prune bool) publish.ChangeFunc {
	return func(set *catalog.Set) error {
		for _, kind := range catalog.Kinds() {
			objects := d.ObjectsOf(kind)
			for _, name := range slices.Sorted(maps.Keys(objects)) {
				if err := applyObject(set, kind, name, objects[name], base); err != nil {
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

// applyObject creates or replaces one object. It returns a conflictError if that
// modifies an object that changed after the base revision.
func applyObject(set *catalog.Set, kind, name string, body json.RawMessage, base uint64) error {
	_, head, err := set.Get(kind, name)
	if err != nil && !errors.Is(err, catalog.ErrNotFound) {
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

// pruneSet removes the objects that the document lacks, for each kind that the
// document contains. It returns a conflictError if such an object changed after the
// base revision.
func pruneSet(set *catalog.Set, d *Document, base uint64) error {
	for _, kind := range catalog.Kinds() {
		objects := d.ObjectsOf(kind)
		if objects == nil {
			continue
		}
		names, err := set.Names(kind)
		if err != nil {
			return err
		}
		for _, name := range names {
			if _, ok := objects[name]; ok {
				continue
			}
			if _, head, _ := set.Get(kind, name); head.Revision > base {
				return &conflictError{object: kind + "/" + name, revision: head.Revision}
			}
			if err := set.Remove(kind, name); err != nil {
				return err
			}
		}
	}
	return nil
}
