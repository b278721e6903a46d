package admin

import (
	"encoding/json"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

// Paths of the administration API.
const (
	PathObjects   = "/v1/objects/" // followed by a kind, or by kind/name
	PathSet       = "/v1/set"
	PathValidate  = "/v1/validate"
	PathDiff      = "/v1/diff"
	PathApply     = "/v1/apply"
	PathRevisions = "/v1/revisions/" // followed by a revision number
	PathAudit     = "/v1/audit"
	PathStatus    = "/v1/status"
)

// Object is the response to a request for one configuration object.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"` // revision in which it last changed, to be sent as If-Match
	Body     json.RawMessage `json:"body"`
}

// ObjectList is the response to a request for all objects of a kind. Revision is that
// of the configuration they were read from.
type ObjectList struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Document is the request body for validating, comparing or applying several objects.
// For each kind it maps names to JSON; objects of an absent kind are left unchanged.
type Document struct {
	Teams    map[string]json.RawMessage `json:"teams,omitempty"`
	Keys     map[string]json.RawMessage `json:"keys,omitempty"`
	Places   map[string]json.RawMessage `json:"places,omitempty"`
	Services map[string]json.RawMessage `json:"services,omitempty"`
	Targets  map[string]json.RawMessage `json:"targets,omitempty"`
}

// ObjectsOf returns the objects of a kind by name, or nil if the kind is absent or unknown.
func (d *Document) ObjectsOf(kind string) map[string]json.RawMessage {
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

// ChangeResult is the response to a change, or to a request for the differences that a
// change would make.
type ChangeResult struct {
	Revision uint64           `json:"revision"`
	Changes  []catalog.Change `json:"changes,omitempty"`
}

// Problems is the response to a validation. The list is empty if the configuration
// is valid.
type Problems struct {
	Problems []catalog.Problem `json:"problems"`
}

// ErrorResponse is the response to a request that failed.
type ErrorResponse struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Object   string `json:"object,omitempty"`   // kind and name of the object that caused a conflict
	Revision uint64 `json:"revision,omitempty"` // revision in which that object last changed
}

// FleetStatus is the current state of the fleet, as the entry hosts report it.
type FleetStatus struct {
	Hosts   []entry.Status `json:"hosts"`
	Missing []string       `json:"missing,omitempty"` // addresses of hosts that did not respond
}
