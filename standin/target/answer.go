package target

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
)

// Event returns event n of the answer to the request with the given ID, as server-sent event bytes.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// Body returns the answer body with which a plain service echoes a request.
func Body(id, path, body string) string {
	return fmt.Sprintf("%s %s %s", id, path, strings.ToUpper(body))
}

// responseHead returns the status line and headers of an answer. While the target is leaving, it
// adds the header that says so and records the notice.
func (t *Target) responseHead(c *call, status int, headers string) string {
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	if leaving {
		headers = headerLeaving + ": 1\r\n" + headers
		t.ledger.recordNotice(Notice{ID: c.id, Target: t.ID(), At: time.Now()})
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: s\r\n%s\r\n",
		status, fasthttp.StatusMessage(status), HeaderAttempt, c.id, HeaderSeal, headers)
}

// reject answers a request that has not run with an error status. It returns whether the answer was
// written. While rejections carry a retry delay, it records the notice, unless the client has closed
// the connection and can't see it.
func (s *session) reject(c *call, status int) bool {
	t := s.target
	headers := headerNotRun + ": 1\r\nContent-Length: 0\r\n"
	t.mu.Lock()
	retry := t.retryAfter
	if !t.rejectUntil.After(time.Now()) {
		retry = 0
	}
	t.mu.Unlock()
	if status == fasthttp.StatusServiceUnavailable && retry > 0 {
		headers = fmt.Sprintf("%s: %.3f\r\n", fasthttp.HeaderRetryAfter, retry.Seconds()) + headers
		if !link.ClosedByPeer(s.conn) {
			t.ledger.recordNotice(Notice{ID: c.id, Target: t.ID(), At: time.Now(), Wait: retry})
		}
	}
	_, err := s.conn.Write([]byte(t.responseHead(c, status, headers)))
	return err == nil
}

// respond writes the answer to a running request. It returns whether the connection stays open.
func (s *session) respond(c *call, run *Run) bool {
	t := s.target
	s.currentAnswer = nil
	if s.delayedRepeat != nil {
		t.ledger.markFaulty(run, "")
		_, _ = s.conn.Write(s.delayedRepeat) // if this write fails, so does that of the answer
		s.delayedRepeat = nil
	}
	if c.lastEvent > 0 {
		if f, ok := t.takeFault(KindResume, ""); ok {
			return s.refuseResume(c, run, f.Shape)
		}
	}
	writeAnswer := s.writePlain
	if t.config.Streams {
		writeAnswer = s.writeStream
	}
	_, unframed := t.takeFault(KindUnframed, "")
	end := writeAnswer(c, run, unframed)
	if end == EndDropped && s.crashed() {
		end = EndReset
	}
	t.ledger.recordEnd(run, end)
	if end != EndDone || unframed {
		return false
	}
	s.previousAnswer = s.currentAnswer
	return s.applyFaultsAfterAnswer()
}

// writePlain writes the answer of a plain service, without its length if it is unframed. It returns how the run
// ended.
func (s *session) writePlain(c *call, run *Run, unframed bool) End {
	s.target.ledger.recordBegin(run)
	if !s.sleep(s.target.config.Step) {
		return EndDropped
	}
	body := Body(c.id, c.path, c.body)
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if unframed {
		framing = headerClose
	}
	head := s.target.responseHead(c, fasthttp.StatusOK, framing)
	return s.writePieces(
		piece{PositionBeforeHead, head[:20]}, piece{PositionInHead, head[20:]},
		piece{PositionBeforeBody, body[:len(body)/2]}, piece{PositionInBody, body[len(body)/2:]},
	)
}

// spoiledNumber is written over the first bytes of an event by KindSpoil.
const spoiledNumber = "xyzzy"

// headerClose announces an answer that ends with its connection.
const headerClose = "Connection: close\r\n"

// writeStream writes the events that follow the last one that the client has, without chunks if the answer is
// unframed. It returns how the run ended.
func (s *session) writeStream(c *call, run *Run, unframed bool) End {
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = headerClose
	}
	head := s.target.responseHead(c, fasthttp.StatusOK, "Content-Type: text/event-stream\r\n"+framing)
	if end := s.writePieces(piece{PositionBeforeHead, head[:20]}, piece{PositionInHead, head[20:]}); end != EndDone {
		return end
	}
	for n := c.lastEvent + 1; n <= c.events; n++ {
		if !s.sleep(s.target.config.Step) {
			return EndDropped
		}
		s.target.ledger.recordBegin(run)
		event := Event(c.id, n)
		if _, ok := s.target.takeFault(KindSpoil, ""); ok {
			s.target.ledger.markFaulty(run, "")
			event = spoiledNumber + event[len(spoiledNumber):]
		}
		if end := s.writeEvent(event, unframed); end != EndDone {
			return end
		}
	}
	if unframed {
		return EndDone
	}
	return s.writePieces(piece{PositionBeforeEnd, "0\r\n\r\n"})
}

