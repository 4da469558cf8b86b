package http1

import (
	"bufio"
	"bytes"
)

// checker checks the heads of a response as its bytes arrive: those of interim responses, and
// that of the final one.
type checker struct {
	head head
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// interim is the number of interim responses.
	interim int
	// done is set at the end of a head.
	done bool
}

// feed checks bytes up to the end of the head, and returns how many of them belong to it.
func (ck *checker) feed(data []byte) (int, error) {
	used := 0
	for !ck.done && used < len(data) {
		end := bytes.IndexByte(data[used:], '\n')
		if end < 0 {
			ck.line = append(ck.line, data[used:]...)
			return len(data), ck.checkPartial()
		}
		line := data[used : used+end]
		if len(ck.line) > 0 {
			ck.line = append(ck.line, line...)
			line = ck.line
		}
		used += end + 1
		if err := ck.addLine(line); err != nil {
			return used, err
		}
		ck.line = ck.line[:0]
	}
	return used, nil
}

// addLine checks a line up to its line feed.
func (ck *checker) addLine(line []byte) error {
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return lineError(line, "line that does not end with CR LF")
	}
	var err error
	ck.done, err = ck.head.addLine(line[:len(line)-1])
	return err
}

// checkPartial refuses the beginning of a line that can't become one.
func (ck *checker) checkPartial() error {
	const prefix = "HTTP/1."
	switch {
	case ck.head.status == 0 && !bytes.HasPrefix(ck.line, []byte(prefix)[:min(len(ck.line), len(prefix))]):
		return lineError(ck.line, "no status line of HTTP/1")
	case len(ck.line) > maxLineBytes:
		return lineError(ck.line, "line is too long")
	}
	return nil
}

// isFinal reports whether the head of the final response has ended.
func (ck *checker) isFinal() bool { return ck.done && !ck.head.isInterim() }

// next goes on with the head after that of an interim response.
func (ck *checker) next() error {
	if ck.interim++; ck.interim > maxInterimResponses {
		return &HeadError{Detail: "too many interim responses"}
	}
	ck.head = head{}
	ck.done = false
	return nil
}

// AwaitHead waits until the head of a response has arrived, checks it, and leaves it in the
// reader. It drops the interim responses before it. It fails with a HeadError, with the error
// of the reader, or with bufio.ErrBufferFull if the head does not fit into the reader.
func AwaitHead(rd *bufio.Reader) error {
	var ck checker
	checked := 0
	for !ck.isFinal() {
		_, err := rd.Peek(checked + 1)
		arrived, _ := rd.Peek(rd.Buffered())
		if len(arrived) <= checked {
			return err
		}
		used, err := ck.feed(arrived[checked:])
		if err != nil {
			return err
		}
		checked += used
		if !ck.done || ck.isFinal() {
			continue
		}
		if err := ck.next(); err != nil {
			return err
		}
		if _, err := rd.Discard(checked); err != nil {
			return err
		}
		checked = 0
	}
	return nil
}
