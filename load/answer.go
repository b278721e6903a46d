package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"github.com/cassiachute/cassiachute/link"
	"github.com/cassiachute/cassiachute/standin/engine"
	"github.com/cassiachute/cassiachute/standin/plain"
)

// readStream reads a streamed completion, records its tokens and checks its text.
func readStream(body io.Reader, start time.Time, q requestSpec, record *Record) error {
	rd := bufio.NewReader(body)
	var text strings.Builder
	ended := false
	for {
		line, err := rd.ReadBytes('\n')
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: ")); ok {
			ended = ended || string(data) == "[DONE]"
			recordEvent(data, start, &text, record)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	if !ended {
		return link.ErrBroken
	}
	record.Wrong = text.String() != engine.Text(q.prompt, 0)
	return nil
}

// recordEvent records the tokens and the usage of one event of a stream.
func recordEvent(data []byte, start time.Time, text *strings.Builder, record *Record) {
	if t := gjson.GetBytes(data, "choices.0.text").String(); t != "" {
		record.addToken(time.Since(start))
		text.WriteString(t)
	}
	recordUsage(data, record)
}

// recordUsage records the number of uncached prompt tokens from a usage object.
func recordUsage(data []byte, record *Record) {
	u := gjson.GetBytes(data, "usage")
	if u.IsObject() {
		record.PromptTokens = int(u.Get("prompt_tokens").Int() - u.Get("prompt_tokens_details.cached_tokens").Int())
	}
}

// readBody reads an answer that is not streamed and checks it.
func readBody(body io.Reader, start time.Time, s Stream, q requestSpec, record *Record) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	record.FirstByte = time.Since(start)
	if record.Status != statusOK {
		record.Code = gjson.GetBytes(data, "error.code").String()
		return nil
	}
	if s.Kind == KindNonStreaming {
		recordUsage(data, record)
		record.AnswerTokens = int(gjson.GetBytes(data, "usage.completion_tokens").Int())
		record.Wrong = gjson.GetBytes(data, "choices.0.text").String() != engine.Text(q.prompt, 0)
		return nil
	}
	var echo plain.Echo
	if json.Unmarshal(data, &echo) != nil {
		record.Wrong = true
		return nil
	}
	ownAnswer := echo.Request == record.ID || record.Replayed && strings.HasPrefix(echo.Request, q.id)
	record.Wrong = !ownAnswer || echo.Digest != xxhash.Sum64String(q.prompt)
	return nil
}
