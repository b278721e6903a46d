package gateway

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event of a stream, and the bytes without one.
const maxEventBytes = 1 << 20

// eventParser takes a stream of eventParser apart.
type eventParser struct {
	partial      []byte
	lastID       string // id of the last whole event
	lastNumber   uint64 // the same as a number
	skippedBytes int    // bytes since the last event that are no event
	invalid      bool   // something else came, or an event out of order
}

var (
	lineEnd  = []byte("\n")
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// feed adds bytes of the stream and returns the events that are whole now. What has no
// number is no event, such as an empty line or a comment, and is left out. The result is
// valid until the next call. It returns false if an event is too large, none comes, its number
// does not increase, or what comes is no stream of events.
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

// filterNumbered returns a copy of the events among some blocks, up to one that is out of place.
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

// wellFormed returns whether all lines of a block are fields of one event or comments. The text
// of an error and the head of an answer are not.
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

// isFieldName returns whether the name of a field may have a character.
func isFieldName(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// firstEventID returns the id of the first event that has one.
func firstEventID(whole []byte) string {
	for line := range bytes.SplitSeq(whole, lineEnd) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isNumber returns whether an id is a number, as those of events are.
func isNumber(id string) bool {
	_, err := strconv.ParseUint(id, 10, 64)
	return err == nil
}

// directlyFollows returns whether the first of some events comes right after an event.
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
