package gateway

import "time"

// rewriteGrace is the time after the return of the store from a copy in which the operator may not have written again
// what was lost. No host can tell what that was if none has read it.
const rewriteGrace = evacuationGrace

// noteCopy records that the operator's table is that of a copy, which may lack the newest configuration however fresh
// a read of it is.
func (c *core) noteCopy() { c.copyUntil.Store(int64(sinceBoot() + rewriteGrace)) }

// configIsNew records that the operator has written a configuration, so that the store does not lack the newest one.
func (c *core) configIsNew() { c.copyUntil.Store(0) }

// configMayBeLost returns whether the store may have lost a newer configuration than the one in force.
func (c *core) configMayBeLost() bool { return time.Duration(c.copyUntil.Load()) > sinceBoot() }
