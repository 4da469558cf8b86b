// Package node speaks to other nodes: control links over yamux and call lanes
// over kept connections, both with protobuf messages.
package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// maxControlBytes bounds one control message, in bytes.
	maxControlBytes = 32 << 20
	// maxFrameBytes bounds one frame on a lane, in bytes.
	maxFrameBytes = 1 << 20
	// pieceBytes is the size of a body's pieces, in bytes.
	pieceBytes = 32 << 10
	// growBytes is what is allocated before any of a message has arrived, in bytes.
	growBytes = 64 << 10
	// lengthBytes is the size of a message's length, big-endian, in bytes.
	lengthBytes = 4
)

// Prefaces open a connection and say what follows on it.
const (
	prefaceControl = "lynxfold control 1\n"
	prefaceLane    = "lynxfold calls   1\n"
)

// OversizeError reports a message that is longer than allowed.
type OversizeError struct {
	Length int
	Limit  int
}

func (er *OversizeError) Error() string {
	return fmt.Sprintf("message of %d bytes, at most %d", er.Length, er.Limit)
}

// MalformedError reports bytes that are not a message.
type MalformedError struct {
	Err error
}

func (er *MalformedError) Error() string { return "malformed message: " + er.Err.Error() }

// Unwrap returns the cause.
func (er *MalformedError) Unwrap() error { return er.Err }

// readMessage reads one length-prefixed message.
func readMessage(rd *bufio.Reader, ms proto.Message, limit int) error {
	_, err := readSized(rd, ms, limit)
	return err
}

// readSized reads one length-prefixed message and returns its length on the
// wire, in bytes.
func readSized(rd *bufio.Reader, ms proto.Message, limit int) (int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(rd, head[:]); err != nil {
		return 0, err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > limit {
		return 0, &OversizeError{Length: size, Limit: limit}
	}
	data, err := readBytes(rd, size)
	if err != nil {
		return 0, err
	}
	if err := proto.Unmarshal(data, ms); err != nil {
		return 0, &MalformedError{Err: err}
	}
	return size + lengthBytes, nil
}

// readBytes reads that many bytes. Memory grows with what has arrived, not with
// what was promised.
func readBytes(rd *bufio.Reader, size int) ([]byte, error) {
	data := make([]byte, min(size, growBytes))
	for read := 0; ; {
		if _, err := io.ReadFull(rd, data[read:]); err != nil {
			return nil, err
		}
		read = len(data)
		if read == size {
			return data, nil
		}
		data = append(data, make([]byte, min(read, size-read))...)
	}
}

// appendMessage appends one length-prefixed message to a buffer.
func appendMessage(buf []byte, ms proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, lengthBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, ms)
	if err != nil {
		return nil, &MalformedError{Err: err}
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthBytes))
	return buf, nil
}
