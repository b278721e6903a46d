package catalog

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid means that a set does not hold together.
var ErrInvalid = errors.New("invalid configuration")

// Limits of the fields of objects.
const (
	MaxWeight       = 1000
	MaxSlots        = 4096
	MaxLargestBytes = 64 << 20
	digestBytes     = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Problem is one fault of a set.
type Problem struct {
	Path   string `json:"path"` // kind, name and field, such as targets/e1.service
	Reason string `json:"reason"`
}

// checker collects problems.
type checker struct {
	set       *Set
	addresses map[netip.AddrPort]string // first target with each address
	problems  []Problem
}

func (c *checker) add(ok bool, path, reason string, args ...any) {
	if !ok {
		c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(reason, args...)})
	}
}

// Check returns all problems of the set, ordered by kind and name.
func (s *Set) Check() []Problem {
	c := &checker{set: s, addresses: map[netip.AddrPort]string{}}
	for _, kind := range Kinds() {
		for _, name := range tables[kind].names(s) {
			c.add(namePattern.MatchString(name), kind+"/"+name,
				"name must be 1 to 63 of a-z, 0-9, dot, dash and underscore, and begin and end with a letter or digit")
			c.check(kind, name)
		}
	}
	return c.problems
}

// CheckError returns the problems as one error marked ErrInvalid, or nil.
func (s *Set) CheckError() error {
	problems := s.Check()
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, p.Path+": "+p.Reason)
	}
	return errors.Wrap(ErrInvalid, strings.Join(lines, "; "))
}

func (c *checker) check(kind, name string) {
	path := kind + "/" + name
	switch kind {
	case Teams:
		c.team(path, c.set.Teams[name])
	case Keys:
		c.key(path, c.set.Keys[name])
	case Services:
		c.service(path, c.set.Services[name])
	case Places:
		c.place(path, name, c.set.Places[name])
	case Targets:
		c.target(path, name, c.set.Targets[name])
	}
}

func (c *checker) team(path string, t Team) {
	c.add(t.Weight <= MaxWeight, path+".weight", "must be at most %d", MaxWeight)
	c.add(t.Waiting >= 0, path+".waiting", "must not be negative")
}

func (c *checker) key(path string, k Key) {
	digest, err := hex.DecodeString(k.Digest)
	c.add(err == nil && len(digest) == digestBytes, path+".digest", "must be a hexadecimal SHA-256 digest")
	c.add(len(k.Teams) > 0, path+".teams", "must name a team")
	for i, team := range k.Teams {
		_, ok := c.set.Teams[team]
		c.add(ok, fmt.Sprintf("%s.teams[%d]", path, i), "no team %q", team)
	}
}

func (c *checker) service(path string, v Service) {
	c.add(v.Kind == KindModel || v.Kind == KindPlain, path+".kind", "must be %q or %q", KindModel, KindPlain)
	c.add(v.Waiting >= 0, path+".waiting", "must not be negative")
	c.add(v.Queue >= 0, path+".queue", "must not be negative")
	c.add(v.Largest >= 0 && v.Largest <= MaxLargestBytes, path+".largest", "must be 0 to %d", MaxLargestBytes)
	c.duration(path+".pace", v.Pace)
	c.duration(path+".first", v.First)
	c.duration(path+".idle", v.Idle)
	c.duration(path+".patient", v.Patient)
}

func (c *checker) duration(path string, d Duration) {
	c.add(d.Duration >= 0, path, "must not be negative")
}

func (c *checker) place(path, name string, p Place) {
	for i, near := range p.Near {
		_, ok := c.set.Places[near]
		c.add(ok && near != name, fmt.Sprintf("%s.near[%d]", path, i), "no other place %q", near)
	}
}

func (c *checker) target(path, name string, t Target) {
	_, ok := c.set.Services[t.Service]
	c.add(ok, path+".service", "no service %q", t.Service)
	_, ok = c.set.Places[t.Place]
	c.add(ok, path+".place", "no place %q", t.Place)
	c.add(t.Address.IsValid() && t.Address.Port() != 0, path+".address", "must be an IP number and a port")
	c.add(t.Slots >= 1 && t.Slots <= MaxSlots, path+".slots", "must be 1 to %d", MaxSlots)
	other, taken := c.addresses[t.Address]
	c.add(!taken, path+".address", "already the address of target %q", other)
	c.addresses[t.Address] = name
}
