package entry

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// collect reads the stream to its end and returns it as one JSON answer, for a caller that did not
// ask for a stream.
func (s *stream) collect(chat bool, current *streamEvent) ([]byte, *problem) {
	var text strings.Builder
	for {
		text.WriteString(current.text)
		following, p, err := s.nextEvent()
		if errors.Is(err, errAnswerEnded) {
			return s.encodeCompletion(chat, text.String()), nil
		}
		if p != nil {
			return nil, p
		}
		current = following
	}
}

// completionChoice is the only alternative of a completion.
type completionChoice struct {
	Index   int                `json:"index"`
	Text    *string            `json:"text,omitempty"`
	Message *completionMessage `json:"message,omitempty"`
	Finish  string             `json:"finish_reason"`
}

// completionMessage is the message of a chat completion.
type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionUsage is the token count of a completion.
type completionUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// completion is an answer to a request without streaming, in the format of the OpenAI API.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// encodeCompletion returns the JSON of a completion with the given text, or nil if it cannot be
// encoded.
func (s *stream) encodeCompletion(chat bool, text string) []byte {
	a := completion{ID: s.answerID, Object: "text_completion", Created: s.created, Model: s.service.Name}
	c := completionChoice{Finish: s.finishReason}
	if chat {
		a.Object = "chat.completion"
		c.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	a.Choices = []completionChoice{c}
	a.Usage = completionUsage{Prompt: s.usage.prompt, Completion: int64(s.passedTokens), Total: s.usage.prompt + int64(s.passedTokens)}
	a.Usage.Details.Cached = s.usage.cached
	body, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return body
}
