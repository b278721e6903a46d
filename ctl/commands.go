package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/program"
	"github.com/cassiachute/cassiachute/settings"
)

// errDiffers means that a document would change something.
var errDiffers = errors.New("the document differs")

// Options are the flags and commands.
type Options struct {
	API     string `long:"api" env:"CASSIA_API" default:"127.0.0.1:9300" value-name:"ADDRESS" description:"address of the administration API"`
	Key     string `long:"key" env:"CASSIA_KEY" value-name:"KEY" description:"bearer key of the operator"`
	JSON    bool   `long:"json" description:"print JSON in place of tables"`
	Version bool   `long:"version" description:"print the version and exit"`

	Validate validateCommand `command:"validate" description:"check a document against the newest configuration" long-description:"Example: cassia-ctl validate fleet.json"`
	Diff     diffCommand     `command:"diff" description:"show what a document would change; exits with 6 if anything" long-description:"Example: cassia-ctl diff --prune fleet.json"`
	Apply    applyCommand    `command:"apply" description:"apply a document" long-description:"Example: cassia-ctl apply fleet.json"`
	Get      getCommand      `command:"get" description:"show objects of a kind, or one" long-description:"Example: cassia-ctl get targets engine1"`
	Put      putCommand      `command:"put" description:"set one object from a file" long-description:"Example: cassia-ctl put teams crew1 crew1.json"`
	Delete   deleteCommand   `command:"delete" description:"remove one object" long-description:"Example: cassia-ctl delete keys old"`
	Drain    drainCommand    `command:"drain" description:"give a target no new work, or with --undo work again" long-description:"Example: cassia-ctl drain engine1"`
	Status   statusCommand   `command:"status" description:"show the hosts and the shards that they own"`
	Teams    teamsCommand    `command:"teams" description:"show what the teams receive"`
	Targets  targetsCommand  `command:"targets" description:"show the targets and their slots"`
	Audit    auditCommand    `command:"audit" description:"show the audit trail" long-description:"Example: cassia-ctl audit --after 120 --limit 20"`
	Revision revisionCommand `command:"revision" description:"show a former configuration" long-description:"Example: cassia-ctl revision 120"`
}

// session is what the commands share.
type session struct {
	client *Client
	out    io.Writer
	json   bool
}

// current is the session of the command that runs.
type current struct{ *session }

func (c *current) use(s *session) { c.session = s }

// command is a command that takes a session.
type command struct {
	current
}

