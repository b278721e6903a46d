package history

// Written remembers in which era something was written to the store that is written once. A store that came back from
// a copy may have lost it. Its zero value was never written.
type Written struct {
	done bool
	era  uint64
}

// Due returns whether it is to be written, given the newest era.
func (w *Written) Due(era uint64) bool { return !w.done || w.era != era }

// Done records that it was written. The era is the newest one that was known before the call.
func (w *Written) Done(era uint64) { w.done, w.era = true, era }
