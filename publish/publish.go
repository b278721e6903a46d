// Package publish stores revisions of the configuration on the platform and reads
// them back.
//
// The head row in the platform's table names the newest revision. Each revision is
// kept as two objects: a snapshot of the whole configuration, and the step that
// leads to it from the revision before. Their names are unique and never reused,
// and they are never deleted, so a delayed publisher can't overwrite the objects of
// another.
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

// Keys of rows and limits of the Store.
const (
	headKey            = "config/head" // row that names the newest revision
	auditPrefix        = "audit/"      // rows with the audit record of each revision
	maxPublishAttempts = 8             // attempts to publish a change before ErrConflict is returned
	tokenBytes         = 8             // random bytes in the name of a snapshot and a step
	maxStepReads       = 64            // steps to catch up on one by one; beyond it, the snapshot is read
	skippedNumbers     = 1000          // revisions and object numbers that the first revision after the store came back from a copy leaves out; more than a copy that is some seconds old can lack
)

// ErrConflict marks the error of a change to an object that was modified since the
// operator read it, or of a change that kept losing to concurrent publishers.
var ErrConflict = errors.New("object changed meanwhile")

// headRow is the value of the row that names the newest revision and its objects.
type headRow struct {
	Revision uint64 `json:"revision"`
	Snapshot string `json:"snapshot"`
	Step     string `json:"step"`
	Token    string `json:"token"` // random and unique to one attempt to publish
	Era      uint64 `json:"era"`   // era of the store in which the row was written, 0 if the store numbers none
}

// storedStep is the stored form of a step. Previous is the key of the step
// before it, or empty if it is the first.
type storedStep struct {
	Step     catalog.Step `json:"step"`
	Previous string       `json:"former"`
}

// AuditEntry is the audit record of one revision: who published it, when, and what
// changed.
type AuditEntry struct {
	Revision uint64           `json:"revision"`
	Time     time.Time        `json:"time"`
	Actor    string           `json:"actor"`
	Changes  []catalog.Change `json:"changes"`
	Snapshot string           `json:"snapshot"`
}

// Store reads configurations from the platform and publishes new ones.
type Store struct {
	client *platform.Client
	now    func() time.Time
}

// NewStore returns a Store that uses a platform client. The clock now supplies the
// time of audit records.
func NewStore(client *platform.Client, now func() time.Time) *Store {
	return &Store{client: client, now: now}
}

// Newest returns the newest configuration. It returns have itself if that is up to
// date; otherwise it reads only the steps since have where it can.
func (s *Store) Newest(have *catalog.Set) (*catalog.Set, error) {
	set, _, err := s.readNewest(have)
	return set, err
}

// readNewest returns the newest configuration, as Newest does, and the head row. If
// nothing was published yet, the row has version 0.
func (s *Store) readNewest(have *catalog.Set) (*catalog.Set, platform.Row, error) {
	row, err := s.client.Row(headKey)
	if errors.Is(err, platform.ErrMissing) {
		return have, platform.Row{Key: headKey}, nil
	}
	if err != nil {
		return nil, row, err
	}
	var h headRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return nil, row, errors.Wrap(err, "decode head")
	}
	if h.Revision <= have.Revision {
		return have, row, nil
	}
	if set, err := s.applySteps(have, h); err == nil {
		return set, row, nil
	}
	set, err := s.readSnapshot(h.Snapshot)
	return set, row, err
}

