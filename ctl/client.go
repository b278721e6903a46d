// Package ctl is the operator's command line: it talks to the administration
// API and prints tables or JSON.
package ctl

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/publish"
)

const callTimeout = 15 * time.Second

var (
	// ErrConflict means that an object changed meanwhile.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that the API did not accept what was sent.
	ErrInvalid = errors.New("invalid")
	// ErrDown means that the API or the platform was not reached.
	ErrDown = errors.New("not reached")
	// ErrMissing means that there is no such object.
	ErrMissing = errors.New("missing")
)

// Client calls the administration API.
type Client struct {
	base string
	key  string
	http fasthttp.Client
}

// NewClient returns a Client of the API at an address.
func NewClient(address netip.AddrPort, key string) *Client {
	return &Client{base: "http://" + address.String(), key: key}
}

// call makes one call and decodes the answer. The error is marked ErrConflict,
// ErrInvalid, ErrMissing or ErrDown.
func (c *Client) call(method, path, match string, body []byte, into any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	if match != "" {
		request.Header.Set(fasthttp.HeaderIfMatch, match)
	}
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, response, callTimeout); err != nil {
		return fault.Mark(err, ErrDown)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return failure(response)
	}
	return errors.Wrap(json.Unmarshal(response.Body(), into), "decode answer")
}

// failure returns the error that an answer tells.
func failure(response *fasthttp.Response) error {
	var f admin.ErrorResponse
	if err := json.Unmarshal(response.Body(), &f); err != nil {
		return fault.Mark(errors.Newf("status %d", response.StatusCode()), ErrDown)
	}
	kind := ErrInvalid
	switch response.StatusCode() {
	case fasthttp.StatusConflict, fasthttp.StatusPreconditionRequired:
		kind = ErrConflict
	case fasthttp.StatusNotFound:
		kind = ErrMissing
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusInternalServerError:
		kind = ErrDown
	}
	return fault.Mark(errors.Newf("%s: %s", f.Code, f.Message), kind)
}

// Set returns the newest configuration.
func (c *Client) Set() (*catalog.Set, error) {
	set := catalog.NewSet()
	return set, c.call(fasthttp.MethodGet, admin.PathSet, "", nil, set)
}

// Revision returns a former configuration.
func (c *Client) Revision(revision uint64) (*catalog.Set, error) {
	set := catalog.NewSet()
	return set, c.call(fasthttp.MethodGet, admin.PathRevisions+strconv.FormatUint(revision, 10), "", nil, set)
}

// List returns the objects of a kind.
func (c *Client) List(kind string) (*admin.ObjectList, error) {
	var list admin.ObjectList
	return &list, c.call(fasthttp.MethodGet, admin.PathObjects+kind, "", nil, &list)
}

// Get returns one object.
func (c *Client) Get(kind, name string) (*admin.Object, error) {
	var object admin.Object
	return &object, c.call(fasthttp.MethodGet, admin.PathObjects+kind+"/"+name, "", nil, &object)
}

// Put sets an object. match is the revision that last changed it, 0 if it is new.
func (c *Client) Put(kind, name string, match uint64, body []byte) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathObjects + kind + "/" + name
	return &result, c.call(fasthttp.MethodPut, path, strconv.FormatUint(match, 10), body, &result)
}

// Delete removes an object. match is the revision that last changed it.
func (c *Client) Delete(kind, name string, match uint64) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathObjects + kind + "/" + name
	return &result, c.call(fasthttp.MethodDelete, path, strconv.FormatUint(match, 10), nil, &result)
}

// Validate returns the problems of a document applied to the newest set.
func (c *Client) Validate(document []byte) (*admin.Problems, error) {
	var problems admin.Problems
	return &problems, c.call(fasthttp.MethodPost, admin.PathValidate, "", document, &problems)
}

// Diff returns what a document would change.
func (c *Client) Diff(document []byte, prune bool) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathDiff + "?prune=" + strconv.FormatBool(prune)
	return &result, c.call(fasthttp.MethodPost, path, "", document, &result)
}

// Apply applies a document. An object that changed after the base revision is
// a conflict.
func (c *Client) Apply(document []byte, base uint64, prune bool) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := fmt.Sprintf("%s?base=%d&prune=%t", admin.PathApply, base, prune)
	return &result, c.call(fasthttp.MethodPost, path, "", document, &result)
}

// Audit returns records of the audit trail after a revision.
func (c *Client) Audit(after uint64, limit int) ([]publish.AuditEntry, error) {
	var entries []publish.AuditEntry
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	return entries, c.call(fasthttp.MethodGet, admin.PathAudit+"?"+query.Encode(), "", nil, &entries)
}

// Live returns the live state of the fleet.
func (c *Client) Live() (*admin.FleetStatus, error) {
	var live admin.FleetStatus
	return &live, c.call(fasthttp.MethodGet, admin.PathStatus, "", nil, &live)
}
