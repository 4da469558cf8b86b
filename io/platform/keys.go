package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/host"
)

// CallKey identifies a keyed call: the idempotency key within its scope.
type CallKey string

// RequestDigest identifies the content of a keyed call's request.
type RequestDigest string

// KeyState is how far a keyed call has come.
type KeyState string

// States of a keyed call.
const (
	// KeyClaimed: an attempt may run.
	KeyClaimed KeyState = "claimed"
	// KeyFinished: the answer is kept with the row.
	KeyFinished KeyState = "finished"
	// KeyGivenUp: no attempt up to here has run, nor ever will.
	KeyGivenUp KeyState = "given_up"
)

// prefixKeyed holds one row for each keyed call.
const prefixKeyed Key = "calls/"

// KeyRecord is the row of one keyed call.
type KeyRecord struct {
	Key     CallKey        `json:"key"`
	State   KeyState       `json:"state"`
	Request RequestDigest  `json:"request"`
	Attempt host.AttemptID `json:"attempt"`
	// Gate is the host whose gate the attempt is addressed to, and Incarnation its process.
	Gate        host.ID          `json:"gate,omitempty"`
	Incarnation host.Incarnation `json:"incarnation,omitempty"`
	ChangedAt   time.Time        `json:"changed_at"`
	// Answer is opaque; it is set once the call has finished.
	Answer []byte `json:"answer,omitempty"`
	// ETag is the state of the row that the record was read from.
	ETag ETag `json:"-"`
}

// Keys stores the rows of keyed calls. All its conditions rest on the table's
// conditional writes: a write that arrives late finds the row changed and fails.
type Keys struct {
	client Store
}

// NewKeys builds the store of keyed calls over a client.
func NewKeys(cl Store) *Keys { return &Keys{client: cl} }

// rowOf keeps any key within the alphabet and length of row names.
func rowOf(ck CallKey) Key {
	sum := sha256.Sum256([]byte(ck))
	return prefixKeyed + Key(hex.EncodeToString(sum[:]))
}

// Read reads the record of a keyed call. It fails with a NotFoundError or an
// UnavailableError.
func (ks *Keys) Read(ctx context.Context, ck CallKey) (KeyRecord, error) {
	ro, err := ks.client.Read(ctx, rowOf(ck))
	if err != nil {
		return KeyRecord{}, err
	}
	re := KeyRecord{}
	if err := json.Unmarshal(ro.Value, &re); err != nil {
		return KeyRecord{}, &UnavailableError{Doing: "read keyed call", Err: err}
	}
	if re.Key != ck {
		return KeyRecord{}, &UnavailableError{Doing: "read keyed call", Err: &KeyRowError{Key: ck}}
	}
	re.ETag = ro.ETag
	return re, nil
}

// Claim stores the record as claimed. With an empty ETag it creates the row;
// with the ETag of a record that was given up it replaces that one. It fails
// with a ConflictError when another record is there (Read tells which), with an
// UnavailableError when nothing was written, and with an InDoubtError when the
// write may still arrive: then only GiveUp makes certain that it never does.
func (ks *Keys) Claim(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	re.State = KeyClaimed
	re.Answer = nil
	return ks.put(ctx, re)
}

// Finish keeps the answer with a claimed record; repeating it is harmless. It
// fails with a ConflictError when the record has changed since it was read.
func (ks *Keys) Finish(ctx context.Context, re KeyRecord, answer []byte) (KeyRecord, error) {
	if re.ETag == "" {
		return KeyRecord{}, &KeyRowError{Key: re.Key}
	}
	re.State = KeyFinished
	re.Answer = answer
	return ks.put(ctx, re)
}

// GiveUp replaces what is there, as the record's ETag says (empty: no row), by
// a row that makes every earlier write fail that is still on its way. After a
// success it is certain that the attempt was not and will not be claimed. It
// fails with a ConflictError when another state is there.
func (ks *Keys) GiveUp(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	re.State = KeyGivenUp
	re.Answer = nil
	return ks.put(ctx, re)
}

// put writes the record under the condition of its ETag and resolves a lost
// reply by reading.
func (ks *Keys) put(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	key := rowOf(re.Key)
	etags, err := ks.client.Transact(ctx, []Write{{
		Key:      key,
		Value:    mustJSON(re),
		IfMatch:  re.ETag,
		IfAbsent: re.ETag == "",
	}})
	if err == nil {
		re.ETag = etags[0]
		return re, nil
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return KeyRecord{}, err
	}
	found, readErr := ks.Read(ctx, re.Key)
	switch {
	case readErr != nil:
		return KeyRecord{}, err
	case found.same(re):
		return found, nil
	case found.ETag != re.ETag:
		return KeyRecord{}, &ConflictError{Key: key}
	}
	return KeyRecord{}, err
}

// same tells whether a record that was read is the one that was written.
func (re KeyRecord) same(other KeyRecord) bool {
	return re.State == other.State && re.Attempt == other.Attempt && re.Request == other.Request &&
		re.ChangedAt.Equal(other.ChangedAt)
}

// KeyRowError reports a keyed call whose row can't be used as asked.
type KeyRowError struct {
	Key CallKey
}

func (er *KeyRowError) Error() string { return fmt.Sprintf("keyed call %q: unusable row", er.Key) }
