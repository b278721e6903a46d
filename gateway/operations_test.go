package gateway

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// operationsPage describes the log events, reasons and metrics for operators.
const operationsPage = "../docs/OPERATIONS.md"

// parseSources parses the files of the package without its tests.
func parseSources(t *testing.T) []*ast.File {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	require.NoError(t, err)
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		files = append(files, file)
	}
	return files
}

// constantsWithPrefix returns the values of the string constants whose names begin with a prefix.
func constantsWithPrefix(t *testing.T, prefix string) []string {
	t.Helper()
	var values []string
	for _, file := range parseSources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && len(spec.Values) == 1 && strings.HasPrefix(spec.Names[0].Name, prefix) {
				values = append(values, stringLiteral(spec.Values[0])...)
			}
			return true
		})
	}
	return values
}

// metricNames returns the names of all metrics: the first argument of the functions that
// create them, and the values of all fields called Name.
func metricNames(t *testing.T) []string {
	t.Helper()
	constructors := map[string]bool{"newCounterVec": true, "newHistogramVec": true, "newDesc": true}
	var names []string
	for _, file := range parseSources(t) {
		ast.Inspect(file, func(n ast.Node) bool {
			switch node := n.(type) {
			case *ast.CallExpr:
				if f, ok := node.Fun.(*ast.Ident); ok && constructors[f.Name] {
					names = append(names, stringLiteral(node.Args[0])...)
				}
			case *ast.KeyValueExpr:
				if k, ok := node.Key.(*ast.Ident); ok && k.Name == "Name" {
					names = append(names, stringLiteral(node.Value)...)
				}
			}
			return true
		})
	}
	return names
}

// stringLiteral returns the value of a string literal, or nothing for any other expression.
func stringLiteral(e ast.Expr) []string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return nil
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return nil
	}
	return []string{text}
}

// goldenEvents returns the events of the golden file and their fields.
func goldenEvents(t *testing.T) map[string][]string {
	t.Helper()
	body, err := os.ReadFile("testdata/events.golden")
	require.NoError(t, err)
	events := map[string][]string{}
	for line := range strings.Lines(string(body)) {
		event, fields, ok := strings.Cut(strings.TrimSpace(line), ":")
		require.True(t, ok, line)
		events[event] = strings.Fields(fields)
	}
	return events
}

// The operations page must name every log event with its fields, every reason and every metric, so
// that operators find each name that they meet in logs and metrics.
func TestOperationsPageIsComplete(t *testing.T) {
	body, err := os.ReadFile(operationsPage)
	require.NoError(t, err)
	page := string(body)
	events := goldenEvents(t)
	for _, event := range constantsWithPrefix(t, "event") {
		require.Contains(t, events, event, "the golden file names each event")
	}
	for event, fields := range events {
		requireNamed(t, page, event, "event")
		for _, field := range fields {
			requireNamed(t, page, field, "field of "+event)
		}
	}
	for _, reason := range constantsWithPrefix(t, "reason") {
		requireNamed(t, page, reason, "reason")
	}
	names := metricNames(t)
	require.Greater(t, len(names), 20)
	for _, name := range names {
		requireNamed(t, page, name, "metric")
	}
}

// requireNamed requires that the page contains a name in backquotes.
func requireNamed(t *testing.T, page, name, kind string) {
	t.Helper()
	require.True(t, strings.Contains(page, "`"+name+"`"), "the page does not name the %s %q", kind, name)
}
