package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/settings"
)

// errDiffers means that applying a document would change the configuration.
var errDiffers = errors.New("the document differs from the configuration")

// session holds the client and the output options that all commands share.
type session struct {
	client *Client
	out    io.Writer
	json   bool
}

// sessionHolder holds the session of a command.
type sessionHolder struct{ *session }

func (c *sessionHolder) setSession(s *session) { c.session = s }

// baseCommand is embedded in every command and gives it a session.
type baseCommand struct {
	sessionHolder
}

// print writes the value as JSON if --json is set, or calls table.
func (s *session) print(value any, table func(out io.Writer)) error {
	if !s.json {
		table(s.out)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// fileArgument is the argument that names a file to read; - is standard input.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// read returns the contents of the file.
func (a fileArgument) read() ([]byte, error) {
	if a.File == "-" {
		return io.ReadAll(os.Stdin)
	}
	body, err := os.ReadFile(a.File)
	return body, fault.Mark(err, ErrInvalid)
}

// validateCommand checks a document against the newest configuration.
type validateCommand struct {
	baseCommand
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
		return errors.Wrapf(ErrInvalid, "%d problems in the document", len(problems.Problems))
	}
	return err
}

// diffCommand shows the changes that applying a document would make.
type diffCommand struct {
	baseCommand
	Prune bool         `long:"prune" description:"also remove objects that are missing from the document, of the kinds that it names"`
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
	baseCommand
	Prune bool         `long:"prune" description:"also remove objects that are missing from the document, of the kinds that it names"`
	Base  *uint64      `long:"base" value-name:"REVISION" description:"revision that the document is based on; the newest if not given"`
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

// getCommand shows all objects of a kind, or one object.
type getCommand struct {
	baseCommand
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

// putCommand creates or replaces an object.
type putCommand struct {
	baseCommand
	Match *uint64 `long:"match" value-name:"REVISION" description:"revision in which the object last changed; looked up if not given"`
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
	match, err := c.client.matchRevision(c.Match, c.Args.Kind, c.Args.Name)
	if err != nil {
		return err
	}
	result, err := c.client.Put(c.Args.Kind, c.Args.Name, match, body)
	if err != nil {
		return err
	}
	return c.print(result, func(out io.Writer) { fmt.Fprintf(out, "revision %d\n", result.Revision) })
}

// matchRevision returns the given revision, or else the one in which an object last
// changed: 0 if it does not exist.
func (c *Client) matchRevision(given *uint64, kind, name string) (uint64, error) {
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
	baseCommand
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

// drainCommand stops or resumes sending new work to a target.
type drainCommand struct {
	baseCommand
	Undo bool `long:"undo" description:"send the target new work again"`
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
	t.Draining = !c.Undo
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

// statusCommand shows the state of the hosts.
type statusCommand struct{ baseCommand }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status, err := c.client.Status()
	if err != nil {
		return err
	}
	return c.print(status, func(out io.Writer) { printStatus(out, status) })
}

// teamsCommand shows the service that each team receives.
type teamsCommand struct{ baseCommand }

// Execute implements flags.Commander.
func (c *teamsCommand) Execute([]string) error {
	status, err := c.client.Status()
	if err != nil {
		return err
	}
	teams := sumTeamRows(status)
	return c.print(teams, func(out io.Writer) { printTeams(out, teams) })
}

// targetsCommand shows the state of the targets.
type targetsCommand struct{ baseCommand }

// Execute implements flags.Commander.
func (c *targetsCommand) Execute([]string) error {
	status, err := c.client.Status()
	if err != nil {
		return err
	}
	rows := targetRows(status)
	return c.print(rows, func(out io.Writer) { printTargets(out, rows) })
}

// auditCommand shows the audit trail.
type auditCommand struct {
	baseCommand
	After uint64 `long:"after" value-name:"REVISION" description:"show records after this revision"`
	Limit int    `long:"limit" default:"50" description:"maximum number of records to show"`
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

// revisionCommand shows the configuration of a revision.
type revisionCommand struct {
	baseCommand
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
