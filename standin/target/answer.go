package target

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cassiachute/cassiachute/link"
)

// Event returns the bytes of an event of the answer to a request.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// Body returns the body of the answer of a plain service.
func Body(id, path, body string) string {
	return fmt.Sprintf("%s %s %s", id, path, strings.ToUpper(body))
}

// head returns the head of an answer.
func (t *Target) head(c *call, status int, rest string) string {
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	if leaving {
		rest = headerLeaving + ": 1\r\n" + rest
		t.ledger.say(Said{ID: c.id, Target: t.ID(), At: time.Now()})
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: s\r\n%s\r\n",
		status, fasthttp.StatusMessage(status), HeaderAttempt, c.id, HeaderSeal, rest)
}

// turn turns a request away that has not run.
func (s *session) turn(c *call, status int) bool {
	t := s.target
	rest := headerNotRun + ": 1\r\nContent-Length: 0\r\n"
	t.mu.Lock()
	retry := t.retry
	if !t.full.After(time.Now()) {
		retry = 0
	}
	t.mu.Unlock()
	if status == fasthttp.StatusServiceUnavailable && retry > 0 {
		rest = fmt.Sprintf("%s: %.3f\r\n", fasthttp.HeaderRetryAfter, retry.Seconds()) + rest
		if !link.ClosedByPeer(s.conn) {
			t.ledger.say(Said{ID: c.id, Target: t.ID(), At: time.Now(), Wait: retry})
		}
	}
	_, err := s.conn.Write([]byte(t.head(c, status, rest)))
	return err == nil
}

// answer answers a request that runs. It returns whether the connection goes on.
func (s *session) answer(c *call, run *Run) bool {
	t := s.target
	s.written = nil
	if s.owed != nil {
		t.ledger.blame(run, "")
		_, _ = s.conn.Write(s.owed) // if that fails, so does the answer
		s.owed = nil
	}
	if c.last > 0 {
		if f, ok := t.meet(KindResume, ""); ok {
			return s.refuseResume(c, run, f.Shape)
		}
	}
	whole := s.plain
	if t.config.Streams {
		whole = s.stream
	}
	if end := whole(c, run); end != EndDone {
		t.ledger.end(run, end)
		return false
	}
	t.ledger.end(run, EndDone)
	s.earlier = s.written
	return s.after()
}

// plain writes the answer of a plain service.
func (s *session) plain(c *call, run *Run) End {
	s.target.ledger.begin(run)
	if !s.sleep(s.target.config.Step) {
		return EndDropped
	}
	body := Body(c.id, c.path, c.body)
	head := s.target.head(c, fasthttp.StatusOK, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	return s.pieces(
		piece{PlaceHead, head[:20]}, piece{PlaceInHead, head[20:]},
		piece{PlaceBody, body[:len(body)/2]}, piece{PlaceInBody, body[len(body)/2:]},
	)
}

// stream writes a series of events after the last one that the other side has.
func (s *session) stream(c *call, run *Run) End {
	head := s.target.head(c, fasthttp.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	if end := s.pieces(piece{PlaceHead, head[:20]}, piece{PlaceInHead, head[20:]}); end != EndDone {
		return end
	}
	for n := c.last + 1; n <= c.events; n++ {
		if !s.sleep(s.target.config.Step) {
			return EndDropped
		}
		s.target.ledger.begin(run)
		event := Event(c.id, n)
		length := fmt.Sprintf("%02x", len(event))
		end := s.pieces(
			piece{PlaceEvent, length[:1]}, piece{PlaceInLength, length[1:] + "\r\n" + event[:8]},
			piece{PlaceInEvent, event[8:] + "\r\n"},
		)
		if end != EndDone {
			return end
		}
	}
	return s.pieces(piece{PlaceEnd, "0\r\n\r\n"})
}

// piece is a part of an answer, and the place before it.
type piece struct {
	place Place
	text  string
}

// pieces writes parts of an answer, with the faults that are due.
func (s *session) pieces(parts ...piece) End {
	for _, p := range parts {
		if !s.wait(s.stillness) {
			return EndDropped
		}
		if f, ok := s.target.meet(KindPause, p.place); ok && !s.sleep(f.Length) {
			return EndDropped
		}
		if _, ok := s.target.meet(KindBreak, p.place); ok {
			s.reset()
			return EndBroke
		}
		s.written = append(s.written, p.text...)
		if _, err := s.conn.Write([]byte(p.text)); err != nil {
			return EndDropped
		}
	}
	return EndDone
}

// reset closes the connection so that the other side sees a reset.
func (s *session) reset() {
	if tcp, ok := s.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise it ends without a reset
	}
	s.conn.Close()
}

// after plays the faults between an answer and the next request.
func (s *session) after() bool {
	t := s.target
	if f, ok := t.meet(KindRepeat, ""); ok {
		text := string(s.earlier)
		if f.Shape == ShapeNameless || f.Shape == ShapeNamelessLate {
			start := strings.Index(text, HeaderAttempt)
			end := start + strings.Index(text[start:], "\r\n") + 2
			text = text[:start] + text[end:]
		}
		if f.Shape == ShapeLate || f.Shape == ShapeNamelessLate {
			s.owed = []byte(text)
		} else {
			s.dirty = true
			_, _ = s.conn.Write([]byte(text)) // a broken connection is noticed by its reader
		}
	}
	if f, ok := t.meet(KindPause, PlaceIdle); ok {
		return s.sleep(f.Length)
	}
	return true
}

// refuseResume answers a stream that should go on with an error.
func (s *session) refuseResume(c *call, run *Run, shape string) bool {
	t := s.target
	t.ledger.begin(run)
	t.ledger.blame(run, shape)
	next := Event(c.id, c.last+1)
	answers := map[string]string{
		"404":     t.head(c, 404, "Content-Length: 0\r\n"),
		"302":     t.head(c, 302, "Location: /x\r\nContent-Length: 0\r\n"),
		"204":     t.head(c, 204, ""),
		"empty":   t.head(c, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n",
		"text":    t.head(c, 400, "Content-Length: 11\r\n") + "bad thing\n\n",
		"short":   t.head(c, 400, "Content-Length: 3\r\n") + "bad",
		"500":     t.head(c, 500, "Content-Length: 3\r\n") + "bad",
		"event":   t.head(c, 409, fmt.Sprintf("Content-Length: %d\r\n", len(next))) + next,
		"html":    t.head(c, 200, "Content-Type: text/html\r\nContent-Length: 11\r\n") + "bad thing\n\n",
		"skipped": t.head(c, 200, fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", len(next)+1)) + Event(c.id, c.last+10),
	}
	_, err := s.conn.Write([]byte(answers[shape]))
	t.ledger.end(run, EndFailed)
	return err == nil && shape != "skipped"
}

// ResumeShapes are the shapes of an error that answers a resumed stream.
var ResumeShapes = []string{"404", "302", "204", "empty", "text", "short", "500", "event", "html", "skipped"}
