package gateway

// holdEvents prepares to hold what comes of a stream of a target until it is a whole event.
func (x *exchange) holdEvents(a *attempt) {
	x.releaseEvents()
	x.heldEvents = x.gateway.held.NewAnswer(a.choice.Target, a.conn.Close)
}

// releaseEvents gives back what is held of a stream.
func (x *exchange) releaseEvents() {
	if x.heldEvents != nil {
		x.heldEvents.Release()
	}
}
