package cassiachute_test

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/cassiachute/cassiachute"
	"github.com/cassiachute/cassiachute/entry"
	"github.com/cassiachute/cassiachute/settings"
)

// NewEntry validates the settings as a whole and reports all invalid fields in one
// error, which is marked settings.ErrInvalid.
func ExampleNewEntry() {
	s := entry.NewSettings()
	s.Place = "almaty"
	s.Listen = netip.MustParseAddrPort("10.0.0.1:8080")
	s.Peer = netip.MustParseAddrPort("10.0.0.1:7000")
	s.Status = netip.MustParseAddrPort("10.0.0.1:9000")
	s.Platform = netip.MustParseAddrPort("10.0.9.1:6000")
	_, err := cassiachute.NewEntry(s)
	fmt.Println(err)
	fmt.Println(errors.Is(err, settings.ErrInvalid))
	// Output:
	// secret: must have at least 16 characters: invalid settings
	// true
}
