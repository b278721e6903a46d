// Command cassia-standin runs stand-ins for what surrounds the system. It is
// for tests and demonstrations only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/faults"
	"github.com/cassiachute/cassiachute/standin/plain"
	"github.com/cassiachute/cassiachute/standin/platform"
)

// listenOption is the address to serve at.
type listenOption struct {
	Listen string `long:"listen" required:"yes" value-name:"ADDRESS" description:"IP number and port"`
}

func (o listenOption) listen() (net.Listener, error) { return net.Listen("tcp", o.Listen) }

// engineCommand runs a model engine.
type engineCommand struct {
	listenOption
	Batch  int           `long:"batch" default:"8" description:"most requests that run at once"`
	Base   time.Duration `long:"base" default:"4ms" description:"time of a step with an empty batch"`
	Slope  time.Duration `long:"slope" default:"200us" description:"further time of a step for each request"`
	Poison string        `long:"poison" description:"a prompt with this word crashes the engine"`
	Fence  bool          `long:"fence" description:"refuse an old fencing number"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	config := engine.NewConfig()
	config.Batch, config.Base, config.Slope = c.Batch, c.Base, c.Slope
	config.Poison, config.Fence = c.Poison, c.Fence
	e := engine.New(config, listener, engine.WithCrash(func() { os.Exit(program.ExitFailed) }))
	return serve(e.Run)
}

// plainCommand runs a plain service.
type plainCommand struct {
	listenOption
	Slots int           `long:"slots" default:"8" description:"most requests that run at once"`
	Work  time.Duration `long:"work" default:"20ms" description:"time of a request that does not tell"`
	Fence bool          `long:"fence" description:"refuse an old fencing number"`
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	return serve(plain.New(plain.Config{Slots: c.Slots, Work: c.Work, Fence: c.Fence}, listener).Run)
}

// platformCommand runs the platform's services.
type platformCommand struct {
	listenOption
	Reads  float64       `long:"reads" default:"2000" description:"reads a second"`
	Writes float64       `long:"writes" default:"500" description:"writes a second"`
	Lag    time.Duration `long:"lag" default:"2s" description:"age of the list of hosts"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	return serve(platform.New(platform.Config{Reads: c.Reads, Writes: c.Writes, Lag: c.Lag}, listener).Run)
}

// faultsCommand runs the fault-injecting proxy.
type faultsCommand struct {
	listenOption
	Upstream string `long:"upstream" required:"yes" value-name:"ADDRESS" description:"address to pass on to"`
	Control  string `long:"control" value-name:"ADDRESS" description:"address that takes faults"`
}

// Execute implements flags.Commander.
func (c *faultsCommand) Execute([]string) error {
	upstream, err := netip.ParseAddrPort(c.Upstream)
	if err != nil {
		return err
	}
	listener, err := c.listen()
	if err != nil {
		return err
	}
	proxy := faults.New(listener, upstream)
	if c.Control != "" {
		control, err := net.Listen("tcp", c.Control)
		if err != nil {
			return err
		}
		return serve(proxy.Run, func(ctx context.Context) <-chan struct{} { return proxy.Control(ctx, control) })
	}
	return serve(proxy.Run)
}

// serve runs until a signal or until one of the parts ends.
func serve(parts ...func(ctx context.Context) <-chan struct{}) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, part := range parts {
		done := part(ctx)
		defer func() { <-done }()
		context.AfterFunc(ctx, stop)
	}
	<-ctx.Done()
	return nil
}

// options are the commands.
type options struct {
	Engine   engineCommand   `command:"engine" description:"a model engine"`
	Plain    plainCommand    `command:"plain" description:"a plain service"`
	Platform platformCommand `command:"platform" description:"the platform's table, object store and list of hosts"`
	Faults   faultsCommand   `command:"faults" description:"a TCP proxy that injects faults"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if flags.WroteHelp(err) {
			os.Exit(program.ExitOK)
		}
		os.Exit(program.ExitUsage)
	}
}