// print writes a value as JSON, or as a table.
func (s *session) print(value any, table func(out io.Writer)) error {
	if !s.json {
		table(s.out)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// fileArgument is a document to read; - is standard input.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

func (a fileArgument) read() ([]byte, error) {
	if a.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	body, err := os.ReadFile(a.File)
	return body, fault.Mark(err, ErrInvalid)
}

// validateCommand checks a document.
type validateCommand struct {
	command
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	problems, err := c.client.Validate(document)
	if err != nil {
		return err
	}
	err = c.print(problems, func(out io.Writer) { printProblems(out, problems.Problems) })
	if err == nil && len(problems.Problems) > 0 {
		return errors.Wrapf(ErrInvalid, "%d problems", len(problems.Problems))
	}
	return err
}

// diffCommand shows what a document would change.
type diffCommand struct {
	command
	Prune bool         `long:"prune" description:"also remove objects that the document lacks, of the kinds that it names"`
	Args  fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	result, err := c.client.Diff(document, c.Prune)
	if err != nil {
		return err
	}
	err = c.print(result, func(out io.Writer) { printChanges(out, result.Changes) })
	if err == nil && len(result.Changes) > 0 {
		return errDiffers
	}
	return err
}

// applyCommand applies a document.
type applyCommand struct {
	command
	Prune bool         `long:"prune" description:"also remove objects that the document lacks, of the kinds that it names"`
	Base  *uint64      `long:"base" value-name:"REVISION" description:"revision that the document was made from; the newest if not given"`
	Args  fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	document, err := c.Args.read()
	if err != nil {
		return err
	}
	diff, err := c.client.Diff(document, c.Prune)
	if err != nil {
		return err
	}
	base := diff.Revision
	if c.Base != nil {
		base = *c.Base
	}
	result, err := c.client.Apply(document, base, c.Prune)
	if err != nil {
		return err
	}
	result.Changes = diff.Changes
	return c.print(result, func(out io.Writer) {
		printChanges(out, diff.Changes)
		fmt.Fprintf(out, "revision %d\n", result.Revision)
	})
}

// getCommand shows objects.
type getCommand struct {
	command
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Args.Name != "" {
		object, err := c.client.Get(c.Args.Kind, c.Args.Name)
		if err != nil {
			return err
		}
		return c.print(object, func(out io.Writer) { printBody(out, object.Body) })
	}
	list, err := c.client.List(c.Args.Kind)
	if err != nil {
		return err
	}
	return c.print(list, func(out io.Writer) { printObjects(out, list.Objects) })
}

// putCommand sets an object.
type putCommand struct {
	command
	Match *uint64 `long:"match" value-name:"REVISION" description:"revision that last changed the object; the present one if not given"`
	Args  struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *putCommand) Execute([]string) error {
	body, err := fileArgument{File: c.Args.File}.read()
	if err != nil {
		return err
	}
	match, err := c.client.match(c.Match, c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	result, err := c.client.Put(c.Args.Kind, c.Args.Name, match, body)
	if err != nil {
		return err
	}
	return c.print(result, func(out io.Writer) { fmt.Fprintf(out, "revision %d\n", result.Revision) })
}

// match returns the revision given, or the one that last changed an object.
func (c *Client) match(given *uint64, kind, name string) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	object, err := c.Get(kind, name)
	if errors.Is(err, ErrMissing) {
		return 0, nil
	}
	return object.Revision, err
}

// deleteCommand removes an object.
type deleteCommand struct {
	command
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"yes"`
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	object, err := c.client.Get(c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	result, err := c.client.Delete(c.Args.Kind, c.Args.Name, object.Revision)
	if err != nil {
		return err
	}
	return c.print(result, func(out io.Writer) { fmt.Fprintf(out, "revision %d\n", result.Revision) })
}

// drainCommand keeps new work from a target.
type drainCommand struct {
	command
	Undo bool `long:"undo" description:"give the target work again"`
	Args struct {
		Name string `positional-arg-name:"TARGET" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	object, err := c.client.Get(catalog.Targets, c.Args.Name)
	if err != nil {
		return err
	}
	var t catalog.Target
	if err := settings.Parse(object.Body, &t); err != nil {
		return err
	}
	t.Leaving = !c.Undo
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	result, err := c.client.Put(catalog.Targets, c.Args.Name, object.Revision, body)
	if err != nil {
		return err
	}
	return c.print(result, func(out io.Writer) { fmt.Fprintf(out, "revision %d\n", result.Revision) })
}

// statusCommand shows the hosts.
type statusCommand struct{ command }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	live, err := c.client.Live()
	if err != nil {
		return err
	}
	return c.print(live, func(out io.Writer) { printStatus(out, live) })
}

// teamsCommand shows the teams.
type teamsCommand struct{ command }

// Execute implements flags.Commander.
func (c *teamsCommand) Execute([]string) error {
	live, err := c.client.Live()
	if err != nil {
		return err
	}
	teams := sumTeams(live)
	return c.print(teams, func(out io.Writer) { printTeams(out, teams) })
}

// targetsCommand shows the targets.
type targetsCommand struct{ command }

// Execute implements flags.Commander.
func (c *targetsCommand) Execute([]string) error {
	live, err := c.client.Live()
	if err != nil {
		return err
	}
	rows := targetRows(live)
	return c.print(rows, func(out io.Writer) { printTargets(out, rows) })
}

// auditCommand shows the audit trail.
type auditCommand struct {
	command
	After uint64 `long:"after" value-name:"REVISION" description:"show records after this revision"`
	Limit int    `long:"limit" default:"50" description:"show at most so many records"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	entries, err := c.client.Audit(c.After, c.Limit)
	if err != nil {
		return err
	}
	return c.print(entries, func(out io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(out, "%d  %s  %s\n", e.Revision, e.Time.Format(time.RFC3339), e.Actor)
			printChanges(out, e.Changes)
		}
	})
}

// revisionCommand shows a former configuration.
type revisionCommand struct {
	command
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *revisionCommand) Execute([]string) error {
	set, err := c.client.Revision(c.Args.Revision)
	if err != nil {
		return err
	}
	return c.print(set, func(out io.Writer) { printBody(out, set.Encode()) })
}

// Main runs the command line and returns its exit code.
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

// execute gives a command its session and runs it.
func (o *Options) execute(c flags.Commander, args []string, out io.Writer) error {
	if c == nil || o.Version {
		return nil
	}
	address, err := netip.ParseAddrPort(o.API)
	if err != nil {
		return fault.Mark(errors.Wrap(err, "api"), settings.ErrInvalid)
	}
	s := &session{client: NewClient(address, o.Key), out: out, json: o.JSON}
	if user, ok := c.(sessionUser); ok {
		user.use(s)
	}
	return c.Execute(args)
}

// sessionUser is what all commands implement by embedding command.
type sessionUser interface{ use(s *session) }

// exitCode prints an error and returns the code for it.
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
	case errors.Is(err, ErrDown):
		return program.ExitDown
	default:
		return program.ExitFailed
	}
}
