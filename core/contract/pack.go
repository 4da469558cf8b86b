package contract

import (
	"bytes"
	"compress/gzip"
	"io"
)

// maxDocumentBytes bounds the size of a decompressed document or delta.
const maxDocumentBytes = 64 << 20

// Pack returns the JSON form of a document, compressed with gzip.
func Pack(doc *Document) []byte { return compress(doc.Encode()) }

// PackDelta compresses the JSON form of a delta with gzip.
func PackDelta(data []byte) []byte { return compress(data) }

// UnpackDelta returns the JSON form of a packed delta. It fails with a SyntaxError.
func UnpackDelta(packed []byte) ([]byte, error) { return decompress(packed) }

func compress(data []byte) []byte {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	// Writes to a bytes.Buffer don't fail.
	_, _ = zw.Write(data)
	_ = zw.Close()
	return buf.Bytes()
}

func decompress(data []byte) ([]byte, error) {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	text, err := io.ReadAll(io.LimitReader(zr, maxDocumentBytes))
	if err != nil {
		return nil, &SyntaxError{Detail: err.Error()}
	}
	return text, nil
}

// Unpack decompresses and parses a packed document, checks its digest and compiles
// it. It fails with a SyntaxError, a DigestError or a ValidationError.
func Unpack(ve Version, want Digest, data []byte) (*Snapshot, error) {
	text, err := decompress(data)
	if err != nil {
		return nil, err
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
