package caller

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// BareLineFeedError is returned for a header line that ends without a carriage
// return.
type BareLineFeedError struct{}

func (er *BareLineFeedError) Error() string {
	return "request header line ends without a carriage return"
}

// awaitHeader waits until the whole header of a request is buffered, without
// consuming it. It rejects bare line feeds, because the HTTP library would wait
// for the rest of such a header while the caller waits for the answer. A header
// that exceeds the buffer is left to the library.
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

// crlf terminates each header line.
var crlf = []byte("\r\n")

// peekLine returns the line at an offset of the buffered input, including its
// terminator, without consuming it.
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
