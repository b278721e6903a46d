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

const (
	protocolVersion   = 1
	maxHandshakeBytes = 1024
	handshakeTimeout  = 2 * time.Second
	nonceBytes        = 16
)

var (
	// ErrNotPeer means that the other side did not prove the shared key.
	ErrNotPeer = errors.New("peer did not prove the shared key")
	// ErrVersion means that the other side speaks another protocol version.
	ErrVersion = errors.New("peer speaks another protocol version")
)

// hello opens a session.
type hello struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version uint8
	Address netip.AddrPort
	Boot    uint64
	Nonce   []byte
}

// welcome accepts a session. Got is the number of frames that the acceptor
// already has from this boot of the dialler.
type welcome struct {
	_msgpack struct{} `msgpack:",as_array"`

	Boot  uint64
	Nonce []byte
	Got   uint64
	Proof []byte
}

// proof ends the handshake. Start is the number of the frame before the first
// one that follows.
type proof struct {
	_msgpack struct{} `msgpack:",as_array"`

	Start uint64
	Proof []byte
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	_, err := rand.Read(nonce)
	return nonce, errors.Wrap(err, "read nonce")
}

// sign binds one side's role to both nonces and identities.
func sign(key []byte, role string, h hello, w welcome) []byte {
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

func writeValue(conn net.Conn, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	return writeFrame(conn, body)
}

func readValue(conn net.Conn, value any) error {
	body, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	return fault.Mark(msgpack.Unmarshal(body, value), ErrMalformed)
}

// offer is the dialler's side of the handshake. resume returns the number of
// the last frame not to send again, given what the acceptor has.
func offer(conn net.Conn, key []byte, self hello, resume func(boot, got uint64) uint64) (welcome, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return welcome{}, err
	}
	if err := writeValue(conn, &self); err != nil {
		return welcome{}, err
	}
	var answer welcome
	if err := readValue(conn, &answer); err != nil {
		return welcome{}, err
	}
	if !hmac.Equal(answer.Proof, sign(key, "accept", self, answer)) {
		return welcome{}, ErrNotPeer
	}
	last := proof{Start: resume(answer.Boot, answer.Got), Proof: sign(key, "dial", self, answer)}
	if err := writeValue(conn, &last); err != nil {
		return welcome{}, err
	}
	return answer, conn.SetDeadline(time.Time{})
}

// accept is the acceptor's side of the handshake. got returns the number of
// frames received from a boot of the dialler.
func accept(conn net.Conn, key []byte, boot uint64, got func(hello) uint64) (hello, uint64, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return hello{}, 0, err
	}
	var h hello
	if err := readValue(conn, &h); err != nil {
		return hello{}, 0, err
	}
	if h.Version != protocolVersion {
		return hello{}, 0, errors.Wrapf(ErrVersion, "version %d", h.Version)
	}
	nonce, err := newNonce()
	if err != nil {
		return hello{}, 0, err
	}
	answer := welcome{Boot: boot, Nonce: nonce, Got: got(h)}
	answer.Proof = sign(key, "accept", h, answer)
	if err := writeValue(conn, &answer); err != nil {
		return hello{}, 0, err
	}
	var last proof
	if err := readValue(conn, &last); err != nil {
		return hello{}, 0, err
	}
	if !hmac.Equal(last.Proof, sign(key, "dial", h, answer)) {
		return hello{}, 0, ErrNotPeer
	}
	return h, last.Start, conn.SetDeadline(time.Time{})
}
