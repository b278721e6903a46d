// Package ctl implements the operators' command line. It calls the administration
// API and prints the answers as tables or as JSON.
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
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/publish"
)

// callTimeout bounds one call of the API.
const callTimeout = 15 * time.Second

var (
	// ErrConflict means that an object has changed since the revision that the call
	// names, or that the call names none.
	ErrConflict = errors.New("conflict")
	// ErrInvalid means that the API rejected the request as invalid, or that a file
	// can't be read.
	ErrInvalid = errors.New("invalid")
	// ErrUnreachable means that the API or the platform behind it could not be reached.
	ErrUnreachable = errors.New("unreachable")
	// ErrMissing means that the object does not exist.
	ErrMissing = errors.New("missing")
)

// Client calls the administration API.
type Client struct {
	base string
	key  string
	http *fasthttp.Client
}

// NewClient returns a Client of the API at address. key is the operator's bearer key.
func NewClient(address netip.AddrPort, key string) *Client {
	return &Client{base: "http://" + address.String(), key: key, http: link.NewClient()}
}

// call sends one request and decodes the JSON answer into result. match is the value
// of the If-Match header, or empty. The error is marked ErrConflict, ErrInvalid,
// ErrMissing or ErrUnreachable, unless the answer can't be decoded.
func (c *Client) call(method, path, match string, body []byte, result any) error {
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
		return fault.Mark(err, ErrUnreachable)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return responseError(response)
	}
	return errors.Wrap(json.Unmarshal(response.Body(), result), "decode answer of the API")
}

// responseError returns the error that an answer other than 200 describes, marked by
// its status.
func responseError(response *fasthttp.Response) error {
	var f admin.ErrorResponse
	if err := json.Unmarshal(response.Body(), &f); err != nil {
		return fault.Mark(errors.Newf("status %d", response.StatusCode()), ErrUnreachable)
	}
	sentinel := ErrInvalid
	switch response.StatusCode() {
	case fasthttp.StatusConflict, fasthttp.StatusPreconditionRequired:
		sentinel = ErrConflict
	case fasthttp.StatusNotFound:
		sentinel = ErrMissing
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusInternalServerError:
		sentinel = ErrUnreachable
	}
	return fault.Mark(errors.Newf("%s: %s", f.Code, f.Message), sentinel)
}

// NewestConfiguration returns the newest configuration.
func (c *Client) NewestConfiguration() (*catalog.Set, error) {
	set := catalog.NewSet()
	return set, c.call(fasthttp.MethodGet, admin.PathSet, "", nil, set)
}

// Revision returns the configuration of a revision.
func (c *Client) Revision(revision uint64) (*catalog.Set, error) {
	set := catalog.NewSet()
	return set, c.call(fasthttp.MethodGet, admin.PathRevisions+strconv.FormatUint(revision, 10), "", nil, set)
}

// List returns all objects of a kind.
func (c *Client) List(kind string) (*admin.ObjectList, error) {
	var list admin.ObjectList
	return &list, c.call(fasthttp.MethodGet, admin.PathObjects+kind, "", nil, &list)
}

// Get returns one object.
func (c *Client) Get(kind, name string) (*admin.Object, error) {
	var object admin.Object
	return &object, c.call(fasthttp.MethodGet, admin.PathObjects+kind+"/"+name, "", nil, &object)
}

// Put creates or replaces an object. match is the revision in which it last changed, 0
// for a new object.
func (c *Client) Put(kind, name string, match uint64, body []byte) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathObjects + kind + "/" + name
	return &result, c.call(fasthttp.MethodPut, path, strconv.FormatUint(match, 10), body, &result)
}

// Delete removes an object. match is the revision in which it last changed.
func (c *Client) Delete(kind, name string, match uint64) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathObjects + kind + "/" + name
	return &result, c.call(fasthttp.MethodDelete, path, strconv.FormatUint(match, 10), nil, &result)
}

// Validate returns the problems that the newest configuration would have with a
// document applied. It changes nothing.
func (c *Client) Validate(document []byte) (*admin.Problems, error) {
	var problems admin.Problems
	return &problems, c.call(fasthttp.MethodPost, admin.PathValidate, "", document, &problems)
}

// Diff returns the changes that applying a document would make. With prune, objects
// that the document lacks are removed, of the kinds that it names.
func (c *Client) Diff(document []byte, prune bool) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := admin.PathDiff + "?prune=" + strconv.FormatBool(prune)
	return &result, c.call(fasthttp.MethodPost, path, "", document, &result)
}

// Apply applies a document. An object that changed after the base revision is a
// conflict. With prune, objects that the document lacks are removed, of the kinds that
// it names.
func (c *Client) Apply(document []byte, base uint64, prune bool) (*admin.ChangeResult, error) {
	var result admin.ChangeResult
	path := fmt.Sprintf("%s?base=%d&prune=%t", admin.PathApply, base, prune)
	return &result, c.call(fasthttp.MethodPost, path, "", document, &result)
}

// Audit returns up to limit records of the audit trail, from after a revision.
func (c *Client) Audit(after uint64, limit int) ([]publish.AuditEntry, error) {
	var entries []publish.AuditEntry
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "limit": {strconv.Itoa(limit)}}
	return entries, c.call(fasthttp.MethodGet, admin.PathAudit+"?"+query.Encode(), "", nil, &entries)
}

// Status returns the current state of the fleet.
func (c *Client) Status() (*admin.FleetStatus, error) {
	var status admin.FleetStatus
	return &status, c.call(fasthttp.MethodGet, admin.PathStatus, "", nil, &status)
}
