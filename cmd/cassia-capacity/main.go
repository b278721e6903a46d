// Command cassia-capacity measures the slopes of docs/CAPACITY.md and prints
// them as a table.
package main

import (
	"fmt"
	"os"

	"github.com/cassiachute/cassiachute/capacity"
	"github.com/cassiachute/cassiachute/experiment"
	"github.com/cassiachute/cassiachute/program"
)

// options are the flags.
type options struct {
	program.Release

	Plot string `long:"plot" value-name:"DIRECTORY" description:"also write a plot of the time of a grant"`
}

func main() {
	var o options
	if proceed, code := program.Parse(&o, os.Args[1:], os.Stdout); !proceed {
		os.Exit(code)
	}
	fmt.Println("| what | points | fit | R2 |")
	fmt.Println("|---|---|---|---|")
	slopes := capacity.Measure()
	for _, s := range slopes {
		s.Write(os.Stdout)
	}
	if o.Plot == "" {
		return
	}
	if err := experiment.PlotSlopes(o.Plot, slopes); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(program.ExitFailed)
	}
}
