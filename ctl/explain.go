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

// maxLineBytes is the maximum length of a line of a log file.
const maxLineBytes = 1 << 20

// errNotLogged means that none of the logs contains a line about the request.
var errNotLogged = errors.New("no log line about the request")

// explainCommand shows how one request was handled, from the logs of gateways.
type explainCommand struct {
	baseCommand
	Arguments struct {
		ID    string   `positional-arg-name:"ID" required:"yes"`
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var logs requestLog
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return fault.Mark(err, ErrInvalid)
		}
		err = logs.addLines(file)
		_ = file.Close() // the file was only read
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	return logs.printRequest(c.out, c.Arguments.ID)
}

// logLine is a line of a gateway's log. Fields that explain doesn't need are kept in
// raw only.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   string    `json:"event"`
	Request string    `json:"request"`
	Target  string    `json:"target"`
	Reason  string    `json:"reason"`
	Status  int       `json:"status"`
	Error   string    `json:"error"`
	raw     string    // the JSON object as it stands in the log
}

// requestLog holds the lines of all logs.
type requestLog struct{ lines []logLine }

// addLines adds the lines of a log. It skips text before the JSON object of a line, and
// lines without a JSON object that names an event.
func (s *requestLog) addLines(from io.Reader) error {
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

// causeEvents maps the reason for which a request ended to the events that can have
// caused it.
var causeEvents = map[string][]string{
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

// printRequest prints the lines about a request in order of time, after the events of
// the host that caused its outcome, and at the end the raw line that decided the
// outcome. An arrow marks that line in the table.
func (s *requestLog) printRequest(out io.Writer, id string) error {
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var requestLines []logLine
	for _, line := range s.lines {
		if line.Request == id {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return errors.Wrap(errNotLogged, id)
	}
	decisive := decisiveIndex(requestLines)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, line := range s.causesOf(requestLines[decisive]) {
		line.print(table, "behind it")
	}
	for i, line := range requestLines {
		mark := ""
		if i == decisive {
			mark = "->"
		}
		line.print(table, mark)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "\n%s\n", requestLines[decisive].raw)
	return err
}

// decisiveIndex returns the index of the line that shows how the request ended: the
// last line with a reason, or else the last line.
func decisiveIndex(lines []logLine) int {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Reason != "" {
			return i
		}
	}
	return len(lines) - 1
}

// causesOf returns the events that can have caused the reason of a line: the last event
// of each kind that the same host logged before the line, outside the same request.
func (s *requestLog) causesOf(line logLine) []logLine {
	var found []logLine
	for _, event := range causeEvents[line.Reason] {
		for i := len(s.lines) - 1; i >= 0; i-- {
			l := s.lines[i]
			if l.Event == event && l.Host == line.Host && !l.Time.After(line.Time) && l.Request != line.Request {
				found = append(found, l)
				break
			}
		}
	}
	return found
}

// print writes the line as a row of a table, after a mark.
func (l logLine) print(out io.Writer, mark string) {
	detail := l.Reason
	if l.Error != "" {
		detail = l.Error
	}
	status := ""
	if l.Status > 0 {
		status = fmt.Sprint(l.Status)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mark, l.Time.Format(time.RFC3339Nano), l.Host, l.Event, l.Target, status, detail)
}
