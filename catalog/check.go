package catalog

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a configuration that breaks a limit or refers to
// an object that does not exist.
var ErrInvalid = errors.New("invalid configuration")

// Limits that Set.Check enforces on the fields of objects.
const (
	MaxWeight         = 1000     // weight of a team
	MaxSlots          = 4096     // concurrent requests of one target
	MaxBodyBytesLimit = 64 << 20 // configurable limit on a request body, in bytes
	digestBytes       = 32       // length of a SHA-256 digest
)

// namePattern matches the valid names of objects.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// Problem describes one invalid field or name in a Set.
type Problem struct {
	Path   string `json:"path"` // kind, name and field, such as "targets/e1.service"
	Reason string `json:"reason"`
}

// checker validates the objects of one Set and collects the problems it finds.
type checker struct {
	set       *Set
	addresses map[netip.AddrPort]string // name of the last target checked with each address
	problems  []Problem
}

// require adds a problem at path unless ok is true. The reason is a format for
// args.
func (c *checker) require(ok bool, path, reason string, args ...any) {
	if !ok {
		c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(reason, args...)})
	}
}

// Check validates every object of the set and returns all problems, ordered by
// kind as in Kinds and then by name.
func (s *Set) Check() []Problem {
	c := &checker{set: s, addresses: map[netip.AddrPort]string{}}
	for _, kind := range Kinds() {
		for _, name := range accessors[kind].names(s) {
			c.require(namePattern.MatchString(name), kind+"/"+name,
				"name must be 1 to 63 of a-z, 0-9, dot, dash and underscore, and begin and end with a letter or digit")
			c.checkObject(kind, name)
		}
	}
	return c.problems
}

// CheckError joins the problems found by Check into one error marked ErrInvalid.
// It returns nil if the set is valid.
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

// checkObject validates the fields of the object with this kind and name.
func (c *checker) checkObject(kind, name string) {
	path := kind + "/" + name
	switch kind {
	case Teams:
		c.checkTeam(path, c.set.Teams[name])
	case Keys:
		c.checkKey(path, c.set.Keys[name])
	case Services:
		c.checkService(path, c.set.Services[name])
	case Places:
		c.checkPlace(path, name, c.set.Places[name])
	case Targets:
		c.checkTarget(path, name, c.set.Targets[name])
	}
}

// checkTeam validates the limits of a team.
func (c *checker) checkTeam(path string, t Team) {
	c.require(t.Weight <= MaxWeight, path+".weight", "must be at most %d", MaxWeight)
	c.require(t.MaxWaiting >= 0, path+".waiting", "must not be negative")
}

// checkKey validates the digest of a key and requires each of its teams to exist.
func (c *checker) checkKey(path string, k Key) {
	digest, err := hex.DecodeString(k.Digest)
	c.require(err == nil && len(digest) == digestBytes, path+".digest", "must be a hexadecimal SHA-256 digest")
	c.require(len(k.Teams) > 0, path+".teams", "must name a team")
	for i, team := range k.Teams {
		_, ok := c.set.Teams[team]
		c.require(ok, fmt.Sprintf("%s.teams[%d]", path, i), "no team %q", team)
	}
}

// checkService validates the kind, limits and durations of a service.
func (c *checker) checkService(path string, v Service) {
	c.require(v.Kind == KindModel || v.Kind == KindPlain, path+".kind", "must be %q or %q", KindModel, KindPlain)
	c.require(v.MaxWaitingPerTeam >= 0, path+".waiting", "must not be negative")
	c.require(v.MaxWaiting >= 0, path+".queue", "must not be negative")
	c.require(v.MaxBodyBytes >= 0 && v.MaxBodyBytes <= MaxBodyBytesLimit, path+".largest", "must be 0 to %d", MaxBodyBytesLimit)
	c.checkDuration(path+".pace", v.TokenInterval)
	c.checkDuration(path+".first", v.FirstByteTimeout)
	c.checkDuration(path+".idle", v.IdleTimeout)
	c.checkDuration(path+".patient", v.RequestTimeout)
}

// checkDuration requires a duration that is not negative.
func (c *checker) checkDuration(path string, d Duration) {
	c.require(d.Duration >= 0, path, "must not be negative")
}

// checkPlace requires each nearby place to exist and to differ from the place
// itself.
func (c *checker) checkPlace(path, name string, p Place) {
	for i, near := range p.Near {
		_, ok := c.set.Places[near]
		c.require(ok && near != name, fmt.Sprintf("%s.near[%d]", path, i), "no other place %q", near)
	}
}

// checkTarget validates a target, including the service and place it refers to.
// No two targets may have the same address.
func (c *checker) checkTarget(path, name string, t Target) {
	_, ok := c.set.Services[t.Service]
	c.require(ok, path+".service", "no service %q", t.Service)
	_, ok = c.set.Places[t.Place]
	c.require(ok, path+".place", "no place %q", t.Place)
	c.require(t.Address.IsValid() && t.Address.Port() != 0, path+".address", "must be an IP number and a port")
	c.require(t.Slots >= 1 && t.Slots <= MaxSlots, path+".slots", "must be 1 to %d", MaxSlots)
	other, taken := c.addresses[t.Address]
	c.require(!taken, path+".address", "already the address of target %q", other)
	c.addresses[t.Address] = name
}
