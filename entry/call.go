package entry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/dispatch"
	"github.com/cassiachute/cassiachute/quarantine"
)

const (
	bearerPrefix           = "Bearer " // precedes the key in the Authorization header
	maxDeadline            = time.Hour // largest value of the deadline header
	maxIdempotencyKeyBytes = 128       // longest idempotency key
	maxIDBytes             = 128       // longest request id
)

// promptPrefixSizes are the lengths in bytes of the prompt prefixes that are hashed to find targets
// which have them cached.
var promptPrefixSizes = []int{256, 1024, 4096, 16384}

// requestInfo holds what the key, headers and body of a request say.
type requestInfo struct {
	id             string
	service        *catalog.ServiceRow
	team           uint32
	teamName       string
	kind           string
	class          uint8
	deadline       time.Time
	idempotencyKey string
	digest         uint64             // hash of the team, service, method, URI and body
	traits         []quarantine.Trait // what may make targets crash: the messages but the last, and the request as a whole
	arrived        time.Time
}

// identify authenticates the caller and reads the headers of its request.
func (e *Entry) identify(ctx *fasthttp.RequestCtx, view *catalog.View, service string) (*requestInfo, *problem) {
	key, ok := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte(bearerPrefix))
	if !ok {
		return nil, notRunProblem(fasthttp.StatusUnauthorized, "no_key", fasthttp.HeaderAuthorization, "a bearer key is needed")
	}
	teams, ok := view.TeamsForKey(key)
	if !ok {
		return nil, notRunProblem(fasthttp.StatusUnauthorized, "wrong_key", fasthttp.HeaderAuthorization, "the key is not known")
	}
	c := &requestInfo{arrived: time.Now(), kind: string(ctx.Request.Header.Peek(HeaderKind))}
	steps := []func() *problem{
		func() *problem { return c.readTeam(ctx, view, teams) },
		func() *problem { return c.readService(view, service) },
		func() *problem { return c.readUrgency(ctx) },
		func() *problem { return c.readDeadline(ctx) },
		func() *problem { return c.readIDs(ctx) },
		func() *problem { return c.checkBodySize(ctx) },
	}
	for _, step := range steps {
		if p := step(); p != nil {
			return nil, p
		}
	}
	c.computeDigest(ctx)
	return c, nil
}

// readTeam finds the team of the request and checks that the key may act for it. The header may be
// left out if the key belongs to one team only.
func (c *requestInfo) readTeam(ctx *fasthttp.RequestCtx, view *catalog.View, teams []uint32) *problem {
	c.teamName = string(ctx.Request.Header.Peek(HeaderTeam))
	if c.teamName == "" && len(teams) == 1 {
		c.team = teams[0]
		c.teamName = view.Teams[c.team].Name
		return nil
	}
	if c.teamName == "" {
		return notRunProblem(fasthttp.StatusBadRequest, "no_team", HeaderTeam, "the key is for several teams; name one")
	}
	c.team = view.TeamNumber(c.teamName)
	if c.team == 0 || !slices.Contains(teams, c.team) {
		return notRunProblem(fasthttp.StatusForbidden, "foreign_team", HeaderTeam, "the key does not speak for this team")
	}
	return nil
}

// readService looks up the requested service by its name.
func (c *requestInfo) readService(view *catalog.View, name string) *problem {
	c.service = view.Services[view.ServiceNumber(name)]
	if c.service == nil {
		return notRunProblem(fasthttp.StatusNotFound, "no_service", "", "no service "+quote(name))
	}
	return nil
}

// readUrgency sets the priority class; requests without the header are normal.
func (c *requestInfo) readUrgency(ctx *fasthttp.RequestCtx) *problem {
	switch text := string(ctx.Request.Header.Peek(HeaderUrgency)); text {
	case "urgent":
		c.class = dispatch.ClassUrgent
	case "", "normal":
		c.class = dispatch.ClassNormal
	case "bulk":
		c.class = dispatch.ClassBulk
	default:
		return notRunProblem(fasthttp.StatusBadRequest, "bad_urgency", HeaderUrgency, "must be urgent, normal or bulk")
	}
	return nil
}

