// Package fault marks errors with sentinel errors, so that errors.Is finds both,
// be it that of the standard library or of github.com/cockroachdb/errors.
package fault

import "fmt"

// Mark returns an error that wraps both the sentinel and the cause, or nil if the
// cause is nil. Its text is "SENTINEL: CAUSE".
func Mark(cause, sentinel error) error {
	if cause == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", sentinel, cause)
}
