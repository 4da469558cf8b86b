package access

import (
	"crypto/subtle"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Operator is who makes a request.
type Operator struct {
	Name OperatorName
	Role Role
}

// MayChange tells whether the operator may have a configuration accepted.
func (op Operator) MayChange() bool { return op.Role == RoleChange }

// Reason names why access was denied.
type Reason string

// Reasons for denied access.
const (
	ReasonNoToken    Reason = "no_token"
	ReasonWrongToken Reason = "wrong_token"
	ReasonTooMany    Reason = "too_many_wrong_tokens"
	ReasonRole       Reason = "role"
	ReasonForm       Reason = "form_token"
	ReasonOrigin     Reason = "origin"
)

// DeniedError reports a request that its sender may not make.
type DeniedError struct {
	Reason Reason
	// RetryAt is when the next token is looked at, with ReasonTooMany.
	RetryAt time.Time
}

func (er *DeniedError) Error() string { return "access denied: " + string(er.Reason) }

// Limits on wrong tokens from one address.
const (
	wrongPerSecond = 0.5
	wrongBurst     = 5
	// maxAddresses bounds the addresses that are told apart.
	maxAddresses = 1024
)

// localOperator is recorded with changes when the settings hold no tokens.
const localOperator OperatorName = "local"

// Guard checks tokens. It is safe for many goroutines.
type Guard struct {
	tokens []Token

	mu    sync.Mutex
	wrong map[netip.Addr]*rate.Limiter
}

// NewGuard builds a guard; without tokens everybody may change.
func NewGuard(tokens []Token) *Guard {
	return &Guard{
		tokens: tokens,
		wrong:  map[netip.Addr]*rate.Limiter{},
	}
}

// Open tells whether the settings hold no tokens.
func (gu *Guard) Open() bool { return len(gu.tokens) == 0 }

// Identify finds the operator whose token it is. It fails with a DeniedError.
func (gu *Guard) Identify(secret string, from netip.Addr, now time.Time) (Operator, error) {
	if gu.Open() {
		return Operator{Name: localOperator, Role: RoleChange}, nil
	}
	if secret == "" {
		return Operator{}, &DeniedError{Reason: ReasonNoToken}
	}
	if at, full := gu.exhausted(from, now); full {
		return Operator{}, &DeniedError{Reason: ReasonTooMany, RetryAt: at}
	}
	if to, ok := gu.find(DigestOf(secret)); ok {
		return Operator{Name: to.Operator, Role: to.Role}, nil
	}
	gu.count(from, now)
	return Operator{}, &DeniedError{Reason: ReasonWrongToken}
}

// find compares with every token, so that the time taken tells nothing.
func (gu *Guard) find(di Digest) (Token, bool) {
	found := -1
	for i, to := range gu.tokens {
		if subtle.ConstantTimeCompare(to.Digest[:], di[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Token{}, false
	}
	return gu.tokens[found], true
}

// exhausted tells whether an address has used up its wrong tokens, and until when.
func (gu *Guard) exhausted(from netip.Addr, now time.Time) (time.Time, bool) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	li := gu.wrong[from]
	if li == nil {
		return time.Time{}, false
	}
	left := li.TokensAt(now)
	if left >= 1 {
		return time.Time{}, false
	}
	return now.Add(time.Duration((1 - left) / wrongPerSecond * float64(time.Second))), true
}

func (gu *Guard) count(from netip.Addr, now time.Time) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	li := gu.wrong[from]
	if li == nil {
		gu.makeRoom(now)
		li = rate.NewLimiter(wrongPerSecond, wrongBurst)
		gu.wrong[from] = li
	}
	li.AllowN(now, 1)
}

// makeRoom forgets addresses that have paid back, and one other when all still owe.
func (gu *Guard) makeRoom(now time.Time) {
	if len(gu.wrong) < maxAddresses {
		return
	}
	var least netip.Addr
	most := -1.0
	for ad, li := range gu.wrong {
		left := li.TokensAt(now)
		if left >= wrongBurst {
			delete(gu.wrong, ad)
			continue
		}
		if left > most {
			least, most = ad, left
		}
	}
	if len(gu.wrong) >= maxAddresses {
		delete(gu.wrong, least)
	}
}

// Require fails with a DeniedError unless the operator has the role.
func (op Operator) Require(ro Role) error {
	if ro == RoleChange && !op.MayChange() {
		return &DeniedError{Reason: ReasonRole}
	}
	return nil
}

// String names the operator and the role for logs.
func (op Operator) String() string { return fmt.Sprintf("%s (%s)", op.Name, op.Role) }
