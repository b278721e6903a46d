package gateway

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event of a stream, and the bytes without one.
const maxEventBytes = 1 << 20

// events takes a stream of events apart.
type events struct {
	rest    []byte
	last    string // id of the last whole event
	skipped int    // bytes since the last event that are no event
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// take adds bytes of the stream and returns the events that are whole now. What has no
// number is no event, such as an empty line or a comment, and is left out. The result is
// valid until the next call. It returns false if an event is too large, or none comes.
func (e *events) take(p []byte) ([]byte, bool) {
	e.rest = append(e.rest, p...)
	at := bytes.LastIndex(e.rest, eventEnd)
	if at < 0 {
		return nil, e.skipped+len(e.rest) <= maxEventBytes
	}
	whole := e.numbered(e.rest[:at+len(eventEnd)])
	e.rest = append(e.rest[:0], e.rest[at+len(eventEnd):]...)
	return whole, e.skipped+len(e.rest) <= maxEventBytes
}

// numbered returns a copy of the events among some blocks.
func (e *events) numbered(blocks []byte) []byte {
	whole := make([]byte, 0, len(blocks))
	for len(blocks) > 0 {
		size := bytes.Index(blocks, eventEnd) + len(eventEnd)
		block := blocks[:size]
		blocks = blocks[size:]
		id := idOf(block)
		if _, err := strconv.ParseUint(id, 10, 64); err != nil {
			e.skipped += size
			continue
		}
		whole = append(whole, block...)
		e.last, e.skipped = id, 0
	}
	return whole
}

// idOf returns the id of the first event that has one.
func idOf(whole []byte) string {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
