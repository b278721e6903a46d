//go:build review

package kit

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cassiachute/cassiachute/standin/target"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Main runs a case and returns its exit code. The environment has the path of the record in RECORD, and
// TROUBLE=0 to leave out the disruption.
func Main(run func(w *World, trouble bool) (broken bool, err error)) int {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	w, err := NewWorld(path, Config())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.Close()
	go endEarly(w)
	trouble := os.Getenv("TROUBLE") != "0"
	w.Record.Add("disruption: %v", trouble)
	broken, err := run(w, trouble)
	switch {
	case err != nil:
		w.Record.Add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.Record.Add("the rule was broken")
		return exitBroken
	}
	w.Record.Add("the rule held")
	return exitHeld
}

// maxRunTime is the time after which a case is given up.
const maxRunTime = 100 * time.Second

// endEarly ends the gateways and this program if it is told to stop or takes too long.
func endEarly(w *World) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
	case <-time.After(maxRunTime):
	}
	w.Record.Add("given up")
	w.Close()
	os.Exit(exitNotRun)
}

// KeyLine returns the header line with the key of a team.
func KeyLine() string { return target.HeaderKey + ": " + Key + "\r\n" }

// ModelLines returns the header lines of a request to a model: its key, and a prompt that shares no part with others.
func ModelLines(prompt, output int, part string) string {
	return fmt.Sprintf("%s: %s\r\n%s: m\r\n%s: %d,%d\r\n%s: %x:%d\r\n", target.HeaderKey, Key, Headers.Model, target.HeaderTokens, prompt, output, Headers.Prompt, hash(part), prompt)
}

// hash returns a number for a text.
func hash(text string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}
