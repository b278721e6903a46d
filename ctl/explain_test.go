package ctl_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiachute/cassiachute/ctl"
	"github.com/cassiachute/cassiachute/golden"
	"github.com/cassiachute/cassiachute/program"
)

// The output contains the lines of each request in order, the mark of the decisive
// line, and the events that caused its reason.
func TestExplain(t *testing.T) {
	var out, errOut bytes.Buffer
	for _, id := range []string{"r1", "r2", "r3"} {
		out.WriteString("== " + id + "\n")
		code := ctl.Main([]string{"explain", id, "testdata/host2.log", "testdata/host1.log"}, &out, &errOut)
		require.Equal(t, program.ExitOK, code, errOut.String())
	}
	golden.Equal(t, "explain.golden", out.String())
}

// A request without log lines and a missing file are reported as different errors.
func TestExplainOfUnknownRequest(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, program.ExitFailed, ctl.Main([]string{"explain", "none", "testdata/host1.log"}, &out, &errOut))
	require.Contains(t, errOut.String(), "no log line about the request")
	require.Equal(t, program.ExitInvalid, ctl.Main([]string{"explain", "r1", "testdata/missing.log"}, &out, &errOut))
}
