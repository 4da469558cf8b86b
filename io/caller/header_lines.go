package caller

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// BareLineFeedError reports a line of a request's header that ends without a carriage return.
type BareLineFeedError struct{}

func (er *BareLineFeedError) Error() string {
	return "a line of the request's header ends without a carriage return"
}

// awaitHeader waits for the whole header of a request and leaves it unread. The
// HTTP library would wait for the rest of a header with a bare line feed, and its
// caller for the answer. A header beyond the reader's buffer is left to the library.
func awaitHeader(rd *bufio.Reader) error {
	begin := 0
	for {
		line, err := peekLine(rd, begin)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil
		case err != nil:
			return err
		case !bytes.HasSuffix(line, crlf):
			return &BareLineFeedError{}
		case len(line) == len(crlf) && begin > 0:
			return nil
		}
		begin += len(line)
	}
}

// crlf ends each line of a header.
var crlf = []byte("\r\n")

// peekLine returns the line that begins at an offset of what is unread, with its end.
func peekLine(rd *bufio.Reader, begin int) ([]byte, error) {
	searched := begin
	for {
		got, _ := rd.Peek(rd.Buffered())
		if at := bytes.IndexByte(got[searched:], '\n'); at >= 0 {
			return got[begin : searched+at+1], nil
		}
		searched = len(got)
		if _, err := rd.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}
