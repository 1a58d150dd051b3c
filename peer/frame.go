// Package peer exchanges messages between nodes: control messages over QUIC and
// calls over the transport chosen in the settings, both with mutual TLS. Plain
// TCP can carry both without TLS.
//
// All transports use the same frames. Many requests share one connection; a
// request ID matches each response to its request, so that responses may arrive
// in any order, and a digest over the body detects a corrupt or mixed-up
// response.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// MaxFrameBytes bounds one encoded frame.
const MaxFrameBytes = 16 << 20

// initialPayloadBytes bounds the memory allocated for a frame before any of its
// payload has arrived.
const initialPayloadBytes = 64 << 10

// frameHeaderBytes is the size of the length prefix.
const frameHeaderBytes = 4

type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameResponse
	frameCancel
	framePing
	framePong
	frameNotification
)

// frame is one message on a connection. Its encoding is, after the length prefix:
// type, ID, digest over the body, lengths of kind, sender and error text, these
// three texts, and the body up to the end.
type frame struct {
	Type frameType
	ID   uint64
	Kind string
	From state.MemberID
	// ErrorText is the handler's error in a response; empty if there is none.
	ErrorText string
	Body      []byte
	// Tail follows Body on the wire and is part of Body at the receiver. A long
	// tail is sent without being copied.
	Tail []byte
}

// maxCopiedTailBytes is the size up to which a tail is copied into the frame's
// buffer, so that the frame takes one write.
const maxCopiedTailBytes = 4 << 10

// Offsets of the fixed part of a frame, in bytes after the length prefix.
const (
	frameIDAt     = 1
	frameDigestAt = frameIDAt + 8
	frameKindAt   = frameDigestAt + 8
	frameFromAt   = frameKindAt + 1
	frameErrorAt  = frameFromAt + 2
	frameTextAt   = frameErrorAt + 2
)

// Errors of the frame codec.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrFrameDigest   = errors.New("frame body does not match its digest")
	ErrFrameType     = errors.New("unknown frame type")
	ErrFrameShort    = errors.New("frame is truncated")
)

// encodeFrame returns the length prefix and the encoded frame in one buffer. A
// tail longer than maxCopiedTailBytes is left out; the caller must write it after
// the buffer.
func encodeFrame(f *frame) ([]byte, error) {
	if len(f.Kind) > math.MaxUint8 || len(f.From) > math.MaxUint16 {
		return nil, ErrFrameTooLarge
	}
	errorText := f.ErrorText[:min(len(f.ErrorText), math.MaxUint16)]
	size := frameTextAt + len(f.Kind) + len(f.From) + len(errorText) + len(f.Body) + len(f.Tail)
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	copied := f.Tail
	if len(copied) > maxCopiedTailBytes {
		copied = nil
	}
	buf := make([]byte, 0, frameHeaderBytes+size-len(f.Tail)+len(copied))
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf = append(buf, byte(f.Type))
	buf = binary.BigEndian.AppendUint64(buf, f.ID)
	buf = binary.BigEndian.AppendUint64(buf, digest(f.Body, f.Tail))
	buf = append(buf, byte(len(f.Kind)))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(f.From)))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(errorText)))
	buf = append(buf, f.Kind...)
	buf = append(buf, f.From...)
	buf = append(buf, errorText...)
	return append(append(buf, f.Body...), copied...), nil
}

// readFrame reads and verifies one frame. It also returns the size in bytes.
func readFrame(r io.Reader) (*frame, int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return nil, 0, ErrFrameTooLarge
	}
	payload, err := readPayload(r, int(size))
	if err != nil {
		return nil, 0, fmt.Errorf("read frame: %w", err)
	}
	f, err := decodeFrame(payload)
	return f, frameHeaderBytes + len(payload), err
}

// readPayload allocates memory as the bytes arrive, so that a length prefix alone
// cannot claim the memory for a large frame.
func readPayload(r io.Reader, size int) ([]byte, error) {
	payload := make([]byte, min(size, initialPayloadBytes))
	for read := 0; ; {
		n, err := io.ReadFull(r, payload[read:])
		read += n
		if err != nil || read == size {
			return payload, err
		}
		next := make([]byte, min(size, 2*read))
		copy(next, payload)
		payload = next
	}
}

// decodeFrame decodes a payload. The frame's body shares the payload's memory.
func decodeFrame(payload []byte) (*frame, error) {
	if len(payload) < frameTextAt {
		return nil, ErrFrameShort
	}
	f := &frame{Type: frameType(payload[0]), ID: binary.BigEndian.Uint64(payload[frameIDAt:])}
	if f.Type < frameRequest || f.Type > frameNotification {
		return nil, ErrFrameType
	}
	kindEnd := frameTextAt + int(payload[frameKindAt])
	fromEnd := kindEnd + int(binary.BigEndian.Uint16(payload[frameFromAt:]))
	errorEnd := fromEnd + int(binary.BigEndian.Uint16(payload[frameErrorAt:]))
	if errorEnd > len(payload) {
		return nil, ErrFrameShort
	}
	f.Kind = string(payload[frameTextAt:kindEnd])
	f.From = state.MemberID(payload[kindEnd:fromEnd])
	f.ErrorText = string(payload[fromEnd:errorEnd])
	f.Body = payload[errorEnd:]
	if binary.BigEndian.Uint64(payload[frameDigestAt:]) != digest(f.Body, nil) {
		return nil, ErrFrameDigest
	}
	return f, nil
}

// digest returns the digest over body and tail; zero if both are empty.
func digest(body, tail []byte) uint64 {
	switch {
	case len(body)+len(tail) == 0:
		return 0
	case len(tail) == 0:
		return xxhash.Sum64(body)
	}
	d := xxhash.New()
	_, _ = d.Write(body) // a hash never returns an error
	_, _ = d.Write(tail)
	return d.Sum64()
}