// applySteps reads the steps from the head back to a set and applies them to it.
// It fails if the set is empty or too many steps behind.
func (s *Store) applySteps(have *catalog.Set, h headRow) (*catalog.Set, error) {
	if have.Revision == 0 || h.Revision-have.Revision > maxStepReads {
		return nil, catalog.ErrStep
	}
	var steps []catalog.Step
	for key := h.Step; uint64(len(steps)) < h.Revision-have.Revision; {
		body, err := s.client.Object(key)
		if err != nil {
			return nil, err
		}
		var o storedStep
		if err := json.Unmarshal(body, &o); err != nil {
			return nil, errors.Wrap(err, "decode step")
		}
		steps = append(steps, o.Step)
		key = o.Previous
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

// readSnapshot reads the whole configuration that is stored under a key.
func (s *Store) readSnapshot(key string) (*catalog.Set, error) {
	body, err := s.client.Object(key)
	if err != nil {
		return nil, err
	}
	return catalog.ParseSet(body)
}

// ChangeFunc modifies a copy of the newest configuration. It is called again on a newer
// one if another publisher was faster. It returns an error marked ErrConflict if the
// objects it is based on were modified since the operator read them.
type ChangeFunc func(newest *catalog.Set) error

// Publish applies a change to the newest configuration, validates the result and
// publishes it as a new revision. If the change has no effect, it returns the newest
// configuration. The error is marked ErrConflict, catalog.ErrInvalid or
// platform.ErrUnavailable, or is the error of the change.
func (s *Store) Publish(actor string, change ChangeFunc) (*catalog.Set, error) {
	for range maxPublishAttempts {
		set, err := s.tryPublish(actor, change)
		if err == nil {
			return set, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return nil, err
		}
	}
	return nil, errors.Wrap(ErrConflict, "other publishers were faster every time")
}

// Plan returns the newest configuration and the one that a change would turn it
// into, without publishing it.
func (s *Store) Plan(change ChangeFunc) (current, next *catalog.Set, err error) {
	current, _, err = s.readNewest(catalog.NewSet())
	if err != nil {
		return nil, nil, err
	}
	next, err = applyChange(current, change, 0)
	return current, next, err
}

// applyChange returns a valid copy of a set with a change applied and the next revision
// assigned. It leaves out a number of revisions and object numbers.
func applyChange(current *catalog.Set, change ChangeFunc, skipped uint32) (*catalog.Set, error) {
	next := current.Clone()
	next.LastNumber += skipped
	if err := change(next); err != nil {
		return nil, err
	}
	if err := next.CheckError(); err != nil {
		return nil, err
	}
	next.Seal(current.Revision + 1 + uint64(skipped))
	return next, nil
}

// tryPublish publishes a change once. The error is marked platform.ErrConflict if
// another publisher advanced the head meanwhile.
func (s *Store) tryPublish(actor string, change ChangeFunc) (*catalog.Set, error) {
	current, row, err := s.readNewest(catalog.NewSet())
	if err != nil {
		return nil, err
	}
	era := s.client.History().Era()
	skipped, err := numbersToSkip(row, era)
	if err != nil {
		return nil, err
	}
	next, err := applyChange(current, change, skipped)
	if err != nil {
		return nil, err
	}
	step := catalog.Diff(current, next)
	if len(step.Changes) == 0 {
		return current, nil
	}
	return next, s.commit(actor, row, next, step, era)
}

// numbersToSkip returns how many revisions and object numbers the revision after a head row
// leaves out. The first one in an era of the store has higher ones than all that the store may
// have lost, because hosts may have those in force: they take only higher revisions, and know
// objects by their numbers.
func numbersToSkip(row platform.Row, era uint64) (uint32, error) {
	if row.Version == 0 {
		return 0, nil
	}
	var head headRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, errors.Wrap(err, "decode head")
	}
	if era <= head.Era {
		return 0, nil
	}
	return skippedNumbers, nil
}

// commit writes the snapshot and the step, and then the head row and the audit
// record in one transaction. The era is that of the store when the head row was read.
func (s *Store) commit(actor string, row platform.Row, next *catalog.Set, step catalog.Step, era uint64) error {
	token, err := newToken()
	if err != nil {
		return err
	}
	var previous headRow
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &previous); err != nil {
			return errors.Wrap(err, "decode head")
		}
	}
	name := fmt.Sprintf("%012d-%s", next.Revision, token)
	h := headRow{Revision: next.Revision, Snapshot: "snapshot/" + name, Step: "step/" + name, Token: token, Era: era}
	if err := s.client.PutObject(h.Snapshot, next.Encode()); err != nil {
		return err
	}
	if err := s.client.PutObject(h.Step, encode(storedStep{Step: step, Previous: previous.Step})); err != nil {
		return err
	}
	entry := AuditEntry{
		Revision: next.Revision, Time: s.now().UTC(), Actor: actor, Changes: step.Changes, Snapshot: h.Snapshot,
	}
	return s.advanceHead(row, h, entry)
}

// advanceHead writes the head row and the audit record, provided that the head row
// is unchanged. If the reply is lost, it reads the audit record to learn whether the
// write took effect.
func (s *Store) advanceHead(row platform.Row, h headRow, entry AuditEntry) error {
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
	written, readErr := s.wroteRevision(h)
	if readErr == nil && written {
		return nil
	}
	return err
}

// wroteRevision reports whether the audit record of a revision is from this attempt to
// publish, as its snapshot name contains a unique token. Unlike the head row, the
// record is not overwritten by later revisions.
func (s *Store) wroteRevision(h headRow) (bool, error) {
	row, err := s.client.Row(auditKey(h.Revision))
	if err != nil {
		return false, err
	}
	var entry AuditEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return false, errors.Wrap(err, "decode audit record")
	}
	return entry.Snapshot == h.Snapshot, nil
}

// Audit returns the audit records of the revisions after the given one, oldest
// first and at most limit of them.
func (s *Store) Audit(after uint64, limit int) ([]AuditEntry, error) {
	rows, err := s.client.Rows(auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]AuditEntry, 0, len(rows))
	for _, row := range rows {
		var entry AuditEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, errors.Wrap(err, "decode audit record")
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// ReadRevision returns the configuration with the given revision. The error is marked
// platform.ErrMissing if there is none.
func (s *Store) ReadRevision(revision uint64) (*catalog.Set, error) {
	row, err := s.client.Row(auditKey(revision))
	if err != nil {
		return nil, err
	}
	var entry AuditEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return nil, errors.Wrap(err, "decode audit record")
	}
	return s.readSnapshot(entry.Snapshot)
}

// auditKey returns the key of the audit record of a revision, padded with zeros so
// that keys sort by revision.
func auditKey(revision uint64) string { return fmt.Sprintf("%s%012d", auditPrefix, revision) }

// newToken returns a random token in hexadecimal.
func newToken() (string, error) {
	token := make([]byte, tokenBytes)
	if _, err := rand.Read(token); err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return hex.EncodeToString(token), nil
}

// encode returns the JSON encoding of a stored record, which can't fail for the
// types used here.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode record"))
	}
	return body
}
