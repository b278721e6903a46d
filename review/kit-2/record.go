package main

import (
	"fmt"
	"os"
	"regexp"
	"sync"
	"time"
)

var (
	recordMu    sync.Mutex
	recordFile  *os.File
	recordStart = time.Now()
	recordIDs   []string
)

// openRecord opens the record of a case.
func openRecord(path string) {
	f, err := os.Create(path)
	must(err)
	recordFile = f
}

var brokenID = regexp.MustCompile(`^BROKEN(?:.* id=(\S+))?`)

// note writes a line to the record, with the milliseconds since the start.
func note(format string, a ...any) {
	line := fmt.Sprintf(format, a...)
	recordMu.Lock()
	defer recordMu.Unlock()
	if m := brokenID.FindStringSubmatch(line); m != nil {
		recordIDs = append(recordIDs, m[1])
	}
	fmt.Fprintf(recordFile, "%7d %s\n", time.Since(recordStart).Milliseconds(), line)
	if brokenID.MatchString(line) {
		fmt.Println(line)
	}
}

// brokenIDs returns the identities of the requests in lines that tell of a broken rule.
func brokenIDs() []string {
	recordMu.Lock()
	defer recordMu.Unlock()
	return append([]string{}, recordIDs...)
}
