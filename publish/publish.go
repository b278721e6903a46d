// Package publish writes configurations to the platform and reads them back.
//
// A row of the table names the newest revision. The snapshot of a revision and
// the step that leads to it are objects under names that are never used again
// and never deleted, so a publisher that wakes up late overwrites nothing.
package publish

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/platform"
)

const (
	headKey     = "config/head"
	auditPrefix = "audit/"
	maxAttempts = 8
	tokenBytes  = 8
	maxSteps    = 64 // steps read one by one before the snapshot is read instead
)

// ErrConflict means that an object changed since the operator read it.
var ErrConflict = errors.New("object changed meanwhile")

// head is the row that names the newest revision.
type head struct {
	Revision uint64 `json:"revision"`
	Snapshot string `json:"snapshot"`
	Step     string `json:"step"`
	Token    string `json:"token"` // tells a publisher whether the row is its own
}

// stepObject is a step as it is kept. Former names the step before it.
type stepObject struct {
	Step   catalog.Step `json:"step"`
	Former string       `json:"former"`
}

// Entry is one record of the audit trail.
type Entry struct {
	Revision uint64           `json:"revision"`
	Time     time.Time        `json:"time"`
	Actor    string           `json:"actor"`
	Changes  []catalog.Change `json:"changes"`
	Snapshot string           `json:"snapshot"`
}

// Store reads and writes configurations.
type Store struct {
	client *platform.Client
	now    func() time.Time
}

// NewStore returns a Store on a platform.
func NewStore(client *platform.Client, now func() time.Time) *Store {
	return &Store{client: client, now: now}
}

// Newest returns the newest configuration. If have is not older, it is
// returned itself.
func (s *Store) Newest(have *catalog.Set) (*catalog.Set, error) {
	set, _, err := s.newest(have)
	return set, err
}

func (s *Store) newest(have *catalog.Set) (*catalog.Set, platform.Row, error) {
	row, err := s.client.Row(headKey)
	if errors.Is(err, platform.ErrMissing) {
		return have, platform.Row{Key: headKey}, nil
	}
	if err != nil {
		return nil, row, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return nil, row, errors.Wrap(err, "decode head")
	}
	if h.Revision <= have.Revision {
		return have, row, nil
	}
	if set, err := s.walk(have, h); err == nil {
		return set, row, nil
	}
	set, err := s.snapshot(h.Snapshot)
	return set, row, err
}

// walk applies the steps that lead from a set to the head.
func (s *Store) walk(have *catalog.Set, h head) (*catalog.Set, error) {
	if have.Revision == 0 || h.Revision-have.Revision > maxSteps {
		return nil, catalog.ErrStep
	}
	var steps []catalog.Step
	for key := h.Step; uint64(len(steps)) < h.Revision-have.Revision; {
		body, err := s.client.Object(key)
		if err != nil {
			return nil, err
		}
		var o stepObject
		if err := json.Unmarshal(body, &o); err != nil {
			return nil, errors.Wrap(err, "decode step")
		}
		steps = append(steps, o.Step)
		key = o.Former
	}
	set := have
	var err error
	for i := len(steps) - 1; i >= 0; i-- {
		if set, err = set.Apply(steps[i]); err != nil {
			return nil, err
		}
	}
	return set, nil
}

func (s *Store) snapshot(key string) (*catalog.Set, error) {
	body, err := s.client.Object(key)
	if err != nil {
		return nil, err
	}
	return catalog.ParseSet(body)
}

// Change alters a copy of the newest configuration. It may be called again on
// a newer one. It returns an error marked ErrConflict if what the operator read
// is no longer so.
type Change func(newest *catalog.Set) error

// Publish checks and publishes a change. The error is marked ErrConflict,
// catalog.ErrInvalid or platform.ErrDown, or is that of the change.
func (s *Store) Publish(actor string, change Change) (*catalog.Set, error) {
	for range maxAttempts {
		set, err := s.attempt(actor, change)
		if err == nil {
			return set, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return nil, err
		}
	}
	return nil, errors.Wrap(ErrConflict, "other publishers were faster every time")
}

