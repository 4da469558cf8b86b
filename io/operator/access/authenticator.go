package access

import (
	"crypto/subtle"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Operator is the authenticated sender of a request.
type Operator struct {
	Name OperatorName
	Role Role
}

// MayChange reports whether the operator may submit a configuration.
func (op Operator) MayChange() bool { return op.Role == RoleChange }

// Reason says why access was denied.
type Reason string

// Reasons for denied access.
const (
	ReasonNoToken            Reason = "no_token"
	ReasonWrongToken         Reason = "wrong_token"
	ReasonTooManyWrongTokens Reason = "too_many_wrong_tokens"
	ReasonInsufficientRole   Reason = "role"
	ReasonCSRFToken          Reason = "form_token"
	ReasonOrigin             Reason = "origin"
)

// DeniedError reports a request that its sender is not allowed to make.
type DeniedError struct {
	Reason Reason
	// RetryAt is when the address may try a token again; set with
	// ReasonTooManyWrongTokens only.
	RetryAt time.Time
}

func (er *DeniedError) Error() string { return "access denied: " + string(er.Reason) }

// Rate limit on wrong tokens from one address.
const (
	failuresPerSecond = 0.5
	failureBurst      = 5
	// maxTrackedAddresses bounds the memory of the rate limiters.
	maxTrackedAddresses = 1024
)

// localOperator is recorded as the author of changes if no tokens are configured.
const localOperator OperatorName = "local"

// Authenticator checks tokens. It is safe for concurrent use.
type Authenticator struct {
	tokens []Token

	// mu guards failures, the rate limiters of wrong tokens by address.
	mu       sync.Mutex
	failures map[netip.Addr]*rate.Limiter
}

// NewAuthenticator returns an authenticator for the configured tokens. Without
// tokens it gives every request RoleChange.
func NewAuthenticator(tokens []Token) *Authenticator {
	return &Authenticator{
		tokens:   tokens,
		failures: map[netip.Addr]*rate.Limiter{},
	}
}

// Disabled reports whether no tokens are configured.
func (au *Authenticator) Disabled() bool { return len(au.tokens) == 0 }

// Authenticate returns the operator whose token has the secret. It fails with a
// DeniedError.
func (au *Authenticator) Authenticate(secret string, from netip.Addr, now time.Time) (Operator, error) {
	if au.Disabled() {
		return Operator{Name: localOperator, Role: RoleChange}, nil
	}
	if secret == "" {
		return Operator{}, &DeniedError{Reason: ReasonNoToken}
	}
	if retryAt, limited := au.rateLimited(from, now); limited {
		return Operator{}, &DeniedError{Reason: ReasonTooManyWrongTokens, RetryAt: retryAt}
	}
	if to, ok := au.lookUp(DigestOf(secret)); ok {
		return Operator{Name: to.Operator, Role: to.Role}, nil
	}
	au.recordFailure(from, now)
	return Operator{}, &DeniedError{Reason: ReasonWrongToken}
}

// lookUp compares the digest with every token in constant time, so that the response
// time reveals nothing about the tokens.
func (au *Authenticator) lookUp(di Digest) (Token, bool) {
	found := -1
	for i, to := range au.tokens {
		if subtle.ConstantTimeCompare(to.Digest[:], di[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Token{}, false
	}
	return au.tokens[found], true
}

// rateLimited reports whether an address has used up its burst of wrong tokens, and
// when it may try again.
func (au *Authenticator) rateLimited(from netip.Addr, now time.Time) (time.Time, bool) {
	au.mu.Lock()
	defer au.mu.Unlock()
	li := au.failures[from]
	if li == nil {
		return time.Time{}, false
	}
	left := li.TokensAt(now)
	if left >= 1 {
		return time.Time{}, false
	}
	return now.Add(time.Duration((1 - left) / failuresPerSecond * float64(time.Second))), true
}

func (au *Authenticator) recordFailure(from netip.Addr, now time.Time) {
	au.mu.Lock()
	defer au.mu.Unlock()
	li := au.failures[from]
	if li == nil {
		au.evict(now)
		li = rate.NewLimiter(failuresPerSecond, failureBurst)
		au.failures[from] = li
	}
	li.AllowN(now, 1)
}

// evict makes room for one more address. It removes the limiters whose burst is fully
// available again or, if there are none, the one that is closest to that.
func (au *Authenticator) evict(now time.Time) {
	if len(au.failures) < maxTrackedAddresses {
		return
	}
	var candidate netip.Addr
	mostLeft := -1.0
	for ad, li := range au.failures {
		left := li.TokensAt(now)
		if left >= failureBurst {
			delete(au.failures, ad)
			continue
		}
		if left > mostLeft {
			candidate, mostLeft = ad, left
		}
	}
	if len(au.failures) >= maxTrackedAddresses {
		delete(au.failures, candidate)
	}
}

// Require returns a DeniedError unless the operator has the role.
func (op Operator) Require(ro Role) error {
	if ro == RoleChange && !op.MayChange() {
		return &DeniedError{Reason: ReasonInsufficientRole}
	}
	return nil
}

// String returns the operator's name and role for logs.
func (op Operator) String() string { return fmt.Sprintf("%s (%s)", op.Name, op.Role) }
