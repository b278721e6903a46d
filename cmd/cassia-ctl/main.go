// Command cassia-ctl is the operators' command-line client of the administration API.
package main

import (
	"os"

	"github.com/cassiachute/cassiachute/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