// readDeadline sets the time until which the request may wait for a slot. The default is the
// longest wait of the service.
func (c *requestInfo) readDeadline(ctx *fasthttp.RequestCtx) *problem {
	wait := c.service.RequestTimeout.Duration
	if text := string(ctx.Request.Header.Peek(HeaderDeadline)); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 || parsed > maxDeadline {
			return notRunProblem(fasthttp.StatusBadRequest, "bad_deadline", HeaderDeadline, "must be a time such as 1500ms, at most 1h")
		}
		wait = parsed
	}
	c.deadline = c.arrived.Add(wait)
	return nil
}

// readIDs reads the idempotency key and the request id, and creates an id if the caller gave none.
func (c *requestInfo) readIDs(ctx *fasthttp.RequestCtx) *problem {
	c.idempotencyKey = string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_order", HeaderIdempotencyKey, "must have at most 128 characters")
	}
	c.id = string(ctx.Request.Header.Peek(HeaderRequestID))
	if len(c.id) > maxIDBytes {
		return notRunProblem(fasthttp.StatusBadRequest, "bad_id", HeaderRequestID, "must have at most 128 characters")
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	return nil
}

// checkBodySize refuses a body that is larger than the service allows.
func (c *requestInfo) checkBodySize(ctx *fasthttp.RequestCtx) *problem {
	if len(ctx.PostBody()) > c.service.MaxBodyBytes {
		return notRunProblem(fasthttp.StatusRequestEntityTooLarge, "too_large", "", "the body is larger than the service takes")
	}
	return nil
}

// computeDigest hashes the team, service, method, URI and body, so that repeats of a request can
// be recognised.
func (c *requestInfo) computeDigest(ctx *fasthttp.RequestCtx) {
	d := xxhash.New()
	key := binary.BigEndian.AppendUint32(nil, c.team)
	key = binary.BigEndian.AppendUint32(key, c.service.Service.Number)
	_, _ = d.Write(key)
	_, _ = d.Write(ctx.Method())
	_, _ = d.Write(ctx.RequestURI())
	_, _ = d.Write(ctx.PostBody())
	c.digest = d.Sum64()
	c.traits = []quarantine.Trait{quarantine.Trait(c.digest)}
}

// addPromptTraits adds what the prompt may have in common with others that crash targets: each message of a chat
// but the last, or the prefixes of a plain prompt.
func (c *requestInfo) addPromptTraits(body []byte, prefixes []uint32) {
	messages := gjson.GetBytes(body, "messages").Array()
	for _, m := range messages[:max(0, len(messages)-1)] {
		c.traits = append(c.traits, c.traitOf(m.Raw))
	}
	if len(messages) > 0 {
		return
	}
	for _, hash := range prefixes {
		c.traits = append(c.traits, quarantine.Trait(hash))
	}
}

// traitOf returns the trait of a text for the service of the request.
func (c *requestInfo) traitOf(text string) quarantine.Trait {
	key := binary.BigEndian.AppendUint32(nil, c.service.Service.Number)
	return quarantine.Trait(xxhash.Sum64(append(key, text...)))
}

// prefixHashes returns one hash for each prefix of the prompt in promptPrefixSizes, shortest first. The
// hashes include the service.
func (c *requestInfo) prefixHashes(prompt string) []uint32 {
	var hashes []uint32
	for _, size := range promptPrefixSizes {
		if len(prompt) < size {
			break
		}
		key := binary.BigEndian.AppendUint32(nil, c.service.Service.Number)
		hashes = append(hashes, uint32(xxhash.Sum64(append(key, prompt[:size]...))))
	}
	return hashes
}

// quote returns text as a JSON string of valid UTF-8, for use in error messages.
func quote(text string) string {
	body, err := json.Marshal(text)
	if err != nil {
		return text
	}
	return strings.ToValidUTF8(string(body), "?")
}
