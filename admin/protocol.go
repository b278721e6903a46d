package admin

import (
	"encoding/json"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

// Paths of the API.
const (
	PathObjects   = "/v1/objects/" // then kind, and kind/name
	PathSet       = "/v1/set"
	PathValidate  = "/v1/validate"
	PathDiff      = "/v1/diff"
	PathApply     = "/v1/apply"
	PathRevisions = "/v1/revisions/" // then a number
	PathAudit     = "/v1/audit"
	PathStatus    = "/v1/status"
)

// Object is one object with its head.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"` // revision that last changed it; the value for If-Match
	Body     json.RawMessage `json:"body"`
}

// Objects is a list of objects of a kind.
type Objects struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Document is a set of objects as an operator writes it. A kind that is absent
// is left alone.
type Document struct {
	Teams    map[string]json.RawMessage `json:"teams,omitempty"`
	Keys     map[string]json.RawMessage `json:"keys,omitempty"`
	Places   map[string]json.RawMessage `json:"places,omitempty"`
	Services map[string]json.RawMessage `json:"services,omitempty"`
	Targets  map[string]json.RawMessage `json:"targets,omitempty"`
}

// Of returns the objects of a kind.
func (d *Document) Of(kind string) map[string]json.RawMessage {
	switch kind {
	case catalog.Teams:
		return d.Teams
	case catalog.Keys:
		return d.Keys
	case catalog.Places:
		return d.Places
	case catalog.Services:
		return d.Services
	case catalog.Targets:
		return d.Targets
	default:
		return nil
	}
}

// Result answers a change.
type Result struct {
	Revision uint64           `json:"revision"`
	Changes  []catalog.Change `json:"changes,omitempty"`
}

// Problems answers a set that does not hold together.
type Problems struct {
	Problems []catalog.Problem `json:"problems"`
}

// Failure answers a call that failed.
type Failure struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Object   string `json:"object,omitempty"`   // object in conflict
	Revision uint64 `json:"revision,omitempty"` // revision that changed it
}

// Live is the live state of the fleet.
type Live struct {
	Hosts   []entry.Status `json:"hosts"`
	Missing []string       `json:"missing,omitempty"` // hosts that did not answer
}
