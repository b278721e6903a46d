package ctl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/cassiachute/cassiachute/admin"
	"github.com/cassiachute/cassiachute/catalog"
	"github.com/cassiachute/cassiachute/entry"
)

// tabPadding is the number of spaces between the columns of a table.
const tabPadding = 2

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, tabPadding, ' ', 0)
}

func printProblems(out io.Writer, problems []catalog.Problem) {
	for _, p := range problems {
		fmt.Fprintf(out, "%s: %s\n", p.Path, p.Reason)
	}
	if len(problems) == 0 {
		fmt.Fprintln(out, "no problems")
	}
}

func printChanges(out io.Writer, changes []catalog.Change) {
	for _, c := range changes {
		if c.Body == nil {
			fmt.Fprintf(out, "- %s/%s\n", c.Kind, c.Name)
			continue
		}
		fmt.Fprintf(out, "+ %s/%s %s\n", c.Kind, c.Name, compact(c.Body))
	}
}

// compact returns JSON on one line, or the text as it is if it isn't valid JSON.
func compact(body json.RawMessage) string {
	var buf bytes.Buffer
	if err := json.Compact(&buf, body); err != nil {
		return string(body)
	}
	return buf.String()
}

func printBody(out io.Writer, body []byte) {
	var buf bytes.Buffer
	if err := json.Indent(&buf, body, "", "  "); err != nil {
		buf.Write(body)
	}
	fmt.Fprintln(out, buf.String())
}

func printObjects(out io.Writer, objects []admin.Object) {
	w := newTable(out)
	fmt.Fprintln(w, "NAME\tREVISION\tOBJECT")
	for _, o := range objects {
		fmt.Fprintf(w, "%s\t%d\t%s\n", o.Name, o.Revision, compact(o.Body))
	}
	w.Flush()
}

func printStatus(out io.Writer, status *admin.FleetStatus) {
	w := newTable(out)
	fmt.Fprintln(w, "HOST\tPLACE\tREADY\tREVISION\tWAITING\tRUNNING\tLIVE\tOWNS")
	for _, h := range status.Hosts {
		shards := ""
		for _, s := range h.Shards {
			shards += fmt.Sprintf("%s %d/%d ", s.Service, s.Used, s.Slots)
		}
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%s\n",
			h.Peer, h.Place, h.Ready, h.Revision, h.Waiting, h.Running, len(h.Live), shards)
	}
	w.Flush()
	for _, address := range status.Missing {
		fmt.Fprintf(out, "%s does not answer\n", address)
	}
}

// TeamRow is the service that a team receives, summed over all places.
type TeamRow struct {
	Team    string  `json:"team"`
	Service string  `json:"service"`
	Served  uint64  `json:"served"`
	Virtual float64 `json:"virtual"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
}

// sumTeamRows adds up the status of each team and service over all shards.
func sumTeamRows(status *admin.FleetStatus) []TeamRow {
	rows := map[string]*TeamRow{}
	for _, h := range status.Hosts {
		for _, s := range h.Shards {
			for _, t := range s.Teams {
				addTeam(rows, s.Service, t)
			}
		}
	}
	list := make([]TeamRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b TeamRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return list
}

func addTeam(rows map[string]*TeamRow, service string, t entry.TeamStatus) {
	key := service + "/" + t.Team
	r := rows[key]
	if r == nil {
		r = &TeamRow{Team: t.Team, Service: service}
		rows[key] = r
	}
	r.Served += t.Served
	r.Virtual = max(r.Virtual, t.Virtual)
	r.Waiting += t.Waiting
	r.Running += t.Running
}

func printTeams(out io.Writer, rows []TeamRow) {
	w := newTable(out)
	fmt.Fprintln(w, "SERVICE\tTEAM\tSERVED\tVIRTUAL\tWAITING\tRUNNING")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%d\t%d\n", r.Service, r.Team, r.Served, r.Virtual, r.Waiting, r.Running)
	}
	w.Flush()
}

// TargetRow is the state of a target, with the service and place of its shard.
type TargetRow struct {
	Service string `json:"service"`
	Place   string `json:"place"`
	entry.TargetStatus
}

func targetRows(status *admin.FleetStatus) []TargetRow {
	list := []TargetRow{}
	for _, h := range status.Hosts {
		for _, s := range h.Shards {
			for _, t := range s.Targets {
				list = append(list, TargetRow{Service: s.Service, Place: s.Place, TargetStatus: t})
			}
		}
	}
	slices.SortFunc(list, func(a, b TargetRow) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

func printTargets(out io.Writer, rows []TargetRow) {
	w := newTable(out)
	fmt.Fprintln(w, "TARGET\tSERVICE\tPLACE\tRUNNING\tLIMIT\tSLOTS\tSTATE")
	for _, r := range rows {
		state := "in service"
		if r.Resting {
			state = "resting after a failure"
		}
		if r.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Target, r.Service, r.Place, r.Running, r.Limit, r.Slots, state)
	}
	w.Flush()
}
