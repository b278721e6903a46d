// Command cassia-capacity measures the slopes of docs/CAPACITY.md and prints
// them as a table.
package main

import (
	"fmt"
	"os"

	"github.com/cassiachute/cassiachute/capacity"
	"github.com/cassiachute/cassiachute/program"
)

// options are the flags.
type options struct {
	Version bool `long:"version" description:"print the version and exit"`
}

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	if o.Version {
		fmt.Println(program.Version())
		return
	}
	fmt.Println("| what | points | fit | R2 |")
	fmt.Println("|---|---|---|---|")
	for _, s := range capacity.Measure() {
		s.Write(os.Stdout)
	}
}
