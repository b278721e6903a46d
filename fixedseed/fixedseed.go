// Package fixedseed runs property-based tests with the same seed every time.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package that uses rapid, and exits. It fixes the seed, so
// that the result is the same every time, and keeps rapid from writing failing inputs
// to files.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
