package link

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrInvalidHead means that the head of an answer is not valid HTTP/1.1. fasthttp accepts some such heads: it
// reports status 000 as 200, accepts blanks in the names of fields, joins a line that begins with a blank to the line
// before, and ends the head at a line feed in place of an empty line.
var ErrInvalidHead = errors.New("head of the answer is invalid")

// errTooManyInterim means that a target sent more than maxInterimAnswers.
var errTooManyInterim = errors.New("too many interim answers")

const (
	maxInterimAnswers = 100 // interim answers before one answer
	statusDigits      = 3   // digits of a status code
	minStatus         = 100 // lowest status code
	maxStatus         = 599 // highest status code
)

// headState is the part of a head that a headScanner has reached.
type headState uint8

const (
	atStatusLine headState = iota // before the status line, which empty lines may precede
	inVersion
	beforeStatus
	inStatus
	inReason
	atField // before a field or the empty line that ends the head
	inName
	inValue
	headEnded
)

// headScanner checks the bytes of the head of one answer as they arrive. Only the version is left to the parser.
type headScanner struct {
	state          headState
	status         int  // as far as it was read
	digits         int  // digits of the status that were read
	carriageReturn bool // the last byte was a carriage return
	crlf           bool // the status line ended with CRLF, so all lines must
}

// scan checks the next bytes, up to the end of the head. It returns how many of them belong to the head. The error is
// ErrInvalidHead.
func (h *headScanner) scan(text []byte) (int, error) {
	for n, c := range text {
		if !h.accept(c) {
			return n, ErrInvalidHead
		}
		if h.state == headEnded {
			return n + 1, nil
		}
	}
	return len(text), nil
}

// accept checks the next byte. It returns false if the head is invalid.
func (h *headScanner) accept(c byte) bool {
	switch {
	case c == '\n':
		return h.endLine()
	case h.carriageReturn:
		return false
	case c == '\r':
		h.carriageReturn = true
		return true
	case h.state == inName && c == ':':
		h.state = inValue
		return true
	case h.state == atField || h.state == inName:
		h.state = inName
		return isNameByte(c)
	case !isTextByte(c):
		return false
	case h.state < inReason:
		return h.acceptStatusLine(c)
	}
	return true
}

// acceptStatusLine checks the next byte of the status line, up to the status.
func (h *headScanner) acceptStatusLine(c byte) bool {
	switch {
	case h.state == atStatusLine:
		h.state = inVersion
	case h.state == inVersion && c == ' ':
		h.state = beforeStatus
	case h.state == inVersion, h.state == beforeStatus && c == ' ':
	case c >= '0' && c <= '9' && h.digits < statusDigits:
		h.state = inStatus
		h.status = 10*h.status + int(c-'0')
		h.digits++
	case c == ' ' && h.validStatus():
		h.state = inReason
	default:
		return false
	}
	return true
}

// endLine handles a line feed. Line feeds alone end the lines of a head only if they do so from the status line on.
func (h *headScanner) endLine() bool {
	crlf := h.carriageReturn
	h.carriageReturn = false
	switch {
	case h.state == atStatusLine:
		return true
	case h.crlf && !crlf:
		return false
	case h.state == inStatus && h.validStatus(), h.state == inReason:
		h.crlf, h.state = crlf, atField
	case h.state == atField:
		h.state = headEnded
	case h.state == inValue:
		h.state = atField
	default:
		return false
	}
	return true
}

// validStatus returns whether a whole status was read that HTTP allows.
func (h *headScanner) validStatus() bool {
	return h.digits == statusDigits && h.status >= minStatus && h.status <= maxStatus
}

// interim returns whether the head is that of an interim answer, which another answer follows.
func (h *headScanner) interim() bool {
	return h.state == headEnded && h.status < fasthttp.StatusOK && h.status != fasthttp.StatusSwitchingProtocols
}

// nameBytes are the bytes of the names of fields besides letters and digits.
const nameBytes = "!#$%&'*+-.^_`|~"

// validNameBytes tells for each byte whether the name of a field may contain it.
var validNameBytes = func() (valid [256]bool) {
	for c := range valid {
		valid[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	}
	for _, c := range []byte(nameBytes) {
		valid[c] = true
	}
	return valid
}()

// isNameByte returns whether the name of a field may contain a byte.
func isNameByte(c byte) bool { return validNameBytes[c] }

// isTextByte returns whether the status line or the value of a field may contain a byte.
func isTextByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// checkHead waits for the head of the final answer and checks it. It leaves the head unread, and discards the interim
// answers before it, whose heads are checked as well.
func (l *Conn) checkHead() error {
	for range maxInterimAnswers + 1 {
		var h headScanner
		length := 0
		for h.state != headEnded {
			if _, err := l.reader.Peek(length + 1); err != nil {
				return err
			}
			text, err := l.reader.Peek(l.reader.Buffered())
			if err != nil {
				return err
			}
			n, err := h.scan(text[length:])
			if err != nil {
				return err
			}
			length += n
		}
		if !h.interim() {
			return nil
		}
		if _, err := l.reader.Discard(length); err != nil {
			return err
		}
	}
	return errTooManyInterim
}
