// Package load sends open-loop load from a plan and works out the measures:
// the fairness gap, the use of capacity, control traffic, what other work keeps
// in a flood, and every answer that is incomplete, untrue or doubled.
package load

import (
	"fmt"
	"net/netip"

	"github.com/cassiachute/cassiachute/settings"
)

// Kinds of stream.
const (
	KindModel = "model" // completions, streamed
	KindWhole = "whole" // completions in one body
	KindPlain = "plain" // repeatable calls of a plain service
	KindOrder = "order" // orders, some of them sent twice
)

// Stream is one team's work of one kind.
type Stream struct {
	Name    string            `json:"name"`
	Team    string            `json:"team"`
	Key     string            `json:"key"`     // bearer key
	Service string            `json:"service"` // name of the service
	Kind    string            `json:"kind"`
	Entries []int             `json:"entries"` // positions in the plan's entries; all if empty
	Rate    float64           `json:"rate"`    // requests a second, open loop
	Backlog int               `json:"backlog"` // requests kept outstanding in place of a rate
	Urgency string            `json:"urgency"`
	Patient settings.Duration `json:"patient"` // deadline sent with each request
	Least   int               `json:"least"`   // least answer tokens, or least ms of a plain request
	Most    int               `json:"most"`    // most of them
	Prompt  int               `json:"prompt"`  // words of a prompt
	Shared  int               `json:"shared"`  // leading words that all prompts of the stream share
	Twice   float64           `json:"twice"`   // part of the orders that are sent again
	From    settings.Duration `json:"from"`    // when the stream begins
	Until   settings.Duration `json:"until"`   // when it ends; at the end of the run if 0
	Flood   bool              `json:"flood"`   // not counted among the work that is to be kept
	Weight  float64           `json:"weight"`  // weight of the team, 1 if not given
}

// Phase is a named part of a run.
type Phase struct {
	Name  string            `json:"name"`
	From  settings.Duration `json:"from"`
	Until settings.Duration `json:"until"`
	Flood bool              `json:"flood"` // work of other streams is compared with the phase that is none
}

// Target is a stand-in to sample.
type Target struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
}

// Plan is what a run does.
type Plan struct {
	Seed    uint64            `json:"seed"`
	Length  settings.Duration `json:"length"`  // time of the run
	Settle  settings.Duration `json:"settle"`  // time after the run for answers to arrive
	Entries []netip.AddrPort  `json:"entries"` // addresses for callers
	Status  []netip.AddrPort  `json:"status"`  // status addresses of the entries
	Targets []Target          `json:"targets"`
	Streams []Stream          `json:"streams"`
	Phases  []Phase           `json:"phases"`
}

// Check returns all faults as one error marked settings.ErrInvalid, or nil.
func (p *Plan) Check() error {
	var c settings.Checker
	c.RequirePositive(p.Length, "length")
	c.Require(len(p.Entries) > 0, "entries", "must name an entry host")
	c.Require(len(p.Streams) > 0, "streams", "must name a stream")
	for i, s := range p.Streams {
		field := fmt.Sprintf("streams[%d].", i)
		c.Require(s.Team != "", field+"team", "must not be empty")
		c.Require(s.Service != "", field+"service", "must not be empty")
		c.Require(s.Rate > 0 || s.Backlog > 0, field+"rate", "needs a rate or a backlog")
		c.Require(s.Most >= s.Least, field+"most", "must be at least the least")
		switch s.Kind {
		case KindModel, KindWhole, KindPlain, KindOrder:
		default:
			c.Require(false, field+"kind", "no kind %q", s.Kind)
		}
		for _, n := range s.Entries {
			c.Require(n >= 0 && n < len(p.Entries), field+"entries", "no entry %d", n)
		}
	}
	return c.Err()
}
