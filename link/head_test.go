package link

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// scanWhole checks a text as a head, size bytes at a time, and returns whether the head is valid and ends with the text.
func scanWhole(text string, size int) bool {
	var h headScanner
	for len(text) > 0 && h.state != headEnded {
		piece := text[:min(size, len(text))]
		n, err := h.scan([]byte(piece))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return h.state == headEnded && text == ""
}

// A status that HTTP does not have, or that is not three digits, must be rejected: fasthttp reports 000 as 200.
func TestInvalidStatusIsRejected(t *testing.T) {
	for status := range 1200 {
		for _, format := range []string{"HTTP/1.1 %03d X\r\nA: 1\r\n\r\n", "HTTP/1.0 %03d\r\n\r\n", "\r\nHTTP/1.1  %03d \r\n\r\n"} {
			text := fmt.Sprintf(format, status)
			for _, size := range []int{1, len(text)} {
				require.Equal(t, status >= minStatus && status <= maxStatus, scanWhole(text, size), "%q", text)
			}
		}
	}
	for _, status := range []string{"", "2", "20", "2OO", "+20", "0200", "200X", "200\t", "\t200", "2 00", "200 \x00", "200 a\rb"} {
		require.False(t, scanWhole("HTTP/1.1 "+status+"\r\n\r\n", 1), "%q", status)
	}
}

// A byte that the name of a field may not contain must be rejected wherever it stands in the name, and in whichever
// line: fasthttp accepts blanks, takes a line that begins with one as part of the line before, and ends the head at a
// line feed before a name.
func TestInvalidNameIsRejected(t *testing.T) {
	for n := range 256 {
		c := string([]byte{byte(n)})
		if isNameByte(byte(n)) {
			require.True(t, scanWhole("HTTP/1.1 200 OK\r\n"+c+"X"+c+": 1\r\n\r\n", 1), "%q", c)
			continue
		}
		for _, name := range []string{c + "XOdd", "XO" + c + "dd", "XOdd" + c, c} {
			if c == ":" && name[0] == 'X' {
				continue // the name ends there
			}
			for _, format := range []string{"%s: 1\r\nA: 1\r\n", "A: 1\r\n%s: 1\r\n"} {
				text := "HTTP/1.1 200 OK\r\n" + fmt.Sprintf(format, name) + "\r\n"
				for _, size := range []int{1, len(text)} {
					require.False(t, scanWhole(text, size), "%q", text)
				}
			}
		}
	}
	require.False(t, scanWhole("HTTP/1.1 200 OK\r\nno colon\r\n\r\n", 1))
}

// A control byte in the value of a field must be rejected, also a line feed that does not end all lines; a tab and
// bytes beyond ASCII are valid.
func TestInvalidValueIsRejected(t *testing.T) {
	for n := range 256 {
		text := "HTTP/1.1 200 OK\r\nA: x" + string([]byte{byte(n)}) + "B: y\r\n\r\n"
		require.Equal(t, n == '\t' || n >= ' ' && n != 0x7f, scanWhole(text, 1), "%q", text)
	}
	require.True(t, scanWhole("HTTP/1.1 200 OK\nA: 1\nB: 2\r\n\r\n", 1), "a head whose lines end with line feeds")
}

// BenchmarkScanHead measures the check of the head of a usual answer.
func BenchmarkScanHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: application/json\r\nKeep-Alive: timeout=5\r\nContent-Length: 120\r\n\r\n")
	rd := bufio.NewReader(strings.NewReader(""))
	source := bytes.NewReader(nil)
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		source.Reset(head)
		rd.Reset(source)
		l := &Conn{reader: rd}
		if err := l.checkHead(); err != nil {
			b.Fatal(err)
		}
	}
}
