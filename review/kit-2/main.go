// Command kit-2 plays the cases of the review that need real processes. It is started by the run.sh of a case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// cases plays a case with or without its disruption, and returns whether the rule held.
var cases = map[string]func(trouble bool) bool{"6": case6, "7": case7, "8": case8}

func main() {
	name, folder := os.Args[1], os.Args[2]
	go giveUp()
	openRecord(filepath.Join(folder, "record.txt"))
	held := cases[name](os.Getenv("TROUBLE") != "0")
	cleanUp()
	if !held {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// giveUp ends the case and all its processes when it is told to stop or takes too long.
func giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	cleanUp()
	os.Exit(2)
}
