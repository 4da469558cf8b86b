// Package node connects nodes to each other: control links over yamux, pooled
// connections for calls, and connections that query a node's configuration version. All
// of them carry length-prefixed protobuf messages.
package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// maxControlBytes limits one control message.
	maxControlBytes = 32 << 20
	// maxFrameBytes limits one frame on a call connection.
	maxFrameBytes = 1 << 20
	// chunkBytes is the size of the chunks in which a body is sent.
	chunkBytes = 32 << 10
	// initialBufferBytes limits what is allocated before any of a message has arrived.
	initialBufferBytes = 64 << 10
	// lengthPrefixBytes is the size of the big-endian length before each message.
	lengthPrefixBytes = 4
)

// Prefaces are the first bytes on a connection and select its protocol.
const (
	prefaceControl = "lynxfold control 1\n"
	prefaceCalls   = "lynxfold calls   1\n"
)

// OversizeError reports a message that is longer than allowed.
type OversizeError struct {
	Length int
	Limit  int
}

func (er *OversizeError) Error() string {
	return fmt.Sprintf("message of %d bytes, at most %d allowed", er.Length, er.Limit)
}

// MalformedError reports a message that can't be encoded or decoded.
type MalformedError struct {
	Err error
}

func (er *MalformedError) Error() string { return "malformed message: " + er.Err.Error() }

// Unwrap returns the cause.
func (er *MalformedError) Unwrap() error { return er.Err }

// readMessage reads one length-prefixed message.
func readMessage(rd *bufio.Reader, ms proto.Message, limit int) error {
	_, err := readMessageSize(rd, ms, limit)
	return err
}

// readMessageSize reads one length-prefixed message and returns its size on the wire,
// in bytes.
func readMessageSize(rd *bufio.Reader, ms proto.Message, limit int) (int, error) {
	var head [lengthPrefixBytes]byte
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
	return size + lengthPrefixBytes, nil
}

// readBytes reads size bytes. The buffer grows with the data received, so that a
// large announced size alone allocates no memory.
func readBytes(rd *bufio.Reader, size int) ([]byte, error) {
	data := make([]byte, min(size, initialBufferBytes))
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
	buf = append(buf, make([]byte, lengthPrefixBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, ms)
	if err != nil {
		return nil, &MalformedError{Err: err}
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(len(buf)-start-lengthPrefixBytes))
	return buf, nil
}
