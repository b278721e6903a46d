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
	"github.com/cassiachute/cassiachute/platform"
	"github.com/cassiachute/cassiachute/publish"
	"github.com/cassiachute/cassiachute/settings"
)

const (
	bearerPrefix   = "Bearer "
	maxBodyBytes   = 16 << 20
	defaultRecords = 50
	maxRecords     = 1000
	statusTimeout  = time.Second
	readTimeout    = 10 * time.Second // for a call to be read
	stopTime       = 3 * time.Second  // for calls in flight to end
)

// Server is the administration API.
type Server struct {
	settings Settings
	log      zerolog.Logger
	store    *publish.Store
	listener net.Listener
	server   *fasthttp.Server
	client   fasthttp.Client
}

// Option changes a Server.
type Option func(s *Server)

// WithLog sets the log.
func WithLog(log zerolog.Logger) Option { return func(s *Server) { s.log = log } }

// New returns a Server that listens and serves once Run is called. The error is
// marked settings.ErrInvalid if the settings are at fault.
func New(s Settings, options ...Option) (*Server, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	a := &Server{settings: s, log: zerolog.Nop()}
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

// Run serves until the context ends; calls in flight finish, unless they take too long.
func (a *Server) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() { served <- a.server.Serve(a.listener) }()
	a.log.Info().Stringer("listen", a.settings.Listen).Msg("serving")
	select {
	case <-ctx.Done():
		ending, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		return a.server.ShutdownWithContext(ending)
	case err := <-served:
		return err
	}
}

// reply is the answer to a call.
type reply struct {
	status int
	value  any
}

func ok(value any) reply { return reply{status: fasthttp.StatusOK, value: value} }

// failed returns the answer for an error.
func failed(err error) reply {
	f := Failure{Code: "failed", Message: err.Error()}
	status := fasthttp.StatusInternalServerError
	var conflict *conflictError
	if errors.As(err, &conflict) {
		f.Object, f.Revision = conflict.object, conflict.revision
	}
	switch {
	case errors.Is(err, publish.ErrConflict):
		status, f.Code = fasthttp.StatusConflict, "conflict"
	case errors.Is(err, errPrecondition):
		status, f.Code = fasthttp.StatusPreconditionRequired, "revision_needed"
	case errors.Is(err, catalog.ErrInvalid):
		status, f.Code = fasthttp.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, catalog.ErrBody), errors.Is(err, settings.ErrInvalid):
		status, f.Code = fasthttp.StatusBadRequest, "malformed"
	case errors.Is(err, catalog.ErrKind), errors.Is(err, catalog.ErrMissing), errors.Is(err, platform.ErrMissing):
		status, f.Code = fasthttp.StatusNotFound, "missing"
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrBusy):
		status, f.Code = fasthttp.StatusServiceUnavailable, "platform"
	}
	return reply{status: status, value: f}
}

func (a *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/healthz" {
		ctx.SetBodyString("ok\n")
		return
	}
	actor, known := a.actor(ctx)
	if !known {
		write(ctx, reply{status: fasthttp.StatusUnauthorized, value: Failure{Code: "wrong_key", Message: "a known bearer key is needed"}})
		return
	}
	r := a.route(ctx, actor)
	write(ctx, r)
	a.log.Info().Str("actor", actor).Bytes("method", ctx.Method()).Bytes("path", ctx.Path()).
		Int("status", r.status).Msg("call")
}

func write(ctx *fasthttp.RequestCtx, r reply) {
	body, err := json.MarshalIndent(r.value, "", "  ")
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// actor returns the name of the operator who calls.
func (a *Server) actor(ctx *fasthttp.RequestCtx) (string, bool) {
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

func (a *Server) route(ctx *fasthttp.RequestCtx, actor string) reply {
	path := string(ctx.Path())
	method := string(ctx.Method())
	switch {
	case strings.HasPrefix(path, PathObjects):
		kind, name, _ := strings.Cut(strings.TrimPrefix(path, PathObjects), "/")
		return a.object(ctx, actor, kind, name)
	case path == PathSet && method == fasthttp.MethodGet:
		return a.set()
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
		return reply{status: fasthttp.StatusNotFound, value: Failure{Code: "no_path", Message: "no such path or method"}}
	}
}

// ifMatch returns the revision in the If-Match header.
func ifMatch(ctx *fasthttp.RequestCtx) (uint64, bool, error) {
	text := strings.Trim(string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)), `"`)
	if text == "" {
		return 0, false, nil
	}
	match, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, fault.Mark(errors.New("If-Match must be a revision"), settings.ErrInvalid)
	}
	return match, true, nil
}

