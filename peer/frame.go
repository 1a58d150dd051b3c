// Package peer carries messages between nodes: control messages over QUIC and
// calls over the transport chosen in the settings, both with mutual TLS.
//
// All transports carry the same frames. Many requests share one connection; a
// request ID pairs each answer with its request, so answers may arrive in any
// order, and a digest over the body detects a damaged or mixed-up answer.
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

// payloadStep is what is set aside for a frame before any of it has arrived.
const payloadStep = 64 << 10

// frameHeaderBytes is the size of the length prefix.
const frameHeaderBytes = 4

type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameAnswer
	frameCancel
	frameProbe
	frameAlive
	frameNotice
)

// frame is one message on a connection. Its parts follow the length prefix in
// this order: type, ID, digest over the body, lengths of kind, sender and
// fault, these texts, and the body up to the end.
type frame struct {
	Type frameType
	ID   uint64
	Kind string
	From state.MemberID
	// Fault is the handler's error text in an answer.
	Fault string
	Body  []byte
	// Tail follows Body on the wire and is part of it at the receiver. A long one
	// is sent without being copied.
	Tail []byte
}

// copiedTailBytes is the size up to which a tail is copied behind the body, so
// that the frame is one write.
const copiedTailBytes = 4 << 10

// Offsets of the fixed part of a frame, in bytes after the length prefix.
const (
	frameIDAt     = 1
	frameDigestAt = frameIDAt + 8
	frameKindAt   = frameDigestAt + 8
	frameFromAt   = frameKindAt + 1
	frameFaultAt  = frameFromAt + 2
	frameTextsAt  = frameFaultAt + 2
)

// Errors of the frame codec.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrFrameDigest   = errors.New("frame body does not match its digest")
	ErrFrameType     = errors.New("unknown frame type")
	ErrFrameShort    = errors.New("frame is cut short")
)

// encodeFrame returns the length prefix and the encoded frame in one buffer. A
// tail above copiedTailBytes is left out and has to be written after it.
func encodeFrame(f *frame) ([]byte, error) {
	if len(f.Kind) > math.MaxUint8 || len(f.From) > math.MaxUint16 {
		return nil, ErrFrameTooLarge
	}
	fault := f.Fault[:min(len(f.Fault), math.MaxUint16)]
	size := frameTextsAt + len(f.Kind) + len(f.From) + len(fault) + len(f.Body) + len(f.Tail)
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	copied := f.Tail
	if len(copied) > copiedTailBytes {
		copied = nil
	}
	buf := make([]byte, 0, frameHeaderBytes+size-len(f.Tail)+len(copied))
	buf = binary.BigEndian.AppendUint32(buf, uint32(size))
	buf = append(buf, byte(f.Type))
	buf = binary.BigEndian.AppendUint64(buf, f.ID)
	buf = binary.BigEndian.AppendUint64(buf, digest(f.Body, f.Tail))
	buf = append(buf, byte(len(f.Kind)))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(f.From)))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(fault)))
	buf = append(buf, f.Kind...)
	buf = append(buf, f.From...)
	buf = append(buf, fault...)
	return append(append(buf, f.Body...), copied...), nil
}

// readFrame reads and checks one frame; it also returns its size in bytes.
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

// readPayload sets memory aside as the bytes arrive, so that a length alone
// holds none.
func readPayload(r io.Reader, size int) ([]byte, error) {
	payload := make([]byte, min(size, payloadStep))
	for read := 0; ; {
		n, err := io.ReadFull(r, payload[read:])
		read += n
		if err != nil || read == size {
			return payload, err
		}
		grown := make([]byte, min(size, 2*read))
		copy(grown, payload)
		payload = grown
	}
}

// decodeFrame takes a payload apart; the frame's body shares its memory.
func decodeFrame(payload []byte) (*frame, error) {
	if len(payload) < frameTextsAt {
		return nil, ErrFrameShort
	}
	f := &frame{Type: frameType(payload[0]), ID: binary.BigEndian.Uint64(payload[frameIDAt:])}
	if f.Type < frameRequest || f.Type > frameNotice {
		return nil, ErrFrameType
	}
	kind := frameTextsAt + int(payload[frameKindAt])
	from := kind + int(binary.BigEndian.Uint16(payload[frameFromAt:]))
	fault := from + int(binary.BigEndian.Uint16(payload[frameFaultAt:]))
	if fault > len(payload) {
		return nil, ErrFrameShort
	}
	f.Kind = string(payload[frameTextsAt:kind])
	f.From = state.MemberID(payload[kind:from])
	f.Fault = string(payload[from:fault])
	f.Body = payload[fault:]
	if binary.BigEndian.Uint64(payload[frameDigestAt:]) != digest(f.Body, nil) {
		return nil, ErrFrameDigest
	}
	return f, nil
}

// digest is zero for a frame without a body.
func digest(body, tail []byte) uint64 {
	switch {
	case len(body)+len(tail) == 0:
		return 0
	case len(tail) == 0:
		return xxhash.Sum64(body)
	}
	d := xxhash.New()
	_, _ = d.Write(body) // a hash takes every write
	_, _ = d.Write(tail)
	return d.Sum64()
}
