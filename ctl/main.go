package ctl

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

// Options holds the flags and commands.
type Options struct {
	API     string `long:"api" env:"CASSIA_API" default:"127.0.0.1:9300" value-name:"ADDRESS" description:"address of the administration API"`
	Key     string `long:"key" env:"CASSIA_KEY" value-name:"KEY" description:"bearer key of the operator"`
	JSON    bool   `long:"json" description:"print JSON instead of tables"`
	Version bool   `long:"version" description:"print the version and exit"`

	Validate validateCommand `command:"validate" description:"check a document against the newest configuration" long-description:"Example: cassia-ctl validate fleet.json"`
	Diff     diffCommand     `command:"diff" description:"show what a document would change; exits with 6 if it changes anything" long-description:"Example: cassia-ctl diff --prune fleet.json"`
	Apply    applyCommand    `command:"apply" description:"apply a document" long-description:"Example: cassia-ctl apply fleet.json"`
	Get      getCommand      `command:"get" description:"show the objects of a kind, or one object" long-description:"Example: cassia-ctl get targets engine1"`
	Put      putCommand      `command:"put" description:"create or replace one object from a file" long-description:"Example: cassia-ctl put teams crew1 crew1.json"`
	Delete   deleteCommand   `command:"delete" description:"remove one object" long-description:"Example: cassia-ctl delete keys old"`
	Drain    drainCommand    `command:"drain" description:"stop sending a target new work, or with --undo resume" long-description:"Example: cassia-ctl drain engine1"`
	Status   statusCommand   `command:"status" description:"show the hosts and the shards that they own"`
	Teams    teamsCommand    `command:"teams" description:"show the service that the teams receive"`
	Targets  targetsCommand  `command:"targets" description:"show the targets and their slots"`
	Audit    auditCommand    `command:"audit" description:"show the audit trail" long-description:"Example: cassia-ctl audit --after 120 --limit 20"`
	Explain  explainCommand  `command:"explain" description:"show how one request was handled, from the logs of gateways" long-description:"Example: cassia-ctl explain 9c41d07be2a35f68 host1.log host2.log"`
	Revision revisionCommand `command:"revision" description:"show the configuration of a revision" long-description:"Example: cassia-ctl revision 120"`
}

// Main parses and runs a command line and returns the exit code.
func Main(arguments []string, out, errOut io.Writer) int {
	var o Options
	parser := flags.NewNamedParser("cassia-ctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(errOut, err)
		return program.ExitFailed
	}
	parser.SubcommandsOptional = true
	parser.CommandHandler = func(c flags.Commander, args []string) error {
		return o.execute(c, args, out)
	}
	_, err := parser.ParseArgs(arguments)
	if err == nil && parser.Active == nil && !o.Version {
		parser.WriteHelp(out)
		return program.ExitUsage
	}
	if err == nil && o.Version {
		fmt.Fprintln(out, program.Version())
	}
	return exitCode(err, out, errOut)
}

// execute gives a command its session and runs it. Without a command or with
// --version it does nothing.
func (o *Options) execute(c flags.Commander, args []string, out io.Writer) error {
	if c == nil || o.Version {
		return nil
	}
	address, err := netip.ParseAddrPort(o.API)
	if err != nil {
		return fault.Mark(errors.Wrap(err, "api"), settings.ErrInvalid)
	}
	s := &session{client: NewClient(address, o.Key), out: out, json: o.JSON}
	if setter, ok := c.(sessionSetter); ok {
		setter.setSession(s)
	}
	return c.Execute(args)
}

// sessionSetter is implemented by all commands, which embed baseCommand.
type sessionSetter interface{ setSession(s *session) }

// exitCode prints the error and returns its exit code. The help text is printed to out;
// errDiffers is printed nowhere, since the command has shown the differences.
func exitCode(err error, out, errOut io.Writer) int {
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return program.ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagsErr.Message)
		return program.ExitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(errOut, err)
		return program.ExitUsage
	case errors.Is(err, errDiffers):
		return program.ExitDiffers
	}
	fmt.Fprintln(errOut, "cassia-ctl:", err)
	switch {
	case errors.Is(err, ErrConflict):
		return program.ExitConflict
	case errors.Is(err, ErrInvalid), errors.Is(err, settings.ErrInvalid):
		return program.ExitInvalid
	case errors.Is(err, ErrUnreachable):
		return program.ExitUnreachable
	default:
		return program.ExitFailed
	}
}
