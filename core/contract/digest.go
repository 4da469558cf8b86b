package contract

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 of a document's canonical JSON form, in hexadecimal.
type Digest string

// DigestOf computes the digest of bytes.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Digest computes the digest of the document.
func (doc *Document) Digest() Digest {
	return DigestOf(doc.Encode())
}
