package contract

import (
	"bytes"
	"compress/gzip"
	"io"
)

// maxDocumentBytes bounds the size of a decompressed document.
const maxDocumentBytes = 64 << 20

// Pack returns the JSON form of a document, compressed with gzip.
func Pack(doc *Document) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	// Writes to a bytes.Buffer don't fail.
	_, _ = zw.Write(doc.Encode())
	_ = zw.Close()
	return buf.Bytes()
}

// Unpack decompresses and parses a packed document, checks its digest and compiles
// it. It fails with a SyntaxError, a DigestError or a ValidationError.
func Unpack(ve Version, want Digest, data []byte) (*Snapshot, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	text, err := io.ReadAll(io.LimitReader(zr, maxDocumentBytes))
	if err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	doc, err := ParseDocument(text)
	if err != nil {
		return nil, err
	}
	if got := doc.Digest(); got != want {
		return nil, &DigestError{Version: ve, Want: want, Got: got}
	}
	return Compile(ve, doc)
}
