package gateway

import "bytes"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// events takes a stream of events apart.
type events struct {
	rest []byte
	last string // id of the last whole event
}

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// take adds bytes of the stream and returns the events that are whole now. The
// result is valid until the next call. It returns false if an event is too large.
func (e *events) take(p []byte) ([]byte, bool) {
	e.rest = append(e.rest, p...)
	at := bytes.LastIndex(e.rest, eventEnd)
	if at < 0 {
		return nil, len(e.rest) <= maxEventBytes
	}
	whole := bytes.Clone(e.rest[:at+len(eventEnd)])
	e.rest = append(e.rest[:0], e.rest[at+len(eventEnd):]...)
	if id := lastID(whole); id != "" {
		e.last = id
	}
	return whole, true
}

// lastID returns the id of the last event that has one.
func lastID(whole []byte) string {
	at := bytes.LastIndex(whole, eventID)
	for at > 0 && whole[at-1] != '\n' {
		at = bytes.LastIndex(whole[:at], eventID)
	}
	if at < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(whole[at+len(eventID):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// firstID returns the id of the first event that has one.
func firstID(whole []byte) string {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, eventID); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
