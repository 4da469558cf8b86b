// Package http1 checks the heads of HTTP/1.1 responses before a library reads them: what is no
// response by the protocol must not be taken for one, and two readers must not disagree about
// where a body ends. Source: RFC 9112, sections 2 to 7, and RFC 9110, sections 5 and 15.
package http1

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// maxLineBytes bounds a line of a head.
	maxLineBytes = 64 << 10
	// maxInterimResponses bounds the interim responses before a final one.
	maxInterimResponses = 100
	// maxQuotedBytes bounds how much of a line an error quotes.
	maxQuotedBytes = 64
	// maxLengthDigits bounds a Content-Length, so that it fits an int64.
	maxLengthDigits = 18
)

// Status codes that decide how a head goes on.
const (
	statusSwitchingProtocols = 101
	minFinalStatus           = 200
	maxStatus                = 599
	statusNoContent          = 204
)

// HeadError reports bytes that are no head of a response.
type HeadError struct {
	// Line is the beginning of the offending line.
	Line   string
	Detail string
}

func (er *HeadError) Error() string {
	return fmt.Sprintf("malformed response head: %s: %q", er.Detail, er.Line)
}

// head checks the head of one response, line by line.
type head struct {
	// status is 0 until the status line has been read.
	status int
	// minorVersion is that of HTTP/1.
	minorVersion byte
	// length is the value of Content-Length; empty if there is none.
	length  string
	chunked bool
}

// addLine checks the next line, without its end. The empty line ends the head.
func (he *head) addLine(line []byte) (done bool, err error) {
	switch {
	case he.status == 0:
		return false, he.addStatusLine(line)
	case len(line) == 0:
		return true, he.checkFraming()
	}
	return false, he.addField(line)
}

func lineError(line []byte, detail string) error {
	return &HeadError{
		Line:   string(line[:min(len(line), maxQuotedBytes)]),
		Detail: detail,
	}
}

// addStatusLine checks a line such as "HTTP/1.1 200 OK". The blank before an empty reason may
// be missing.
func (he *head) addStatusLine(line []byte) error {
	const prefix = "HTTP/1."
	if len(line) < len(prefix)+1+len(" 200") || string(line[:len(prefix)]) != prefix || !isDigit(line[len(prefix)]) {
		return lineError(line, "no status line of HTTP/1")
	}
	he.minorVersion = line[len(prefix)]
	rest := line[len(prefix)+1:]
	code, reason := rest[1:4], rest[4:]
	if rest[0] != ' ' || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) || len(reason) > 0 && reason[0] != ' ' {
		return lineError(line, "no status code of three digits")
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < 100 || status > maxStatus {
		return lineError(line, "status code out of range")
	}
	if !isText(reason) {
		return lineError(line, "control character in the reason")
	}
	if status == statusSwitchingProtocols {
		return lineError(line, "change of protocol that nobody has asked for")
	}
	he.status = status
	return nil
}

// addField checks a header field. A line that continues the last one is not supported, as by
// other intermediaries.
func (he *head) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return lineError(line, "header field without a colon")
	case !isToken(name):
		return lineError(line, "name of a header field is no token")
	case !isText(value):
		return lineError(line, "control character in a header field")
	}
	switch text := strings.Trim(string(value), " \t"); strings.ToLower(string(name)) {
	case "content-length":
		if he.length != "" {
			return lineError(line, "second Content-Length")
		}
		if !isLength(text) {
			return lineError(line, "Content-Length is no number")
		}
		he.length = text
	case "transfer-encoding":
		if he.chunked || !strings.EqualFold(text, "chunked") {
			return lineError(line, "Transfer-Encoding other than chunked")
		}
		he.chunked = true
	}
	return nil
}

// checkFraming checks that the header fields agree on where the body ends.
func (he *head) checkFraming() error {
	switch {
	case he.chunked && he.length != "":
		return &HeadError{Detail: "both Transfer-Encoding and Content-Length"}
	case he.chunked && he.minorVersion == '0':
		return &HeadError{Detail: "Transfer-Encoding in HTTP/1.0"}
	case he.neverHasBody() && (he.chunked || strings.Trim(he.length, "0") != ""):
		return &HeadError{Detail: "body of a response that can't have one"}
	}
	return nil
}

// neverHasBody reports whether the status allows neither a body nor a Content-Length that
// describes another response's.
func (he *head) neverHasBody() bool {
	return he.status < minFinalStatus || he.status == statusNoContent
}

func (he *head) isInterim() bool { return he.status < minFinalStatus }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isLength reports whether a text is a number of bytes.
func isLength(text string) bool {
	for i := range len(text) {
		if !isDigit(text[i]) {
			return false
		}
	}
	return text != "" && len(text) <= maxLengthDigits
}

// isText reports whether bytes hold no control characters other than tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// tokenSigns are the characters of a token other than digits and letters.
const tokenSigns = "!#$%&'*+-.^_`|~"

// isToken reports whether bytes can be the name of a header field.
func isToken(name []byte) bool {
	for _, b := range name {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !letter && !isDigit(b) && strings.IndexByte(tokenSigns, b) < 0 {
			return false
		}
	}
	return len(name) > 0
}
