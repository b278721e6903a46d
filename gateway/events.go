package gateway

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxEventBytes limits the size of one event of a stream, and the bytes between two events.
const maxEventBytes = 1 << 20

// eventParser splits a stream of server-sent events into whole events and checks their order.
type eventParser struct {
	numbering  numbering // of the service
	follows    bool      // lastNumber is that of an event before the next one
	continues  bool      // the next event is the first one of an answer that continues a stream
	fromStart  bool      // the next event is the first one of a new stream
	lastNumber uint64    // of the last event, at first of the last one that the caller has

	partial      []byte // bytes after the last whole block
	lastID       string // ID of the last whole event
	skippedBytes int    // size of the blocks without an event since the last event
	gap          bool   // a number did not directly follow the one before it
	uncertain    bool   // a number contradicts an earlier one behind a gap, and either may be wrong
	problem      string // why the stream is invalid, empty if it is valid
}

// newEventParser returns a parser for the answer to a request of a caller that has the events up to the given ID, or
// none if it is empty. If the target has to continue the stream, its first event must follow that one.
func newEventParser(n numbering, last string, continues bool) eventParser {
	e := eventParser{numbering: n, fromStart: last == ""}
	if number, err := strconv.ParseUint(last, 10, 64); err == nil && continues {
		e.lastNumber, e.follows, e.continues = number, true, true
	}
	return e
}

// Delimiters and the ID field of the event stream format.
var (
	lineEnd  = []byte("\n")
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// feed adds bytes of the stream and returns the events that are complete now. Empty lines
// and blocks without an event, such as comments, are left out. The result is valid until the next
// call. It returns false if an event or the bytes between two events are too many, if an event has no
// number or one that can't follow the one before it, or if the bytes are not an event stream.
func (e *eventParser) feed(p []byte) ([]byte, bool) {
	if e.problem != "" {
		return nil, false
	}
	e.partial = e.skipEmptyLines(append(e.partial, p...))
	at := bytes.LastIndex(e.partial, eventEnd)
	if at < 0 {
		return nil, e.withinLimit()
	}
	whole := e.filterNumbered(e.partial[:at+len(eventEnd)])
	e.partial = append(e.partial[:0], e.skipEmptyLines(e.partial[at+len(eventEnd):])...)
	if e.problem != "" {
		e.partial = nil
		return whole, false
	}
	return whole, e.withinLimit()
}

// skipEmptyLines returns bytes without the empty lines at their start, which are no part of an event.
func (e *eventParser) skipEmptyLines(p []byte) []byte {
	rest := bytes.TrimLeft(p, "\n")
	e.skippedBytes += len(p) - len(rest)
	return rest
}

// withinLimit returns whether the bytes since the last event are no more than an event may have.
func (e *eventParser) withinLimit() bool {
	if e.skippedBytes+len(e.partial) > maxEventBytes {
		e.problem = "too many bytes without an event"
	}
	return e.problem == ""
}

// filterNumbered returns a copy of the events among whole blocks, up to the first block that is
// invalid or out of order.
func (e *eventParser) filterNumbered(blocks []byte) []byte {
	whole := make([]byte, 0, len(blocks))
	for blocks = e.skipEmptyLines(blocks); len(blocks) > 0; blocks = e.skipEmptyLines(blocks) {
		size := bytes.Index(blocks, eventEnd) + len(eventEnd)
		block := blocks[:size]
		blocks = blocks[size:]
		if !wellFormed(block) {
			e.problem = "malformed block"
			return whole
		}
		if hasNoEvent(block) {
			e.skippedBytes += size
			continue
		}
		id := firstEventID(block)
		number, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			e.problem = fmt.Sprintf("event without a number after event %d", e.lastNumber)
			return whole
		}
		if !e.accept(number) {
			e.problem = fmt.Sprintf("event %d after event %d", number, e.lastNumber)
			return whole
		}
		whole = append(whole, block...)
		e.lastID, e.lastNumber, e.skippedBytes = id, number, 0
		e.follows, e.continues, e.fromStart = true, false, false
	}
	return whole
}

// accept returns whether the next event may have a number. One that does not directly follow the last one is a gap,
// which is accepted unless the service is known to number its events without gaps. An answer that continues a stream must
// begin with the next event, unless the service is known to leave gaps.
func (e *eventParser) accept(number uint64) bool {
	switch {
	case e.follows && number <= e.lastNumber:
		e.uncertain = e.gap
		return false
	case e.follows && number-e.lastNumber == 1, !e.follows && (!e.fromStart || number <= 1):
		return true
	}
	e.gap = true
	if e.continues {
		return e.numbering == numberingGapped
	}
	return e.numbering != numberingConsecutive
}

// hasNoEvent returns whether a block has nothing but empty lines, comments and fields that say nothing without data.
func hasNoEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, lineEnd) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "", "event", "retry":
		default:
			return false
		}
	}
	return true
}

// wellFormed returns whether all lines of a block are comments or fields of one event. An error
// text or the head of an HTTP answer in the stream is not.
func wellFormed(block []byte) bool {
	ids := 0
	for line := range bytes.SplitSeq(block, lineEnd) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		for _, c := range name {
			if !isFieldName(c) {
				return false
			}
		}
		if bytes.HasPrefix(line, eventID) {
			ids++
		}
	}
	return ids <= 1
}

// isFieldName returns whether c may be part of a field name.
func isFieldName(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// firstEventID returns the ID of the first event that has one, or an empty string.
func firstEventID(whole []byte) string {
	for line := range bytes.SplitSeq(whole, lineEnd) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
