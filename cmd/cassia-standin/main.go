// Command cassia-standin runs a stand-in for a target or for the platform's services,
// or a TCP proxy that injects faults. It is for tests and demonstrations only.
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

// listenOption is the flag for the address to listen on.
type listenOption struct {
	Listen string `long:"listen" required:"yes" value-name:"ADDRESS" description:"IP address and port to listen on"`
}

func (o listenOption) listen() (net.Listener, error) { return net.Listen("tcp", o.Listen) }

// engineCommand runs the stand-in for a model engine.
type engineCommand struct {
	listenOption
	Batch  int           `long:"batch" default:"8" description:"maximum number of requests that run at once"`
	Base   time.Duration `long:"base" default:"4ms" description:"duration of a step with an empty batch"`
	Slope  time.Duration `long:"slope" default:"200us" description:"additional duration of a step for each running request"`
	Poison string        `long:"poison" description:"crash on a prompt that contains this word"`
	Fence  bool          `long:"fence" description:"reject requests with an old fencing number"`
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

// plainCommand runs the stand-in for a plain service.
type plainCommand struct {
	listenOption
	Slots int           `long:"slots" default:"8" description:"maximum number of requests that run at once"`
	Work  time.Duration `long:"work" default:"20ms" description:"duration of a request that does not state one"`
	Fence bool          `long:"fence" description:"reject requests with an old fencing number"`
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	return serve(plain.New(plain.Config{Slots: c.Slots, Work: c.Work, Fence: c.Fence}, listener).Run)
}

// platformCommand runs the stand-in for the platform's services.
type platformCommand struct {
	listenOption
	Reads  float64       `long:"reads" default:"2000" description:"maximum number of reads per second"`
	Writes float64       `long:"writes" default:"500" description:"maximum number of writes per second"`
	Lag    time.Duration `long:"lag" default:"2s" description:"time by which the list of hosts lags behind"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	listener, err := c.listen()
	if err != nil {
		return err
	}
	return serve(platform.New(platform.Config{Reads: c.Reads, Writes: c.Writes, Lag: c.Lag}, listener).Run)
}

// faultsCommand runs the TCP proxy that injects faults.
type faultsCommand struct {
	listenOption
	Upstream string `long:"upstream" required:"yes" value-name:"ADDRESS" description:"address to forward connections to"`
	Control  string `long:"control" value-name:"ADDRESS" description:"address of the endpoint that sets faults"`
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

// serve starts the servers and waits for a signal. It returns when all of them have
// stopped.
func serve(servers ...func(ctx context.Context) <-chan struct{}) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, start := range servers {
		done := start(ctx)
		defer func() { <-done }()
		context.AfterFunc(ctx, stop)
	}
	<-ctx.Done()
	return nil
}

// options holds the subcommands.
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
