package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cassiachute/cassiachute/fault"
)

// MaxFrameBytes limits the body of a frame that a host sends or accepts.
const MaxFrameBytes = 8 << 20

// Sizes of the parts of a frame.
const (
	lengthBytes   = 4   // big-endian length of the body, which precedes it
	maxQueryBytes = 256 // body of a frame with a query
)

// Errors of reading and writing frames.
var (
	// ErrFrameTooLarge means that the body of a frame exceeds its size limit.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrUnknownKind means that a frame holds a message of a kind that this
	// version does not support.
	ErrUnknownKind = errors.New("unknown message kind")
	// ErrMalformed means that the content of a frame can't be decoded.
	ErrMalformed = errors.New("malformed frame")
)

// Encode returns the body of a frame: each message as msgpack, preceded by the byte of its kind.
func Encode(messages []Message) ([]byte, error) {
	body, _, err := encode(messages)
	return body, err
}

// encode returns the body of a frame and the encoded size of each message, kind byte included.
func encode(messages []Message) ([]byte, []int, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	sizes := make([]int, 0, len(messages))
	for _, m := range messages {
		before := buf.Len()
		buf.WriteByte(byte(m.Kind()))
		if err := enc.Encode(m); err != nil {
			return nil, nil, errors.Wrap(err, "encode message")
		}
		sizes = append(sizes, buf.Len()-before)
	}
	return buf.Bytes(), sizes, nil
}

// Decode returns the messages in the body of a frame. Errors are marked
// ErrUnknownKind or ErrMalformed.
func Decode(body []byte) ([]Message, error) {
	rd := bytes.NewReader(body)
	dec := msgpack.NewDecoder(rd)
	var messages []Message
	for rd.Len() > 0 {
		tag, err := rd.ReadByte()
		if err != nil {
			return nil, fault.Mark(err, ErrMalformed)
		}
		m := newMessage(Kind(tag))
		if m == nil {
			return nil, errors.Wrapf(ErrUnknownKind, "kind %d", tag)
		}
		if err := checkBounds(body[len(body)-rd.Len():]); err != nil {
			return nil, fault.Mark(errors.Wrapf(err, "kind %d", tag), ErrMalformed)
		}
		if err := dec.Decode(m); err != nil {
			return nil, fault.Mark(errors.Wrapf(err, "kind %d", tag), ErrMalformed)
		}
		messages = append(messages, m)
	}
	return messages, nil
}

// writeFrame writes a frame, length and body, in a single call of Write.
func writeFrame(w io.Writer, body []byte) error {
	if len(body) > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	frame := make([]byte, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	copy(frame[lengthBytes:], body)
	_, err := w.Write(frame)
	return err
}

// readFrame reads a frame and returns its body, of at most limit bytes. Memory grows with the bytes
// received, not with the announced length.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > uint32(limit) {
		return nil, errors.Wrapf(ErrFrameTooLarge, "%d bytes", size)
	}
	var buf bytes.Buffer
	if _, err := io.CopyN(&buf, r, int64(size)); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// WriteMessage writes a frame with a single message.
func WriteMessage(w io.Writer, m Message) error {
	body, err := Encode([]Message{m})
	if err != nil {
		return err
	}
	return writeFrame(w, body)
}

// ReadMessage reads a frame with a single message. The error is marked
// ErrFrameTooLarge, ErrUnknownKind or ErrMalformed, or is that of the reader.
func ReadMessage(r io.Reader) (Message, error) { return readMessage(r, MaxFrameBytes) }

// ReadQuery reads a frame with a single query. Any client may send one, so the frame is limited
// to the size of a query. The errors are those of ReadMessage.
func ReadQuery(r io.Reader) (*Query, error) {
	m, err := readMessage(r, maxQueryBytes)
	if err != nil {
		return nil, err
	}
	q, ok := m.(*Query)
	if !ok {
		return nil, errors.Wrapf(ErrMalformed, "message of kind %s in place of a query", m.Kind())
	}
	return q, nil
}

// readMessage reads a frame with a single message and a body of at most limit bytes.
func readMessage(r io.Reader, limit int) (Message, error) {
	body, err := readFrame(r, limit)
	if err != nil {
		return nil, err
	}
	messages, err := Decode(body)
	if err != nil {
		return nil, err
	}
	if len(messages) != 1 {
		return nil, errors.Wrapf(ErrMalformed, "%d messages in a frame for one", len(messages))
	}
	return messages[0], nil
}
