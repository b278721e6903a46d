package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cassiachute/cassiachute/fault"
)

// Protocol version and limits of the handshake.
const (
	protocolVersion   = 1
	maxHandshakeBytes = 1024            // body of each handshake frame
	handshakeTimeout  = 2 * time.Second // for the dial, and again for the whole handshake
	nonceBytes        = 16
)

// Errors of the handshake.
var (
	// ErrNotPeer means that the other side did not prove that it has the shared key.
	ErrNotPeer = errors.New("peer did not prove the shared key")
	// ErrVersion means that the other side uses another protocol version.
	ErrVersion = errors.New("peer speaks another protocol version")
)

// hello is the first message of the handshake, sent by the dialler.
type hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint8
	Address netip.AddrPort // address of the dialler for peers
	Boot    uint64         // start time of the dialler's process in Unix milliseconds
	Nonce   []byte
}

// welcome is the acceptor's answer to a hello. LastReceived is
// the number of the last frame that the acceptor received from this boot of the dialler.
type welcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Boot         uint64 // start time of the acceptor's process in Unix milliseconds
	Nonce        []byte
	LastReceived uint64
	Proof        []byte
}

// proof is the dialler's last message of the handshake. ResumeAfter is the number
// of the frame before the first one that the dialler sends next.
type proof struct {
	_msgpack struct{} `msgpack:",as_array"`

	ResumeAfter uint64
	Proof       []byte
}

// newNonce returns random bytes that tie the proofs to one handshake.
func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	_, err := rand.Read(nonce)
	return nonce, errors.Wrap(err, "read random nonce")
}

// handshakeMAC returns the HMAC by which one side proves the shared key. It covers the role of
// that side, both nonces, the dialler's address and both start times.
func handshakeMAC(key []byte, role string, h hello, w welcome) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(role))
	mac.Write(h.Nonce)
	mac.Write(w.Nonce)
	mac.Write([]byte(h.Address.String()))
	var boots [16]byte
	binary.BigEndian.PutUint64(boots[:8], h.Boot)
	binary.BigEndian.PutUint64(boots[8:], w.Boot)
	mac.Write(boots[:])
	return mac.Sum(nil)
}

// writeHandshake writes a message of the handshake as a frame.
func writeHandshake(conn net.Conn, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode handshake message")
	}
	return writeFrame(conn, body)
}

// readHandshake reads a message of the handshake. The error of one that can't be decoded is marked
// ErrMalformed.
func readHandshake(conn net.Conn, value any) error {
	body, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	return fault.Mark(msgpack.Unmarshal(body, value), ErrMalformed)
}

// dialHandshake carries out the dialler's side of the handshake. resume receives
// the acceptor's boot and the number of the last frame that the acceptor received,
// and returns the number of the frame after which to resume.
func dialHandshake(conn net.Conn, key []byte, self hello, resume func(boot, lastReceived uint64) uint64) (welcome, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return welcome{}, err
	}
	if err := writeHandshake(conn, &self); err != nil {
		return welcome{}, err
	}
	var answer welcome
	if err := readHandshake(conn, &answer); err != nil {
		return welcome{}, err
	}
	if !hmac.Equal(answer.Proof, handshakeMAC(key, "accept", self, answer)) {
		return welcome{}, ErrNotPeer
	}
	last := proof{ResumeAfter: resume(answer.Boot, answer.LastReceived), Proof: handshakeMAC(key, "dial", self, answer)}
	if err := writeHandshake(conn, &last); err != nil {
		return welcome{}, err
	}
	return answer, conn.SetDeadline(time.Time{})
}

// acceptHandshake carries out the acceptor's side of the handshake and returns the
// dialler's hello and the number of the frame after which the dialler resumes.
// lastReceived returns the number of the last frame received from the dialler's boot.
func acceptHandshake(conn net.Conn, key []byte, boot uint64, lastReceived func(hello) uint64) (hello, uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, 0, err
	}
	var h hello
	if err := readHandshake(conn, &h); err != nil {
		return hello{}, 0, err
	}
	if h.Version != protocolVersion {
		return hello{}, 0, errors.Wrapf(ErrVersion, "version %d", h.Version)
	}
	nonce, err := newNonce()
	if err != nil {
		return hello{}, 0, err
	}
	answer := welcome{Boot: boot, Nonce: nonce, LastReceived: lastReceived(h)}
	answer.Proof = handshakeMAC(key, "accept", h, answer)
	if err := writeHandshake(conn, &answer); err != nil {
		return hello{}, 0, err
	}
	var last proof
	if err := readHandshake(conn, &last); err != nil {
		return hello{}, 0, err
	}
	if !hmac.Equal(last.Proof, handshakeMAC(key, "dial", h, answer)) {
		return hello{}, 0, ErrNotPeer
	}
	return h, last.ResumeAfter, conn.SetDeadline(time.Time{})
}
