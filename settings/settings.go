// Package settings reads the settings file of a program and reports every
// fault with the path of the field.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

// ErrInvalid means that settings are malformed or do not hold together.
var ErrInvalid = errors.New("invalid settings")

// Duration is a time.Duration that is written in JSON as text, such as "500ms".
type Duration struct{ time.Duration }

// MarshalText returns the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the notation of time.Duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	d.Duration = parsed
	return nil
}

// Load reads a JSON file into settings. An unknown field is an error. The error
// is marked ErrInvalid.
func Load(path string, into any) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return fault.Mark(errors.Wrap(err, "read settings"), ErrInvalid)
	}
	return errors.Wrapf(Parse(body, into), "settings %s", path)
}

// Parse reads JSON into settings. An unknown field is an error. The error is
// marked ErrInvalid.
func Parse(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fault.Mark(err, ErrInvalid)
	}
	if dec.More() {
		return errors.Wrap(ErrInvalid, "data after the settings")
	}
	return nil
}

// Checker collects the faults of settings.
type Checker struct {
	faults []string
}

// Require notes a fault of a field unless the condition holds.
func (c *Checker) Require(ok bool, field, reason string, args ...any) {
	if !ok {
		c.faults = append(c.faults, field+": "+fmt.Sprintf(reason, args...))
	}
}

// Address requires an IP number and a port.
func (c *Checker) Address(address netip.AddrPort, field string) {
	c.Require(address.IsValid(), field, "must be an IP number and a port")
}

// Positive requires a duration above zero.
func (c *Checker) Positive(d Duration, field string) {
	c.Require(d.Duration > 0, field, "must be more than 0s")
}

// Err returns all faults as one error marked ErrInvalid, or nil.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalid, strings.Join(c.faults, "; "))
}

// Span is a duration that a template fills in from a value that may be missing.
// It is zero without a number.
type Span struct{ time.Duration }

// UnmarshalText parses a number with its unit, or a unit alone.
func (s *Span) UnmarshalText(text []byte) error {
	if !strings.ContainsAny(string(text), "0123456789") {
		s.Duration = 0
		return nil
	}
	var d Duration
	err := d.UnmarshalText(text)
	s.Duration = d.Duration
	return err
}

// Or returns the span, or a default if there is none.
func (s Span) Or(missing time.Duration) time.Duration {
	if s.Duration <= 0 {
		return missing
	}
	return s.Duration
}

// Amount is a number that a template fills in from a value that may be missing.
type Amount float64

// UnmarshalText parses a number, or no text.
func (a *Amount) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*a = 0
		return nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	*a = Amount(value)
	return errors.Wrap(err, "number")
}

// Or returns the amount, or a default if there is none.
func (a Amount) Or(missing float64) float64 {
	if a <= 0 {
		return missing
	}
	return float64(a)
}
