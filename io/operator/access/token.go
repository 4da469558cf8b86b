// Package access decides who may read and who may change the configuration:
// tokens that operators show, limits on wrong ones, and form tokens against
// posts that another site forges.
package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// OperatorName names an operator; it is recorded with every accepted change.
type OperatorName string

// Role is what an operator may do.
type Role string

// Roles; RoleChange includes reading.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
)

// Digest is the SHA-256 of a token.
type Digest [sha256.Size]byte

// Token is what the settings hold of one operator's token.
type Token struct {
	Operator OperatorName
	Role     Role
	Digest   Digest
}

// String writes the token as its settings line.
func (to Token) String() string {
	return fmt.Sprintf("%s %s %s", to.Operator, to.Role, hex.EncodeToString(to.Digest[:]))
}

// TokenLineError reports a settings line that is not NAME ROLE DIGEST.
type TokenLineError struct{}

func (er *TokenLineError) Error() string { return "not NAME ROLE DIGEST" }

var linePattern = regexp.MustCompile(`^[a-z0-9-]{1,63} (read|change) [0-9a-f]{64}$`)

// ParseToken reads a settings line of NAME ROLE DIGEST.
func ParseToken(line string) (Token, error) {
	fields := strings.Fields(line)
	if !linePattern.MatchString(strings.Join(fields, " ")) {
		return Token{}, &TokenLineError{}
	}
	to := Token{
		Operator: OperatorName(fields[0]),
		Role:     Role(fields[1]),
	}
	if _, err := hex.Decode(to.Digest[:], []byte(fields[2])); err != nil {
		return Token{}, &TokenLineError{}
	}
	return to, nil
}

// secretBytes is the length of a new token before it is written in hexadecimal.
const secretBytes = 32

// NewSecret makes a random token.
func NewSecret() string {
	var raw [secretBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// DigestOf computes the digest of a token.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }
