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

// CallKey identifies a keyed call, that is a call with an idempotency key. It is the
// idempotency key within its scope.
type CallKey string

// RequestDigest identifies the content of the request of a keyed call.
type RequestDigest string

// KeyState is the state of a keyed call in the table.
type KeyState string

// States of a keyed call.
const (
	// KeyClaimed means that an attempt may be running.
	KeyClaimed KeyState = "claimed"
	// KeyFinished means that the call has ended and the row holds its response.
	KeyFinished KeyState = "finished"
	// KeyGivenUp marks a tombstone: no attempt so far has run or ever will.
	KeyGivenUp KeyState = "given_up"
)

// keyedCallPrefix is the prefix of the keyed call rows, one for each call.
const keyedCallPrefix Key = "calls/"

// KeyRecord is the row of a keyed call.
type KeyRecord struct {
	Key     CallKey        `json:"key"`
	State   KeyState       `json:"state"`
	Request RequestDigest  `json:"request"`
	Attempt host.AttemptID `json:"attempt"`
	// Gate is the host whose gate the attempt is sent to, Incarnation the incarnation
	// of its process.
	Gate        host.ID          `json:"gate,omitempty"`
	Incarnation host.Incarnation `json:"incarnation,omitempty"`
	ChangedAt   time.Time        `json:"changed_at"`
	// Answer is the encoded response, opaque here; it is set once the call has
	// finished.
	Answer []byte `json:"answer,omitempty"`
	// ETag is that of the row that the record was read from or written to.
	ETag ETag `json:"-"`
}

// Keys stores the rows of keyed calls. It relies on the table's conditional writes:
// a delayed write finds the row changed and fails.
type Keys struct {
	client Store
}

// NewKeys returns the store of keyed calls on top of a Store.
func NewKeys(cl Store) *Keys { return &Keys{client: cl} }

// keyedCallRowKey hashes the call's key, so that any key fits the alphabet and the
// length of row keys.
func keyedCallRowKey(ck CallKey) Key {
	sum := sha256.Sum256([]byte(ck))
	return keyedCallPrefix + Key(hex.EncodeToString(sum[:]))
}

// Read reads the record of a keyed call. It fails with a NotFoundError or an
// UnavailableError.
func (ks *Keys) Read(ctx context.Context, ck CallKey) (KeyRecord, error) {
	ro, err := ks.client.Read(ctx, keyedCallRowKey(ck))
	if err != nil {
		return KeyRecord{}, err
	}
	re := KeyRecord{}
	if err := json.Unmarshal(ro.Value, &re); err != nil {
		return KeyRecord{}, &UnavailableError{Doing: "read keyed call", Err: err}
	}
	if re.Key != ck {
		return KeyRecord{}, &UnavailableError{Doing: "read keyed call", Err: &KeyedCallRowError{Key: ck}}
	}
	re.ETag = ro.ETag
	return re, nil
}

// Claim stores the record as claimed. With an empty ETag it creates the row; with
// the ETag of a tombstone it replaces the tombstone. It fails with a ConflictError
// if another record exists (Read returns it), with an UnavailableError if nothing
// was written, and with an InDoubtError if the write may still be applied; only
// GiveUp then ensures that it never is.
func (ks *Keys) Claim(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	re.State = KeyClaimed
	re.Answer = nil
	return ks.put(ctx, re)
}

// Finish stores the response with a claimed record; it is idempotent. It fails with
// a ConflictError if the record has changed since it was read.
func (ks *Keys) Finish(ctx context.Context, re KeyRecord, answer []byte) (KeyRecord, error) {
	if re.ETag == "" {
		return KeyRecord{}, &KeyedCallRowError{Key: re.Key}
	}
	re.State = KeyFinished
	re.Answer = answer
	return ks.put(ctx, re)
}

// GiveUp writes a tombstone over the row with the record's ETag (empty: no row).
// The tombstone makes every earlier write that is still delayed fail: after a
// success the attempt is not claimed and never will be. It fails with a
// ConflictError if the row has another ETag.
func (ks *Keys) GiveUp(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	re.State = KeyGivenUp
	re.Answer = nil
	return ks.put(ctx, re)
}

// put writes the record on condition of its ETag. If the write is in doubt or in
// conflict, it reads the row to find out whether the write was applied.
func (ks *Keys) put(ctx context.Context, re KeyRecord) (KeyRecord, error) {
	key := keyedCallRowKey(re.Key)
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
	case found.isSameWrite(re):
		return found, nil
	case found.ETag != re.ETag:
		return KeyRecord{}, &ConflictError{Key: key}
	}
	return KeyRecord{}, err
}

// isSameWrite reports whether a record that was read is the one that was written.
func (re KeyRecord) isSameWrite(other KeyRecord) bool {
	return re.State == other.State && re.Attempt == other.Attempt && re.Request == other.Request &&
		re.ChangedAt.Equal(other.ChangedAt)
}

// KeyedCallRowError reports a row that belongs to another keyed call, or a record
// without the ETag of a row.
type KeyedCallRowError struct {
	Key CallKey
}

func (er *KeyedCallRowError) Error() string {
	return fmt.Sprintf("keyed call %q: unusable row", er.Key)
}
