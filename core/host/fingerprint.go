package host

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint is the same for requests that are alike: with the same method, host name,
// target and beginning of the body. 0 means unknown.
type Fingerprint uint64

// FingerprintBodyBytes is the length of the beginning of a body that distinguishes
// requests. It is short enough to be received before a request is forwarded.
const FingerprintBodyBytes = 8 << 10

// FingerprintOf returns the fingerprint of a request. The body may be longer than
// FingerprintBodyBytes.
func FingerprintOf(method, hostName, target, body []byte) Fingerprint {
	ha := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{method, hostName, target, body[:min(len(body), FingerprintBodyBytes)]} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = ha.Write(length[:])
		_, _ = ha.Write(part)
	}
	var sum [sha256.Size]byte
	return Fingerprint(max(1, binary.BigEndian.Uint64(ha.Sum(sum[:0]))))
}
