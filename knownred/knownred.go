// Package knownred lets tests that are listed in KNOWN-RED.txt be passed over.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fileName is the list, at the root of the module. Each entry begins with a
// line "test: NAME".
const fileName = "KNOWN-RED.txt"

// variable makes listed tests run all the same.
const variable = "CASSIA_RED"

// Skip skips a test that is listed, unless CASSIA_RED is set.
func Skip(t testing.TB) {
	t.Helper()
	if os.Getenv(variable) != "" {
		return
	}
	for _, name := range listed() {
		if name == t.Name() {
			t.Skipf("listed in %s; set %s=1 to run it", fileName, variable)
		}
	}
}

// listed returns the names of the listed tests.
func listed() []string {
	dir, err := os.Getwd()
	if err != nil {
		return nil
	}
	for ; ; dir = filepath.Dir(dir) {
		body, err := os.ReadFile(filepath.Join(dir, fileName))
		if err == nil {
			return names(string(body))
		}
		if dir == filepath.Dir(dir) {
			return nil
		}
	}
}

func names(text string) []string {
	var list []string
	for line := range strings.Lines(text) {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			list = append(list, strings.TrimSpace(name))
		}
	}
	return list
}
