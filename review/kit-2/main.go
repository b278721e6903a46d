// Command kit-2 plays the cases of the review that need real processes. It is started by the run.sh of a case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases plays a case with or without its disruption, and returns whether the rule held.
var cases = map[string]func(trouble bool) bool{"6": case6, "7": case7, "8": case8}

func main() {
	name, folder := os.Args[1], os.Args[2]
	openRecord(filepath.Join(folder, "record.txt"))
	held := cases[name](os.Getenv("TROUBLE") != "0")
	cleanUp()
	if !held {
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// exit ends the program with a code.
func exit(code int) { os.Exit(code) }
