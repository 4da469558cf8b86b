package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxSizeDigits bounds the size of a chunk, so that it fits an int64.
	maxSizeDigits = 15
	// maxTrailerBytes bounds the trailer section.
	maxTrailerBytes = 16 << 10
)

// chunkedReader reads a body in chunks up to the end of its trailer section.
type chunkedReader struct {
	rd *bufio.Reader
	// left is the number of bytes of the chunk that have not been read.
	left int64
	// inChunk is set between the size of a chunk and the end of the line after it.
	inChunk bool
	// err ends the body; io.EOF if it is whole.
	err error
}

// NewChunkedReader returns a reader of a body in chunks. It returns io.EOF only at the end of a
// whole body, whose trailers it drops. It fails with a HeadError where the body is malformed,
// and with io.ErrUnexpectedEOF where it is cut off.
func NewChunkedReader(rd *bufio.Reader) io.Reader { return &chunkedReader{rd: rd} }

// Read implements io.Reader.
func (cr *chunkedReader) Read(buf []byte) (int, error) {
	for cr.err == nil && cr.left == 0 {
		cr.err = cr.nextChunk()
	}
	if cr.err != nil {
		return 0, cr.err
	}
	n, err := cr.rd.Read(buf[:min(int64(len(buf)), cr.left)])
	cr.left -= int64(n)
	cr.err = cutOff(err)
	return n, cr.err
}

// nextChunk ends a chunk and reads the size of the next one, or the trailer section.
func (cr *chunkedReader) nextChunk() error {
	if cr.inChunk {
		line, err := cr.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return lineError(line, "chunk is longer than its size")
		}
	}
	line, err := cr.readLine()
	if err != nil {
		return err
	}
	if cr.left, err = parseChunkSize(line); err != nil {
		return err
	}
	cr.inChunk = true
	if cr.left > 0 {
		return nil
	}
	return cr.readTrailers()
}

// parseChunkSize returns the size in the line before a chunk. Blanks may follow the size.
func parseChunkSize(line []byte) (int64, error) {
	digits, extension, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) > maxSizeDigits || !isText(extension) {
		return 0, lineError(line, "malformed size of a chunk")
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil {
		return 0, lineError(line, "malformed size of a chunk")
	}
	return int64(size), nil
}

// readTrailers drops the trailer section. It returns io.EOF at its end.
func (cr *chunkedReader) readTrailers() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := cr.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) || !isText(value) {
			return lineError(line, "malformed trailer")
		}
		size += len(line)
	}
	return &HeadError{Detail: "trailers are too long"}
}

// readLine reads a line and returns it without its end.
func (cr *chunkedReader) readLine() ([]byte, error) {
	line, err := cr.rd.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, lineError(line, "line is too long")
	}
	if err != nil {
		return nil, cutOff(err)
	}
	line, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended {
		return nil, lineError(line, "line that does not end with CR LF")
	}
	return line, nil
}

// cutOff returns io.ErrUnexpectedEOF for the end of the connection inside a body.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