func (a *Server) object(ctx *fasthttp.RequestCtx, actor, kind, name string) reply {
	if ctx.IsGet() {
		return a.get(kind, name)
	}
	match, given, err := ifMatch(ctx)
	if err != nil {
		return failed(err)
	}
	switch {
	case ctx.IsPut() && name != "":
		return a.publish(actor, putObject(kind, name, ctx.PostBody(), match, given))
	case ctx.IsDelete() && name != "":
		return a.publish(actor, dropObject(kind, name, match, given))
	default:
		return reply{status: fasthttp.StatusMethodNotAllowed, value: Failure{Code: "bad_method", Message: "use GET, PUT or DELETE"}}
	}
}

func (a *Server) get(kind, name string) reply {
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return failed(err)
	}
	names := []string{name}
	if name == "" {
		if names, err = set.Names(kind); err != nil {
			return failed(err)
		}
	}
	list := Objects{Revision: set.Revision, Objects: []Object{}}
	for _, n := range names {
		body, head, err := set.Get(kind, n)
		if err != nil {
			return failed(err)
		}
		list.Objects = append(list.Objects, Object{Kind: kind, Name: n, Revision: head.Revision, Body: body})
	}
	if name != "" {
		return ok(list.Objects[0])
	}
	return ok(list)
}

func (a *Server) publish(actor string, change publish.Change) reply {
	set, err := a.store.Publish(actor, change)
	if err != nil {
		return failed(err)
	}
	return ok(Result{Revision: set.Revision})
}

func (a *Server) set() reply {
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return failed(err)
	}
	return ok(set)
}

// document reads the document and the base revision of a call.
func document(ctx *fasthttp.RequestCtx) (publish.Change, error) {
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

func (a *Server) validate(ctx *fasthttp.RequestCtx) reply {
	change, err := document(ctx)
	if err != nil {
		return failed(err)
	}
	set, err := a.store.Newest(catalog.NewSet())
	if err != nil {
		return failed(err)
	}
	next := set.Clone()
	if err := change(next); err != nil {
		return failed(err)
	}
	problems := next.Check()
	if problems == nil {
		problems = []catalog.Problem{}
	}
	return ok(Problems{Problems: problems})
}

func (a *Server) diff(ctx *fasthttp.RequestCtx) reply {
	change, err := document(ctx)
	if err != nil {
		return failed(err)
	}
	former, next, err := a.store.Plan(change)
	if err != nil {
		return failed(err)
	}
	return ok(Result{Revision: former.Revision, Changes: catalog.Diff(former, next).Changes})
}

func (a *Server) apply(ctx *fasthttp.RequestCtx, actor string) reply {
	change, err := document(ctx)
	if err != nil {
		return failed(err)
	}
	return a.publish(actor, change)
}

func (a *Server) audit(ctx *fasthttp.RequestCtx) reply {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultRecords
	}
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	entries, err := a.store.Audit(after, min(limit, maxRecords))
	if err != nil {
		return failed(err)
	}
	return ok(entries)
}

func (a *Server) revision(text string) reply {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return failed(fault.Mark(errors.New("a revision is a number"), settings.ErrInvalid))
	}
	set, err := a.store.Revision(number)
	if err != nil {
		return failed(err)
	}
	return ok(set)
}

// status asks all entry hosts for their state.
func (a *Server) status() reply {
	live := Live{Hosts: []entry.Status{}}
	for _, address := range a.settings.Entries {
		status, body, err := a.client.GetTimeout(nil, "http://"+address.String()+"/status", statusTimeout)
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
	return ok(live)
}
