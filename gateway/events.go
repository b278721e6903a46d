package gateway

import (
	"bytes"
	"strconv"
)

// maxEventBytes limits the size of one event of a stream, and the bytes between two events.
const maxEventBytes = 1 << 20

// eventParser splits a stream of server-sent events into whole events and checks their order.
type eventParser struct {
	partial      []byte // bytes after the last whole block
	lastID       string // ID of the last whole event
	lastNumber   uint64 // lastID as a number
	skippedBytes int    // size of the blocks without a number since the last event
	invalid      bool   // a malformed block came, or an event out of order
}

// Delimiters and the ID field of the event stream format.
var (
	lineEnd  = []byte("\n")
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// feed adds bytes of the stream and returns the events that are complete now. Blocks without a
// numeric ID, such as comments and empty lines, are left out. The result is valid until the next
// call. It returns false if an event or the gap between two events is too large, if the number of
// an event does not increase, or if the bytes are not an event stream.
func (e *eventParser) feed(p []byte) ([]byte, bool) {
	if e.invalid {
		return nil, false
	}
	e.partial = append(e.partial, p...)
	at := bytes.LastIndex(e.partial, eventEnd)
	if at < 0 {
		return nil, e.skippedBytes+len(e.partial) <= maxEventBytes
	}
	whole := e.filterNumbered(e.partial[:at+len(eventEnd)])
	e.partial = append(e.partial[:0], e.partial[at+len(eventEnd):]...)
	if e.invalid {
		e.partial = nil
		return whole, false
	}
	return whole, e.skippedBytes+len(e.partial) <= maxEventBytes
}

// filterNumbered returns a copy of the events with a numeric ID among whole blocks, up to the first
// block that is malformed or out of order.
func (e *eventParser) filterNumbered(blocks []byte) []byte {
	whole := make([]byte, 0, len(blocks))
	for len(blocks) > 0 {
		size := bytes.Index(blocks, eventEnd) + len(eventEnd)
		block := blocks[:size]
		blocks = blocks[size:]
		if !wellFormed(block) {
			e.invalid = true
			return whole
		}
		id := firstEventID(block)
		number, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			e.skippedBytes += size
			continue
		}
		if e.lastID != "" && number <= e.lastNumber {
			e.invalid = true
			return whole
		}
		whole = append(whole, block...)
		e.lastID, e.lastNumber, e.skippedBytes = id, number, 0
	}
	return whole
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

// isNumber returns whether an event ID is a number.
func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// directlyFollows returns whether the first of some events has the number right after that of the
// last event. It is true if either side is empty.
func directlyFollows(last string, whole []byte) bool {
	if last == "" || len(whole) == 0 {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return false
	}
	first, err := strconv.ParseUint(firstEventID(whole), 10, 64)
	return err == nil && first > before && first-before == 1
}
