package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute/fault"
)

const maxLineBytes = 1 << 20

// errNotLogged means that no log has a line about the request.
var errNotLogged = errors.New("no line about the request")

// explainCommand tells the story of one request from the logs of gateways.
type explainCommand struct {
	command
	Arguments struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var story story
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Mark(err, ErrInvalid)
		}
		err = story.read(file)
		_ = file.Close() // only read
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return story.tell(c.out, c.Arguments.ID)
}

// logLine is what a line of a gateway's log says.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   string    `json:"event"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	Reason  string    `json:"reason"`
	Status  int       `json:"status"`
	Error   string    `json:"error"`
	raw     string
}

// story is what the logs say.
type story struct{ lines []logLine }

// read adds the lines of a log. Text before the JSON object of a line is left out,
// and so are lines without one.
func (s *story) read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		at := strings.IndexByte(scanner.Text(), '{')
		if at < 0 {
			continue
		}
		line := logLine{raw: scanner.Text()[at:]}
		if json.Unmarshal([]byte(line.raw), &line) == nil && line.Event != "" {
			s.lines = append(s.lines, line)
		}
	}
	return scanner.Err()
}

// causes are the events that tell why a request ended for a reason.
var causes = map[string][]string{
	"stale-configuration": {"store-lost"},
	"no-configuration":    {"start", "store-lost"},
	"no-route":            {"configuration"},
	"no-key":              {"configuration"},
	"target-failed":       {"target-crashed", "targets"},
	"target-unreached":    {"target-crashed", "targets", "peer-lost"},
	"stream-broken":       {"target-crashed", "targets"},
	"no-target":           {"targets"},
	"stopping":            {"stopping"},
	"poison":              {"target-crashed"},
}

// tell prints the lines about a request in order. The decisive one is marked with
// an arrow; before it stand the events of its host that are behind its reason.
func (s *story) tell(out io.Writer, id string) error {
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var own []logLine
	for _, line := range s.lines {
		if line.Request == id {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return errors.Wrap(errNotLogged, id)
	}
	decisive := decide(own)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, line := range s.behind(own[decisive]) {
		line.print(table, "behind it")
	}
	for i, line := range own {
		mark := ""
		if i == decisive {
			mark = "->"
		}
		line.print(table, mark)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", own[decisive].raw)
	return err
}

// decide returns the line that says how the request ended: the last one with a
// reason, or the last one.
func decide(lines []logLine) int {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Reason != "" {
			return i
		}
	}
	return len(lines) - 1
}

// behind returns the last event of each kind that is behind a line's reason, on the
// same host and before it.
func (s *story) behind(line logLine) []logLine {
	var list []logLine
	for _, event := range causes[line.Reason] {
		for i := len(s.lines) - 1; i >= 0; i-- {
			l := s.lines[i]
			if l.Event == event && l.Host == line.Host && !l.Time.After(line.Time) && l.Request != line.Request {
				list = append(list, l)
				break
			}
		}
	}
	return list
}

func (l logLine) print(out io.Writer, mark string) {
	what := l.Reason
	if l.Error != "" {
		what = l.Error
	}
	status := ""
	if l.Status > 0 {
		status = fmt.Sprint(l.Status)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mark, l.Time.Format(time.RFC3339Nano), l.Host, l.Event, l.Target, status, what)
}