// Plan returns what a change would lead to, without publishing it.
func (s *Store) Plan(change Change) (former, next *catalog.Set, err error) {
	former, _, err = s.newest(catalog.NewSet())
	if err != nil {
		return nil, nil, err
	}
	next, err = plan(former, change)
	return former, next, err
}

func plan(former *catalog.Set, change Change) (*catalog.Set, error) {
	next := former.Clone()
	if err := change(next); err != nil {
		return nil, err
	}
	if err := next.CheckError(); err != nil {
		return nil, err
	}
	next.Seal(former.Revision + 1)
	return next, nil
}

func (s *Store) attempt(actor string, change Change) (*catalog.Set, error) {
	former, row, err := s.newest(catalog.NewSet())
	if err != nil {
		return nil, err
	}
	next, err := plan(former, change)
	if err != nil {
		return nil, err
	}
	step := catalog.Diff(former, next)
	if len(step.Changes) == 0 {
		return former, nil
	}
	return next, s.commit(actor, row, next, step)
}

// commit writes the objects and then advances the head, with the audit record
// in the same transaction.
func (s *Store) commit(actor string, row platform.Row, next *catalog.Set, step catalog.Step) error {
	token, err := newToken()
	if err != nil {
		return err
	}
	var former head
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &former); err != nil {
			return errors.Wrap(err, "decode head")
		}
	}
	name := fmt.Sprintf("%012d-%s", next.Revision, token)
	h := head{Revision: next.Revision, Snapshot: "snapshot/" + name, Step: "step/" + name, Token: token}
	if err := s.client.PutObject(h.Snapshot, next.Encode()); err != nil {
		return err
	}
	if err := s.client.PutObject(h.Step, encode(stepObject{Step: step, Former: former.Step})); err != nil {
		return err
	}
	entry := Entry{
		Revision: next.Revision, Time: s.now().UTC(), Actor: actor, Changes: step.Changes, Snapshot: h.Snapshot,
	}
	return s.advance(row, h, entry)
}

// advance writes the head. If the reply is lost, the token in the row tells
// whether the write took effect.
func (s *Store) advance(row platform.Row, h head, entry Entry) error {
	t := platform.Transaction{
		Checks: []platform.Check{{Key: headKey, Version: row.Version}},
		Puts: []platform.Put{
			{Key: headKey, Value: encode(h)},
			{Key: auditKey(entry.Revision), Value: encode(entry)},
		},
	}
	_, err := s.client.Transact(t)
	if err == nil {
		return nil
	}
	mine, readErr := s.isMine(h)
	if readErr == nil && mine {
		return nil
	}
	return err
}

// isMine returns whether the audit record of a revision is this publisher's.
// The record stays when the head has moved on already.
func (s *Store) isMine(h head) (bool, error) {
	row, err := s.client.Row(auditKey(h.Revision))
	if err != nil {
		return false, err
	}
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return false, errors.Wrap(err, "decode audit record")
	}
	return entry.Snapshot == h.Snapshot, nil
}

// Audit returns at most limit records of the audit trail after a revision.
func (s *Store) Audit(after uint64, limit int) ([]Entry, error) {
	rows, err := s.client.Rows(auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var entry Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, errors.Wrap(err, "decode audit record")
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Revision returns a former configuration. The error is platform.ErrMissing if
// there was none of this revision.
func (s *Store) Revision(revision uint64) (*catalog.Set, error) {
	row, err := s.client.Row(auditKey(revision))
	if err != nil {
		return nil, err
	}
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return nil, errors.Wrap(err, "decode audit record")
	}
	return s.snapshot(entry.Snapshot)
}

func auditKey(revision uint64) string { return fmt.Sprintf("%s%012d", auditPrefix, revision) }

func newToken() (string, error) {
	token := make([]byte, tokenBytes)
	if _, err := rand.Read(token); err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return hex.EncodeToString(token), nil
}

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode record"))
	}
	return body
}
