// Package admin is the administration API: objects of the configuration, sets
// of them, history, audit trail, and the live state of the fleet.
//
// It keeps nothing itself; all is in the platform's table and object store.
package admin

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/cassiachute/cassiachute/settings"
)

const digestBytes = 32

// Operator may use the API.
type Operator struct {
	Name   string `json:"name"`   // stands in the audit trail
	Digest string `json:"digest"` // hexadecimal SHA-256 of the bearer key
}

// Settings are the settings of the administration API.
type Settings struct {
	Listen    netip.AddrPort   `json:"listen"`    // address for operators
	Platform  netip.AddrPort   `json:"platform"`  // address of the platform
	Operators []Operator       `json:"operators"` // who may use the API
	Entries   []netip.AddrPort `json:"entries"`   // status addresses of entry hosts, for the live state
	Level     string           `json:"level"`     // least level of log lines
}

// NewSettings returns settings with the defaults.
func NewSettings() Settings { return Settings{Level: "info"} }

// Check returns all faults as one error marked settings.ErrInvalid, or nil.
func (s *Settings) Check() error {
	var c settings.Checker
	c.Address(s.Listen, "listen")
	c.Address(s.Platform, "platform")
	c.Require(len(s.Operators) > 0, "operators", "must name an operator")
	for i, o := range s.Operators {
		digest, err := hex.DecodeString(o.Digest)
		c.Require(o.Name != "", fmt.Sprintf("operators[%d].name", i), "must not be empty")
		c.Require(err == nil && len(digest) == digestBytes, fmt.Sprintf("operators[%d].digest", i),
			"must be a hexadecimal SHA-256 digest")
	}
	for i, address := range s.Entries {
		c.Address(address, fmt.Sprintf("entries[%d]", i))
	}
	return c.Err()
}
