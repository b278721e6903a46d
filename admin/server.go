package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	"github.com/cassiachute/cassiachute/settings"
)

// Limits and defaults of the Server.
const (
	bearerPrefix      = "Bearer "
	maxBodyBytes      = 16 << 20         // limit on a request body
	defaultAuditLimit = 50               // audit records in a response if the query has no limit
	maxAuditLimit     = 1000             // audit records in a response at most
	statusTimeout     = time.Second      // limit on requesting the state of one entry host
	readTimeout       = 10 * time.Second // limit on reading a request, including its body
	shutdownTimeout   = 3 * time.Second  // limit on waiting for requests in flight when stopping
)

// Server serves the administration API over HTTP.
type Server struct {
	settings     Settings
	log          zerolog.Logger
	store        *publish.Store
	listener     net.Listener
	server       *fasthttp.Server
	statusClient *fasthttp.Client
}

// Option configures a Server in New.
type Option func(s *Server)

// WithLog sets the logger. By default nothing is logged.
func WithLog(log zerolog.Logger) Option { return func(s *Server) { s.log = log } }

// New returns a Server that listens already and serves requests once Run is called.
// The error is marked settings.ErrInvalid if the settings are invalid.
func New(s Settings, options ...Option) (*Server, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	a := &Server{settings: s, log: zerolog.Nop(), statusClient: link.NewClient()}
	for _, option := range options {
		option(a)
	}
	a.store = publish.NewStore(platform.NewClient(s.Platform), time.Now)
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", s.Listen)
	}
	a.listener = listener
	a.server = &fasthttp.Server{
		Handler: a.handle, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true,
		ReadTimeout: readTimeout,
	}
	return a, nil
}

// Run serves requests until the context is cancelled. It then waits for requests in
// flight, up to shutdownTimeout.
func (a *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(a.listener) }()
	a.log.Info().Stringer("listen", a.settings.Listen).Msg("serving")
	select {
	case <-ctx.Done():
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return a.server.ShutdownWithContext(shutdownCtx)
	case err := <-served:
		return err
	}
}

// response is the status code of an HTTP response and the value to encode as its body.
type response struct {
	status int
	value  any
}

// okResponse returns a response with status 200.
func okResponse(value any) response { return response{status: fasthttp.StatusOK, value: value} }

// errorResponse returns the response for an error, with the status and code that fit
// its mark.
func errorResponse(err error) response {
	f := ErrorResponse{Code: "failed", Message: err.Error()}
	status := fasthttp.StatusInternalServerError
	var conflict *conflictError
	if errors.As(err, &conflict) {
		f.Object, f.Revision = conflict.object, conflict.revision
	}
	switch {
	case errors.Is(err, publish.ErrConflict):
		status, f.Code = fasthttp.StatusConflict, "conflict"
	case errors.Is(err, errRevisionRequired):
		status, f.Code = fasthttp.StatusPreconditionRequired, "revision_needed"
	case errors.Is(err, catalog.ErrInvalid):
		status, f.Code = fasthttp.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, catalog.ErrMalformed), errors.Is(err, settings.ErrInvalid):
		status, f.Code = fasthttp.StatusBadRequest, "malformed"
	case errors.Is(err, catalog.ErrUnknownKind), errors.Is(err, catalog.ErrNotFound), errors.Is(err, platform.ErrMissing):
		status, f.Code = fasthttp.StatusNotFound, "missing"
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBusy):
		status, f.Code = fasthttp.StatusServiceUnavailable, "platform"
	}
	return response{status: status, value: f}
}

// handle authenticates the operator of a request, answers and logs it. The health
// check needs no authentication.
func (a *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/healthz" {
		ctx.SetBodyString("ok\n")
		return
	}
	actor, known := a.authenticate(ctx)
	if !known {
		writeResponse(ctx, response{status: fasthttp.StatusUnauthorized, value: ErrorResponse{Code: "wrong_key", Message: "a known bearer key is needed"}})
		return
	}
	r := a.route(ctx, actor)
	writeResponse(ctx, r)
	a.log.Info().Str("actor", actor).Bytes("method", ctx.Method()).Bytes("path", ctx.Path()).
		Int("status", r.status).Msg("call")
}

// writeResponse encodes a response as indented JSON.
func writeResponse(ctx *fasthttp.RequestCtx, r response) {
	body, err := json.MarshalIndent(r.value, "", "  ")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// authenticate returns the name of the operator whose bearer key the request has. It
// returns false if the key is missing or unknown.
func (a *Server) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	key, found := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte(bearerPrefix))
	if !found {
		return "", false
	}
	sum := sha256.Sum256(key)
	digest := hex.EncodeToString(sum[:])
	for _, o := range a.settings.Operators {
		if o.Digest == digest {
			return o.Name, true
		}
	}
	return "", false
}

// route passes a request to the handler for its path and method.
func (a *Server) route(ctx *fasthttp.RequestCtx, actor string) response {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case strings.HasPrefix(path, PathObjects):
		kind, name, _ := strings.Cut(strings.TrimPrefix(path, PathObjects), "/")
		return a.handleObject(ctx, actor, kind, name)
	case path == PathSet && method == fasthttp.MethodGet:
		return a.newestSet()
	case path == PathValidate && method == fasthttp.MethodPost:
		return a.validate(ctx)
	case path == PathDiff && method == fasthttp.MethodPost:
		return a.diff(ctx)
	case path == PathApply && method == fasthttp.MethodPost:
		return a.apply(ctx, actor)
	case path == PathAudit && method == fasthttp.MethodGet:
		return a.audit(ctx)
	case path == PathStatus && method == fasthttp.MethodGet:
		return a.status()
	case strings.HasPrefix(path, PathRevisions) && method == fasthttp.MethodGet:
		return a.revision(strings.TrimPrefix(path, PathRevisions))
	default:
		return response{status: fasthttp.StatusNotFound, value: ErrorResponse{Code: "no_path", Message: "no such path or method"}}
	}
}

