// Package knownred skips the tests that KNOWN-RED.txt lists as failing for a known
// fault.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fileName is the file at the root of the module that lists the tests. Each entry
// begins with a line "test: NAME".
const fileName = "KNOWN-RED.txt"

// overrideVariable is the environment variable that makes listed tests run.
const overrideVariable = "CASSIA_RED"

// Skip skips the test if it is listed, unless CASSIA_RED is set.
func Skip(t testing.TB) {
	t.Helper()
	if os.Getenv(overrideVariable) != "" {
		return
	}
	for _, name := range listedTests() {
		if name == t.Name() {
			t.Skipf("listed in %s; set %s=1 to run it", fileName, overrideVariable)
		}
	}
}

// listedTests returns the names of the listed tests. It looks for the file in the
// working directory and then in each parent; without a file, no test is listed.
func listedTests() []string {
	dir, err := os.Getwd()
	if err != nil {
		return nil
	}
	for ; ; dir = filepath.Dir(dir) {
		body, err := os.ReadFile(filepath.Join(dir, fileName))
		if err == nil {
			return parseNames(string(body))
		}
		if dir == filepath.Dir(dir) {
			return nil
		}
	}
}

// parseNames returns the names of the tests in the text of the list.
func parseNames(text string) []string {
	var list []string
	for line := range strings.Lines(text) {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			list = append(list, strings.TrimSpace(name))
		}
	}
	return list
}
