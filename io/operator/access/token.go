// Package access authenticates operators by their tokens and authorizes what they do:
// it limits the rate of wrong tokens and protects the console's forms from cross-site
// request forgery.
package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

// OperatorName names an operator. It is recorded with every change that the operator
// submits.
type OperatorName string

// Role is the set of permissions of an operator.
type Role string

// Roles; RoleChange includes RoleRead.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
)

// Digest is the SHA-256 of a token's secret.
type Digest [sha256.Size]byte

// Token is one configured operator token. Only the digest of the secret is stored.
type Token struct {
	Operator OperatorName
	Role     Role
	Digest   Digest
}

// String formats the token as the line NAME ROLE DIGEST of the settings.
func (to Token) String() string {
	return fmt.Sprintf("%s %s %s", to.Operator, to.Role, hex.EncodeToString(to.Digest[:]))
}

// TokenLineError reports a line of the settings that is not NAME ROLE DIGEST.
type TokenLineError struct{}

func (er *TokenLineError) Error() string { return "not NAME ROLE DIGEST" }

var tokenLinePattern = regexp.MustCompile(`^[a-z0-9-]{1,63} (read|change) [0-9a-f]{64}$`)

// ParseToken parses a line NAME ROLE DIGEST of the settings.
func ParseToken(line string) (Token, error) {
	fields := strings.Fields(line)
	if !tokenLinePattern.MatchString(strings.Join(fields, " ")) {
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

// secretBytes is the length of a new secret before its hexadecimal encoding.
const secretBytes = 32

// NewSecret generates a random secret in hexadecimal.
func NewSecret() string {
	var raw [secretBytes]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// DigestOf returns the SHA-256 digest of a secret.
func DigestOf(secret string) Digest { return sha256.Sum256([]byte(secret)) }
