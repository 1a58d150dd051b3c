package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against memory exhaustion by clients that are not nodes: a length prefix
// alone must not allocate the frame, and a length above the limit is rejected.
func TestLengthPrefixAllocatesNoFrame(t *testing.T) {
	const lengths = 16
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range lengths {
		header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
		if _, _, err := readFrame(bytes.NewReader(append(header, "short"...))); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if cost := after.TotalAlloc - before.TotalAlloc; cost > 2*lengths*initialPayloadBytes {
		t.Errorf("%d KB allocated for %d length prefixes", cost>>10, lengths)
	}
	header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if _, _, err := readFrame(bytes.NewReader(header)); !errors.Is(err, ErrFrameTooLarge) {
		t.Error(err)
	}
}

func TestLongFrameIsReadIncrementally(t *testing.T) {
	for _, size := range []int{0, initialPayloadBytes - 100, initialPayloadBytes, 3*initialPayloadBytes + 7, 1 << 20} {
		buf, err := encodeFrame(&frame{Type: frameResponse, ID: 7, Body: bytes.Repeat([]byte("x"), size)})
		if err != nil {
			t.Fatal(err)
		}
		f, n, err := readFrame(bytes.NewReader(buf))
		if err != nil || n != len(buf) || len(f.Body) != size {
			t.Errorf("%d bytes: %v, frame of %d", size, err, n)
		}
	}
}

// A frame that is not complete after frameTimeout closes the connection. A
// connection without a partial frame stays open.
func TestPartialFrameTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := newConn(near, nil, &Traffic{})
		defer c.close()
		time.Sleep(2 * frameTimeout)
		if c.isClosed() {
			t.Fatal("an idle connection was closed")
		}
		began := time.Now()
		if _, err := far.Write(binary.BigEndian.AppendUint32(nil, 1000)); err != nil {
			t.Fatal(err)
		}
		for !c.isClosed() && time.Since(began) < 2*frameTimeout {
			_, _ = far.Write([]byte("x"))
			time.Sleep(frameTimeout / 100)
		}
		if took := time.Since(began); !c.isClosed() || took > frameTimeout+frameTimeout/50 {
			t.Errorf("closed %v after %s", c.isClosed(), took)
		}
	})
}
