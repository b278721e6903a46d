// Package load sends open-loop load according to a plan and computes the results:
// the fairness gap, the utilization, the control traffic, the share of service that
// other streams retain in a flood, and the answers that are incomplete, duplicated
// or in conflict with what the targets ran.
package load

import (
	"fmt"
	"net/netip"

	"github.com/cassiachute/cassiachute/settings"
)

// Kinds of stream.
const (
	KindStreaming    = "model" // streamed completions
	KindNonStreaming = "whole" // completions that are not streamed
	KindPlain        = "plain" // repeatable requests to a plain service
	KindOrder        = "order" // orders, a share of which is sent twice
)

// Stream is the load of one team with one kind of request.
type Stream struct {
	Name           string            `json:"name"`
	Team           string            `json:"team"`
	Key            string            `json:"key"`     // bearer key
	Service        string            `json:"service"` // name of the service
	Kind           string            `json:"kind"`
	Entries        []int             `json:"entries"` // positions in the plan's entries; all if empty
	Rate           float64           `json:"rate"`    // requests per second, open loop
	Backlog        int               `json:"backlog"` // requests kept outstanding instead of a rate
	Urgency        string            `json:"urgency"`
	Deadline       settings.Duration `json:"patient"` // deadline sent with each request
	MinSize        int               `json:"least"`   // smallest number of answer tokens, or of ms for plain requests and orders
	MaxSize        int               `json:"most"`    // largest number of them
	PromptWords    int               `json:"prompt"`  // number of words of a prompt
	SharedWords    int               `json:"shared"`  // number of leading words shared by all prompts of the stream
	DuplicateShare float64           `json:"twice"`   // share of the orders that is sent a second time
	From           settings.Duration `json:"from"`    // start of the stream
	Until          settings.Duration `json:"until"`   // end of the stream; the end of the run if 0
	Flood          bool              `json:"flood"`   // excluded from the share of service that other streams retain
	Weight         float64           `json:"weight"`  // weight of the team; 1 if 0
}

// Phase is a named period of a run.
type Phase struct {
	Name  string            `json:"name"`
	From  settings.Duration `json:"from"`
	Until settings.Duration `json:"until"`
	Flood bool              `json:"flood"` // other streams are compared with their service in the phase without a flood
}

// Target is a target stand-in whose state is sampled.
type Target struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
}

// Plan describes the load of a run.
type Plan struct {
	Seed    uint64            `json:"seed"`
	Length  settings.Duration `json:"length"`  // duration of the run
	Settle  settings.Duration `json:"settle"`  // time after the run during which answers may still arrive
	Entries []netip.AddrPort  `json:"entries"` // addresses of the entry hosts for callers
	Status  []netip.AddrPort  `json:"status"`  // status addresses of the entries
	Targets []Target          `json:"targets"`
	Streams []Stream          `json:"streams"`
	Phases  []Phase           `json:"phases"`
}

// Check returns all violations as one error marked settings.ErrInvalid, or nil.
func (p *Plan) Check() error {
	var c settings.Checker
	c.RequirePositive(p.Length, "length")
	c.Require(len(p.Entries) > 0, "entries", "must contain at least one address")
	c.Require(len(p.Streams) > 0, "streams", "must contain at least one stream")
	for i, s := range p.Streams {
		field := fmt.Sprintf("streams[%d].", i)
		c.Require(s.Team != "", field+"team", "must not be empty")
		c.Require(s.Service != "", field+"service", "must not be empty")
		c.Require(s.Rate > 0 || s.Backlog > 0, field+"rate", "must be positive if there is no backlog")
		c.Require(s.MaxSize >= s.MinSize, field+"most", "must not be less than least")
		switch s.Kind {
		case KindStreaming, KindNonStreaming, KindPlain, KindOrder:
		default:
			c.Require(false, field+"kind", "unknown kind %q", s.Kind)
		}
		for _, n := range s.Entries {
			c.Require(n >= 0 && n < len(p.Entries), field+"entries", "entry %d does not exist", n)
		}
	}
	return c.Err()
}
