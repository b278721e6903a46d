// Package settings reads the JSON settings file of a program and helps to validate
// it, so that all invalid fields are reported at once, each with its path.
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

// ErrInvalid marks the error of settings that can't be read or decoded, or that have
// an invalid field.
var ErrInvalid = errors.New("invalid settings")

// Duration is a time.Duration that JSON represents as a string, such as "500ms".
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler with the format of
// time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler with the format of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	d.Duration = parsed
	return nil
}

// Load decodes the JSON file at path into the settings that into points to. It
// rejects unknown fields. Errors are marked ErrInvalid.
func Load(path string, into any) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return fault.Mark(errors.Wrap(err, "read settings"), ErrInvalid)
	}
	return errors.Wrapf(Parse(body, into), "settings %s", path)
}

// Parse decodes JSON into the settings that into points to. It rejects unknown
// fields and trailing data. Errors are marked ErrInvalid.
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

// Checker collects the problems found while settings are validated. The zero value
// is ready to use.
type Checker struct {
	problems []string
}

// Require adds a problem with a field unless ok is true. The reason is a format for
// args.
func (c *Checker) Require(ok bool, field, reason string, args ...any) {
	if !ok {
		c.problems = append(c.problems, field+": "+fmt.Sprintf(reason, args...))
	}
}

// RequireAddress requires a valid IP address and port.
func (c *Checker) RequireAddress(address netip.AddrPort, field string) {
	c.Require(address.IsValid(), field, "must be an IP number and a port")
}

// RequirePositive requires a duration greater than zero.
func (c *Checker) RequirePositive(d Duration, field string) {
	c.Require(d.Duration > 0, field, "must be more than 0s")
}

// Err joins all problems into one error marked ErrInvalid. It returns nil if there
// are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.Wrap(ErrInvalid, strings.Join(c.problems, "; "))
}

// OptionalDuration is an optional duration in a settings file generated from a template. Where
// the template had no value, the text is empty or only a unit, and OptionalDuration is zero.
type OptionalDuration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler. Text without a digit, such as a
// unit alone, gives zero; other text has the format of time.ParseDuration.
func (s *OptionalDuration) UnmarshalText(text []byte) error {
	if !strings.ContainsAny(string(text), "0123456789") {
		s.Duration = 0
		return nil
	}
	var d Duration
	err := d.UnmarshalText(text)
	s.Duration = d.Duration
	return err
}

// Or returns the duration if it is positive, and fallback otherwise.
func (s OptionalDuration) Or(fallback time.Duration) time.Duration {
	if s.Duration <= 0 {
		return fallback
	}
	return s.Duration
}

// OptionalNumber is an optional number in a settings file generated from a template. Where
// the template had no value, the text is empty and OptionalNumber is zero.
type OptionalNumber float64

// UnmarshalText implements encoding.TextUnmarshaler. Empty text gives zero.
func (a *OptionalNumber) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		*a = 0
		return nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	*a = OptionalNumber(value)
	return errors.Wrap(err, "number")
}

// Or returns the number if it is positive, and fallback otherwise.
func (a OptionalNumber) Or(fallback float64) float64 {
	if a <= 0 {
		return fallback
	}
	return float64(a)
}
