package catalog_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/golden"
)

// checkCase is the JSON of a set to validate, with the name of its test case.
type checkCase struct {
	Name string          `json:"name"`
	Set  json.RawMessage `json:"set"`
}

// TestCheckGolden compares the problems of every set in testdata/sets.json with the
// golden file.
func TestCheckGolden(t *testing.T) {
	body, err := os.ReadFile(filepath.Join("testdata", "sets.json"))
	require.NoError(t, err)
	var cases []checkCase
	require.NoError(t, json.Unmarshal(body, &cases))
	var got strings.Builder
	for _, c := range cases {
		fmt.Fprintf(&got, "%s:\n", c.Name)
		set, err := catalog.ParseSet(c.Set)
		if err != nil {
			require.ErrorIs(t, err, catalog.ErrMalformed)
			fmt.Fprintf(&got, "  %v\n", err)
			continue
		}
		for _, p := range set.Check() {
			fmt.Fprintf(&got, "  %s: %s\n", p.Path, p.Reason)
		}
	}
	golden.Equal(t, "sets.golden", got.String())
}

// newTeamSet returns a sealed set with teams of these names.
func newTeamSet(revision uint64, names ...string) *catalog.Set {
	set := catalog.NewSet()
	for _, name := range names {
		set.Teams[name] = catalog.Team{}
	}
	set.Seal(revision)
	return set
}

// TestApplyStep checks that the difference between two sets turns the first into the
// second, and that a step with another start or an incomplete step is rejected.
func TestApplyStep(t *testing.T) {
	first := newTeamSet(1, "red", "blue")
	second := first.Clone()
	require.NoError(t, second.Put(catalog.Teams, "red", []byte(`{"weight": 3}`)))
	require.NoError(t, second.Remove(catalog.Teams, "blue"))
	require.NoError(t, second.Put(catalog.Teams, "green", []byte(`{}`)))
	second.Seal(2)
	step := catalog.Diff(first, second)
	got, err := first.Apply(step)
	require.NoError(t, err)
	require.Equal(t, string(second.Encode()), string(got.Encode()))
	_, err = second.Apply(step)
	require.ErrorIs(t, err, catalog.ErrStep)
	step.Changes = step.Changes[1:]
	_, err = first.Apply(step)
	require.ErrorIs(t, err, catalog.ErrStep)
}

// TestObjectNumbersAreNotReused checks that a new object does not get the number of
// a removed one, and that unchanged objects keep their revision.
func TestObjectNumbersAreNotReused(t *testing.T) {
	set := newTeamSet(1, "red", "blue")
	removed := set.Teams["blue"].Number
	require.NoError(t, set.Remove(catalog.Teams, "blue"))
	require.NoError(t, set.Put(catalog.Teams, "green", []byte(`{}`)))
	set.Seal(2)
	require.Greater(t, set.Teams["green"].Number, removed)
	require.Equal(t, uint64(1), set.Teams["red"].Revision)
	require.Equal(t, uint64(2), set.Teams["green"].Revision)
}

// FuzzParseSet checks that parsing and validating arbitrary input does not panic.
func FuzzParseSet(f *testing.F) {
	f.Add([]byte(`{"teams":{"a":{"weight":1}},"targets":{"t":{"address":"10.0.0.1:1"}}}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		set, err := catalog.ParseSet(body)
		if err == nil {
			set.Check()
		}
	})
}

// Each problem of a set is reported with the path of its field.
func ExampleSet_Check() {
	set := catalog.NewSet()
	set.Keys["router1"] = catalog.Key{Digest: "none", Teams: []string{"red"}}
	for _, p := range set.Check() {
		fmt.Printf("%s: %s\n", p.Path, p.Reason)
	}
	// Output:
	// keys/router1.digest: must be a hexadecimal SHA-256 digest
	// keys/router1.teams[0]: no team "red"
}
