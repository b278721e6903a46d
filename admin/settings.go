// Package admin provides the administration API, through which operators read and
// change the configuration, read its former revisions and the audit trail, and see
// the current state of the fleet.
//
// The server is stateless: all data is in the platform's table and object store.
package admin

import (
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/cassiachute/cassiachute/settings"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// Operator is a person or program authorized to use the API.
type Operator struct {
	Name   string `json:"name"`   // recorded as the actor in the audit trail
	Digest string `json:"digest"` // SHA-256 of the bearer key, in hexadecimal
}

// Settings are the settings of the administration API.
type Settings struct {
	Listen          netip.AddrPort   `json:"listen"`    // address to serve the API at
	Platform        netip.AddrPort   `json:"platform"`  // address of the platform
	Operators       []Operator       `json:"operators"` // operators authorized to use the API
	StatusAddresses []netip.AddrPort `json:"entries"`   // addresses where entry hosts serve /status
	LogLevel        string           `json:"level"`     // lowest level of lines to log
}

// NewSettings returns settings with default values. The addresses and operators must
// be filled in.
func NewSettings() Settings { return Settings{LogLevel: "info"} }

// Check validates the settings. It joins all problems into one error marked
// settings.ErrInvalid, or returns nil if there are none.
func (s *Settings) Check() error {
	var c settings.Checker
	c.RequireAddress(s.Listen, "listen")
	c.RequireAddress(s.Platform, "platform")
	c.Require(len(s.Operators) > 0, "operators", "must name an operator")
	for i, o := range s.Operators {
		digest, err := hex.DecodeString(o.Digest)
		c.Require(o.Name != "", fmt.Sprintf("operators[%d].name", i), "must not be empty")
		c.Require(err == nil && len(digest) == digestBytes, fmt.Sprintf("operators[%d].digest", i),
			"must be a hexadecimal SHA-256 digest")
	}
	for i, address := range s.StatusAddresses {
		c.RequireAddress(address, fmt.Sprintf("entries[%d]", i))
	}
	return c.Err()
}
