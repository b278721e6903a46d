package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Bounds of a message.
const (
	maxDepth  = 16      // nesting of arrays and maps; decoding recurses, and deep nesting would overflow the stack
	maxValues = 1 << 20 // number of values, including arrays and maps
)

// errOutOfBounds means that a message exceeds maxDepth or maxValues.
var errOutOfBounds = errors.New("nested too deeply or too many values")

// checkBounds checks the first value of the body without decoding it: that the bytes for all
// announced lengths are there, so that decoding allocates no more than they warrant, and that
// nesting and number of values are within bounds.
func checkBounds(body []byte) error {
	w := boundsChecker{decoder: msgpack.NewDecoder(bytes.NewReader(body))}
	return w.checkValue(0)
}

// boundsChecker skips over msgpack values and counts them.
type boundsChecker struct {
	decoder *msgpack.Decoder
	values  int // number of values so far
}

// checkValue skips one value at the given nesting depth, with all values inside it.
func (w *boundsChecker) checkValue(depth int) error {
	if w.values++; depth > maxDepth || w.values > maxValues {
		return errOutOfBounds
	}
	code, err := w.decoder.PeekCode()
	if err != nil {
		return err
	}
	count := 0
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		count, err = w.decoder.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err = w.decoder.DecodeMapLen()
		count *= 2
	default:
		return w.decoder.Skip()
	}
	if err != nil {
		return err
	}
	for range count {
		if err := w.checkValue(depth + 1); err != nil {
			return err
		}
	}
	return nil
}
