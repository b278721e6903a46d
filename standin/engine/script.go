// Package engine is a stand-in for a model engine with continuous batching. It
// caches prompt prefixes in limited memory, serves requests in order of arrival
// without priorities, and answers deterministically, so that callers can check
// every token.
package engine

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockWords is the number of words in a block of the prefix cache. A word is a token.
	BlockWords = 16
	// DefaultLength is the number of tokens of the answer to a prompt without
	// the word length=N.
	DefaultLength = 32

	lengthPrefix = "length="
)

// Length returns the number of tokens of the answer to a prompt. The word
// length=N in the prompt sets it; a limit other than 0 caps it.
func Length(prompt string, limit int) int {
	length := DefaultLength
	for word := range strings.FieldsSeq(prompt) {
		if text, ok := strings.CutPrefix(word, lengthPrefix); ok {
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

// Token returns the token at an index of the answer to a prompt.
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

// PromptTokens returns the number of tokens of a prompt, which is that of its words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// blockHashes returns the hashes of the full blocks of a prompt. Each hash covers the hash of the
// previous block, so that equal hashes mean equal prefixes.
func blockHashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var chain []uint64
	previous := uint64(0)
	for len(words) >= BlockWords {
		key := binary.BigEndian.AppendUint64(nil, previous)
		previous = xxhash.Sum64(append(key, strings.Join(words[:BlockWords], " ")...))
		chain = append(chain, previous)
		words = words[BlockWords:]
	}
	return chain
}
