package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeeplyNestedMessageIsRefused guards against a crash of the process: decoding a message of deeply
// nested arrays or maps recursed until the stack overflowed.
func TestDeeplyNestedMessageIsRefused(t *testing.T) {
	for _, code := range []byte{0x91, 0x81} { // an array of one value, a map of one
		body := append([]byte{byte(KindQuery)}, bytes.Repeat([]byte{code}, MaxFrameBytes-1)...)
		_, err := Decode(body)
		require.ErrorIs(t, err, ErrMalformed)
	}
}

// TestMessageOfTooManyValuesIsRefused guards against exhaustion of memory by a small message: an
// array of two million nils takes one byte each on the wire and many times as much once decoded.
func TestMessageOfTooManyValuesIsRefused(t *testing.T) {
	list := append([]byte{byte(KindLeaseList), 0x92, 0xdd, 0, 0x20, 0, 0}, bytes.Repeat([]byte{0xc0}, 2<<20)...)
	_, err := Decode(append(list, 0xc0))
	require.ErrorIs(t, err, ErrMalformed)
}

// TestQuerySizeIsLimited checks that ReadQuery rejects a frame by its length prefix, before it reads
// the body, and rejects messages of other kinds: any client may send a query.
func TestQuerySizeIsLimited(t *testing.T) {
	var frame bytes.Buffer
	want := &Query{Revision: 1 << 63, Digest: 1 << 63}
	require.NoError(t, WriteMessage(&frame, want))
	got, err := ReadQuery(&frame)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = ReadQuery(strings.NewReader("\x00\x01\x00\x00"))
	require.ErrorIs(t, err, ErrFrameTooLarge)
	require.NoError(t, WriteMessage(&frame, &LeaseList{}))
	_, err = ReadQuery(&frame)
	require.ErrorIs(t, err, ErrMalformed)
}
