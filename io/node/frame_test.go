package node

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lynxfold/core/wire"
)

// FuzzReadMessage reads arbitrary bytes: a message that is read must be the same after it is
// written and read again.
func FuzzReadMessage(f *testing.F) {
	for _, ms := range []*wire.Control{
		{Kind: &wire.Control_Probe{Probe: &wire.Probe{Number: 7}}},
		{Kind: &wire.Control_Notice{Notice: &wire.Notice{Version: 3, Digest: "ab"}}},
		{Kind: &wire.Control_Hello{Hello: &wire.Hello{Mesh: "szeged", Host: &wire.Host{Id: "press-hall-1"}}}},
	} {
		data, err := appendMessage(nil, ms)
		assert.NilError(f, err)
		f.Add(data)
		f.Add(data[:len(data)-1])
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ms := &wire.Control{}
		size, err := readMessageSize(bufio.NewReader(bytes.NewReader(data)), ms, 1<<16)
		if err != nil {
			return
		}
		if size > len(data) {
			t.Fatalf("read %d of %d bytes", size, len(data))
		}
		encoded, err := appendMessage(nil, ms)
		assert.NilError(t, err)
		decoded := &wire.Control{}
		assert.NilError(t, readMessage(bufio.NewReader(bytes.NewReader(encoded)), decoded, 1<<17))
		assert.Assert(t, proto.Equal(ms, decoded))
	})
}

// TestAnnouncedLengthTakesNoMemory reads the length of a large message that never arrives:
// the buffer must not be allocated from the announced length.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	head := []byte{1, 0x40, 0, 0, 'x'}
	allocated := testing.AllocsPerRun(1, func() {
		err := readMessage(bufio.NewReader(bytes.NewReader(head)), &wire.Control{}, maxControlBytes)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	})
	assert.Assert(t, allocated < 20)
	data, err := readBytes(bufio.NewReader(bytes.NewReader(make([]byte, 3*initialBufferBytes+1))), 3*initialBufferBytes+1)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 3*initialBufferBytes+1)
}

func TestOversizeMessageIsRefused(t *testing.T) {
	err := readMessage(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff})), &wire.Control{}, maxControlBytes)
	assert.Assert(t, errors.HasType(err, &OversizeError{}), "%v", err)
}
