// Command cassia-ctl is the operator's command line.
package main

import (
	"os"

	"github.com/cassiachute/cassiachute/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
