// Command cassia-capacity measures how time, bytes and memory of the parts of the
// system grow with its size, and prints the fitted lines as the Markdown table of
// docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/cassiachute/cassiachute/capacity"
	"github.com/cassiachute/cassiachute/experiment"
	"github.com/cassiachute/cassiachute/program"
)

// options holds the command-line flags.
type options struct {
	program.VersionFlag

	Plot string `long:"plot" value-name:"DIRECTORY" description:"also write a plot of the time that a grant of a slot takes"`
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
