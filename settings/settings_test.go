package settings_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/settings"
)

// TestParseAndLoadRejectInvalidSettings checks that an unknown field, trailing data
// and a missing file are errors marked ErrInvalid.
func TestParseAndLoadRejectInvalidSettings(t *testing.T) {
	s := entry.NewSettings()
	err := settings.Parse([]byte(`{"lisen": "127.0.0.1:1"}`), &s)
	require.ErrorIs(t, err, settings.ErrInvalid)
	require.ErrorContains(t, err, "lisen")
	require.ErrorIs(t, settings.Parse([]byte(`{} {}`), &s), settings.ErrInvalid)
	require.ErrorIs(t, settings.Load("none.json", &s), settings.ErrInvalid)
}

// FuzzParse checks that parsing and validating arbitrary input does not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"place":"p","grace":"1s","peers":[{"address":"10.0.0.1:1","place":"p"}]}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		s := entry.NewSettings()
		if settings.Parse(body, &s) == nil {
			_ = s.Check()
		}
	})
}

// All problems are reported at once, each with its field.
func ExampleChecker() {
	var c settings.Checker
	c.Require(false, "place", "must name the data centre")
	c.RequirePositive(settings.Duration{}, "grace")
	fmt.Println(c.Err())
	// Output: place: must name the data centre; grace: must be more than 0s: invalid settings
}
