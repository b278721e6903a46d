// Package fault marks errors with sentinels that errors.Is finds, of the standard
// library as well.
package fault

import "fmt"

// Mark returns an error that is both the sentinel and the cause, or nil if the
// cause is nil. Its text is that of both.
func Mark(cause, sentinel error) error {
	if cause == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", sentinel, cause)
}
