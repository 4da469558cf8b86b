package contract

import (
	"bytes"
	"compress/gzip"
	"io"
)

// maxDocumentBytes bounds a document after decompression, in bytes.
const maxDocumentBytes = 64 << 20

// Pack compresses the canonical form of a document.
func Pack(doc *Document) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	// A bytes.Buffer takes every write.
	_, _ = zw.Write(doc.Encode())
	_ = zw.Close()
	return buf.Bytes()
}

// Unpack reads a packed document, checks its digest and compiles it.
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
