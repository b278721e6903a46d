package wire

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDeeplyNestedMessageIsRefused guards against a stack overflow, which ended the process when it
// decoded a message of deeply nested arrays.
func TestDeeplyNestedMessageIsRefused(t *testing.T) {
	for _, code := range []byte{0x91, 0x81} { // an array of one value, a map of one
		body := append([]byte{byte(KindQuery)}, bytes.Repeat([]byte{code}, MaxFrameBytes-1)...)
		_, err := Decode(body)
		require.ErrorIs(t, err, ErrMalformed)
	}
}

// TestMessageOfTooManyValuesIsRefused guards against short encodings that take many times their size
// in memory once decoded.
func TestMessageOfTooManyValuesIsRefused(t *testing.T) {
	list := append([]byte{byte(KindLeaseList), 0x92, 0xdd, 0, 0x20, 0, 0}, bytes.Repeat([]byte{0xc0}, 2<<20)...)
	_, err := Decode(append(list, 0xc0))
	require.ErrorIs(t, err, ErrMalformed)
}

// TestQuerySizeIsLimited checks that a query is limited in size before its body is read, as any client
// may send one.
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
