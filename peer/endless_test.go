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

// Pattern: something that is no node connects and names the length of a frame. A
// length alone holds no memory, and one beyond the bound ends the connection.
func TestLengthAloneHoldsNoMemory(t *testing.T) {
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
	if cost := after.TotalAlloc - before.TotalAlloc; cost > 2*lengths*payloadStep {
		t.Errorf("%d KB for %d lengths", cost>>10, lengths)
	}
	header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if _, _, err := readFrame(bytes.NewReader(header)); !errors.Is(err, ErrFrameTooLarge) {
		t.Error(err)
	}
}

func TestLongFrameIsReadInSteps(t *testing.T) {
	for _, size := range []int{0, payloadStep - 100, payloadStep, 3*payloadStep + 7, 1 << 20} {
		buf, err := encodeFrame(&frame{Type: frameAnswer, ID: 7, Body: bytes.Repeat([]byte("x"), size)})
		if err != nil {
			t.Fatal(err)
		}
		f, n, err := readFrame(bytes.NewReader(buf))
		if err != nil || n != len(buf) || len(f.Body) != size {
			t.Errorf("%d bytes: %v, frame of %d", size, err, n)
		}
	}
}

// A frame that trickles in ends the connection after frameTimeout; a connection
// without a frame stays.
func TestFrameEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := newConn(near, nil, &Traffic{})
		defer c.close()
		time.Sleep(2 * frameTimeout)
		if c.ended() {
			t.Fatal("an idle connection ended")
		}
		began := time.Now()
		if _, err := far.Write(binary.BigEndian.AppendUint32(nil, 1000)); err != nil {
			t.Fatal(err)
		}
		for !c.ended() && time.Since(began) < 2*frameTimeout {
			_, _ = far.Write([]byte("x"))
			time.Sleep(frameTimeout / 100)
		}
		if took := time.Since(began); !c.ended() || took > frameTimeout+frameTimeout/50 {
			t.Errorf("ended %v after %s", c.ended(), took)
		}
	})
}
