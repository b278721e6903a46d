// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, knows no priorities, and answers
// deterministically so that callers can check every token.
package engine

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockWords is the number of words in a cached block of a prompt.
	BlockWords = 16
	// DefaultLength is the number of tokens of an answer to a prompt that does
	// not tell.
	DefaultLength = 32

	lengthWord = "length="
)

// Length returns the number of tokens of the answer to a prompt. The word
// length=N in the prompt sets it; limit cuts it if it is not 0.
func Length(prompt string, limit int) int {
	length := DefaultLength
	for word := range strings.FieldsSeq(prompt) {
		if text, ok := strings.CutPrefix(word, lengthWord); ok {
			if n, err := strconv.Atoi(text); err == nil && n > 0 {
				length = n
			}
		}
	}
	if limit > 0 {
		length = min(length, limit)
	}
	return length
}

// Token returns a token of the answer to a prompt.
func Token(prompt string, index int) string {
	key := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(prompt))
	key = binary.BigEndian.AppendUint64(key, uint64(index))
	return fmt.Sprintf("%06x ", xxhash.Sum64(key)&0xffffff)
}

// Text returns the whole answer to a prompt.
func Text(prompt string, limit int) string {
	var text strings.Builder
	for i := range Length(prompt, limit) {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

// Words returns the number of prompt tokens.
func Words(prompt string) int { return len(strings.Fields(prompt)) }

// blocks returns the hash chain of the full blocks of a prompt.
func blocks(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var chain []uint64
	former := uint64(0)
	for len(words) >= BlockWords {
		key := binary.BigEndian.AppendUint64(nil, former)
		former = xxhash.Sum64(append(key, strings.Join(words[:BlockWords], " ")...))
		chain = append(chain, former)
		words = words[BlockWords:]
	}
	return chain
}