// parseIfMatch returns the revision in the If-Match header, and whether there is one.
func parseIfMatch(ctx *fasthttp.RequestCtx) (uint64, bool, error) {
	text := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	if text == "" {
		return 0, false, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, fault.Mark(errors.New("If-Match must be a revision"), settings.ErrInvalid)
	}
	return revision, true, nil
}

// handleObject reads, creates, replaces or removes an object. Without a name, it
// lists all objects of the kind.
func (a *Server) handleObject(ctx *fasthttp.RequestCtx, actor, kind, name string) response {
	if ctx.IsGet() {
		return a.getObjects(kind, name)
	}
	revision, hasRevision, err := parseIfMatch(ctx)
	if err != nil {
		return errorResponse(err)
	}
	switch {
	case ctx.IsPut() && name != "":
		return a.publishChange(actor, putObject(kind, name, ctx.PostBody(), revision, hasRevision))
	case ctx.IsDelete() && name != "":
		return a.publishChange(actor, deleteObject(kind, name, revision, hasRevision))
	default:
		return response{status: fasthttp.StatusMethodNotAllowed, value: ErrorResponse{Code: "bad_method", Message: "use GET, PUT or DELETE"}}
	}
}

// getObjects responds with the named object, or with all objects of the kind if the
// name is empty.
func (a *Server) getObjects(kind, name string) response {
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return errorResponse(err)
	}
	names := []string{name}
	if name == "" {
		if names, err = set.Names(kind); err != nil {
			return errorResponse(err)
		}
	}
	list := ObjectList{Revision: set.Revision, Objects: []Object{}}
	for _, n := range names {
		body, head, err := set.Get(kind, n)
		if err != nil {
			return errorResponse(err)
		}
		list.Objects = append(list.Objects, Object{Kind: kind, Name: n, Revision: head.Revision, Body: body})
	}
	if name != "" {
		return okResponse(list.Objects[0])
	}
	return okResponse(list)
}

// publishChange publishes a change and responds with the new revision.
func (a *Server) publishChange(actor string, change publish.ChangeFunc) response {
	set, err := a.store.Publish(actor, change)
	if err != nil {
		return errorResponse(err)
	}
	return okResponse(ChangeResult{Revision: set.Revision})
}

// newestSet responds with the newest configuration.
func (a *Server) newestSet() response {
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return errorResponse(err)
	}
	return okResponse(set)
}

// parseDocument returns the change that the Document of a request describes, with the
// options in its query. Without a base revision, no object is in conflict.
func parseDocument(ctx *fasthttp.RequestCtx) (publish.ChangeFunc, error) {
	var d Document
	if err := settings.Parse(ctx.PostBody(), &d); err != nil {
		return nil, err
	}
	base := ^uint64(0)
	if text := string(ctx.QueryArgs().Peek("base")); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fault.Mark(errors.New("base must be a revision"), settings.ErrInvalid)
		}
		base = parsed
	}
	return applyDocument(&d, base, ctx.QueryArgs().GetBool("prune")), nil
}

// validate responds with the problems that the configuration would have after a
// change.
func (a *Server) validate(ctx *fasthttp.RequestCtx) response {
	change, err := parseDocument(ctx)
	if err != nil {
		return errorResponse(err)
	}
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return errorResponse(err)
	}
	next := set.Clone()
	if err := change(next); err != nil {
		return errorResponse(err)
	}
	problems := next.Check()
	if problems == nil {
		problems = []catalog.Problem{}
	}
	return okResponse(Problems{Problems: problems})
}

// diff responds with the objects that a change would modify, without publishing it.
func (a *Server) diff(ctx *fasthttp.RequestCtx) response {
	change, err := parseDocument(ctx)
	if err != nil {
		return errorResponse(err)
	}
	current, next, err := a.store.Plan(change)
	if err != nil {
		return errorResponse(err)
	}
	return okResponse(ChangeResult{Revision: current.Revision, Changes: catalog.Diff(current, next).Changes})
}

// apply publishes the change that a document describes.
func (a *Server) apply(ctx *fasthttp.RequestCtx, actor string) response {
	change, err := parseDocument(ctx)
	if err != nil {
		return errorResponse(err)
	}
	return a.publishChange(actor, change)
}

// audit responds with audit records, those after a revision if the query has one.
func (a *Server) audit(ctx *fasthttp.RequestCtx) response {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultAuditLimit
	}
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	entries, err := a.store.Audit(after, min(limit, maxAuditLimit))
	if err != nil {
		return errorResponse(err)
	}
	return okResponse(entries)
}

// revision responds with the configuration of a given revision.
func (a *Server) revision(text string) response {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return errorResponse(fault.Mark(errors.New("a revision is a number"), settings.ErrInvalid))
	}
	set, err := a.store.ReadRevision(number)
	if err != nil {
		return errorResponse(err)
	}
	return okResponse(set)
}

// status requests the state of each entry host in turn and responds with all of
// them.
func (a *Server) status() response {
	live := FleetStatus{Hosts: []entry.Status{}}
	for _, address := range a.settings.StatusAddresses {
		status, body, err := a.statusClient.GetTimeout(nil, "http://"+address.String()+"/status", statusTimeout)
		var s entry.Status
		if err == nil && status == fasthttp.StatusOK {
			err = json.Unmarshal(body, &s)
		}
		if err != nil || status != fasthttp.StatusOK {
			live.Missing = append(live.Missing, address.String())
			continue
		}
		live.Hosts = append(live.Hosts, s)
	}
	return okResponse(live)
}