// writeEvent writes an event, as a chunk unless the answer is unframed. It returns how the run ended.
func (s *session) writeEvent(event string, unframed bool) End {
	if unframed {
		return s.writePieces(piece{PositionBeforeEvent, event[:8]}, piece{PositionInEvent, event[8:]})
	}
	length := fmt.Sprintf("%02x", len(event))
	return s.writePieces(
		piece{PositionBeforeEvent, length[:1]}, piece{PositionInChunkLength, length[1:] + "\r\n" + event[:8]},
		piece{PositionInEvent, event[8:] + "\r\n"},
	)
}

// piece is a part of an answer and the position at which it starts.
type piece struct {
	position Position
	text     string
}

// writePieces writes the parts of an answer and applies pending pause and break faults before each.
func (s *session) writePieces(parts ...piece) End {
	for _, p := range parts {
		if !s.waitWhile(s.remainingStall) {
			return EndDropped
		}
		if f, ok := s.target.takeFault(KindPause, p.position); ok && !s.sleep(f.Length) {
			return EndDropped
		}
		if _, ok := s.target.takeFault(KindBreak, p.position); ok {
			s.reset()
			return EndReset
		}
		s.currentAnswer = append(s.currentAnswer, p.text...)
		if _, err := s.conn.Write([]byte(p.text)); err != nil {
			return EndDropped
		}
	}
	return EndDone
}

// reset closes the connection with a TCP reset.
func (s *session) reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise Close sends FIN instead of RST
	}
	s.conn.Close()
}

// applyFaultsAfterAnswer applies the faults that take effect between an answer and the next request:
// a repeat of the answer and a pause. It returns whether the connection stays open.
func (s *session) applyFaultsAfterAnswer() bool {
	t := s.target
	if f, ok := t.takeFault(KindRepeat, ""); ok {
		text := string(s.previousAnswer)
		if f.Shape == RepeatWithoutID || f.Shape == RepeatLateWithoutID {
			start := strings.Index(text, HeaderAttempt)
			end := start + strings.Index(text[start:], "\r\n") + 2
			text = text[:start] + text[end:]
		}
		if f.Shape == RepeatLateWithID || f.Shape == RepeatLateWithoutID {
			s.delayedRepeat = []byte(text)
		} else {
			s.strayBytes = true
			_, _ = s.conn.Write([]byte(text)) // readRequests notices a broken connection
		}
	}
	if f, ok := t.takeFault(KindPause, PositionBeforeNextRequest); ok {
		return s.sleep(f.Length)
	}
	return true
}

// refuseResume answers a request to resume a stream with the error of a shape. It returns whether
// the connection stays open.
func (s *session) refuseResume(c *call, run *Run, shape string) bool {
	t := s.target
	t.ledger.recordBegin(run)
	t.ledger.markFaulty(run, shape)
	next := Event(c.id, c.lastEvent+1)
	answers := map[string]string{
		"404":     t.responseHead(c, 404, "Content-Length: 0\r\n"),
		"302":     t.responseHead(c, 302, "Location: /x\r\nContent-Length: 0\r\n"),
		"204":     t.responseHead(c, 204, ""),
		"empty":   t.responseHead(c, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		"text":    t.responseHead(c, 400, "Content-Length: 11\r\n") + "bad thing\n\n",
		"short":   t.responseHead(c, 400, "Content-Length: 3\r\n") + "bad",
		"500":     t.responseHead(c, 500, "Content-Length: 3\r\n") + "bad",
		"event":   t.responseHead(c, 409, fmt.Sprintf("Content-Length: %d\r\n", len(next))) + next,
		"html":    t.responseHead(c, 200, "Content-Type: text/html\r\nContent-Length: 11\r\n") + "bad thing\n\n",
		"skipped": t.responseHead(c, 200, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(next)+1)) + Event(c.id, c.lastEvent+10),
	}
	_, err := s.conn.Write([]byte(answers[shape]))
	t.ledger.recordEnd(run, EndFailed)
	return err == nil && shape != "skipped"
}

// ResumeShapes are the shapes of errors that answer a request to resume a stream: a status, or a
// description of the answer.
var ResumeShapes = []string{"404", "302", "204", "empty", "text", "short", "500", "event", "html", "skipped"}
