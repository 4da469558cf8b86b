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

// CallKey identifies a keyed call, that is a call with an idempotency key. It consists
// of the service and the idempotency key.
type CallKey string

// RequestDigest is a digest of the request of a keyed call.
type RequestDigest string

// KeyedCallState is the state of a keyed call in the table.
type KeyedCallState string

// States of a keyed call.
const (
	// KeyedCallClaimed means that an attempt may be running.
	KeyedCallClaimed KeyedCallState = "claimed"
	// KeyedCallFinished means that the call has ended and the row holds its response.
	KeyedCallFinished KeyedCallState = "finished"
	// KeyedCallTombstone marks a tombstone: no earlier attempt has run or ever will, and
	// a new one may replace the tombstone by its claim.
	KeyedCallTombstone KeyedCallState = "given_up"
)

// keyedCallPrefix is the prefix of the keyed call rows, one for each call.
const keyedCallPrefix Key = "calls/"

// KeyedCallRecord is the row of a keyed call.
type KeyedCallRecord struct {
	Key     CallKey        `json:"key"`
	State   KeyedCallState `json:"state"`
	Request RequestDigest  `json:"request"`
	Attempt host.AttemptID `json:"attempt"`
	// Gate is the host whose gate the attempt is sent to; Incarnation is that of the
	// host's process.
	Gate        host.ID          `json:"gate,omitempty"`
	Incarnation host.Incarnation `json:"incarnation,omitempty"`
	ChangedAt   time.Time        `json:"changed_at"`
	// Answer is the encoded response, which this package does not interpret; it is set
	// once the call has finished.
	Answer []byte `json:"answer,omitempty"`
	// ETag is that of the row that the record was read from or written to.
	ETag ETag `json:"-"`
}

// KeyedCalls stores the rows of keyed calls. Each write depends on the ETag or the
// absence of the row, so that a delayed write fails if the row has changed meanwhile.
type KeyedCalls struct {
	client Store
}

// NewKeyedCalls returns the store of keyed calls on top of a Store.
func NewKeyedCalls(cl Store) *KeyedCalls { return &KeyedCalls{client: cl} }

// keyedCallRowKey returns the key of a call's row. It hashes the call's key, since row
// keys are limited in their characters and length.
func keyedCallRowKey(ck CallKey) Key {
	sum := sha256.Sum256([]byte(ck))
	return keyedCallPrefix + Key(hex.EncodeToString(sum[:]))
}

// Read reads the record of a keyed call. It fails with a NotFoundError or an
// UnavailableError.
func (ks *KeyedCalls) Read(ctx context.Context, ck CallKey) (KeyedCallRecord, error) {
	ro, err := ks.client.Read(ctx, keyedCallRowKey(ck))
	if err != nil {
		return KeyedCallRecord{}, err
	}
	re := KeyedCallRecord{}
	if err := json.Unmarshal(ro.Value, &re); err != nil {
		return KeyedCallRecord{}, &UnavailableError{Op: "read keyed call", Err: err}
	}
	if re.Key != ck {
		return KeyedCallRecord{}, &UnavailableError{Op: "read keyed call", Err: &KeyedCallRowError{Key: ck}}
	}
	re.ETag = ro.ETag
	return re, nil
}

// Claim stores the record as claimed. With an empty ETag it creates the row; with
// the ETag of a tombstone it replaces the tombstone. It fails with a ConflictError
// if another record exists (Read returns it), with an UnavailableError if nothing
// was written, and with an InDoubtError if the write may still be applied; a
// successful WriteTombstone then rules that out.
func (ks *KeyedCalls) Claim(ctx context.Context, re KeyedCallRecord) (KeyedCallRecord, error) {
	re.State = KeyedCallClaimed
	re.Answer = nil
	return ks.put(ctx, re)
}

// Finish stores the response of a claimed call; it is idempotent. It fails with
// a ConflictError if the record has changed since it was read.
func (ks *KeyedCalls) Finish(ctx context.Context, re KeyedCallRecord, answer []byte) (KeyedCallRecord, error) {
	if re.ETag == "" {
		return KeyedCallRecord{}, &KeyedCallRowError{Key: re.Key}
	}
	re.State = KeyedCallFinished
	re.Answer = answer
	return ks.put(ctx, re)
}

// WriteTombstone replaces the row by a tombstone if it has the record's ETag, or creates
// a tombstone if the ETag is empty. Earlier writes that are still delayed then fail:
// once the tombstone is written, the attempt is not claimed and never will be. It fails
// with a ConflictError if the row has another ETag.
func (ks *KeyedCalls) WriteTombstone(ctx context.Context, re KeyedCallRecord) (KeyedCallRecord, error) {
	re.State = KeyedCallTombstone
	re.Answer = nil
	return ks.put(ctx, re)
}

// put writes the record if the row still has the record's ETag. If the write is in
// doubt or in conflict, put reads the row to find out whether the write was applied.
func (ks *KeyedCalls) put(ctx context.Context, re KeyedCallRecord) (KeyedCallRecord, error) {
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
		return KeyedCallRecord{}, err
	}
	found, readErr := ks.Read(ctx, re.Key)
	switch {
	case readErr != nil:
		return KeyedCallRecord{}, err
	case found.isSameWrite(re):
		return found, nil
	case found.ETag != re.ETag:
		return KeyedCallRecord{}, &ConflictError{Key: key}
	}
	return KeyedCallRecord{}, err
}

// isSameWrite reports whether the record that was read results from writing other.
func (re KeyedCallRecord) isSameWrite(other KeyedCallRecord) bool {
	return re.State == other.State && re.Attempt == other.Attempt && re.Request == other.Request &&
		re.ChangedAt.Equal(other.ChangedAt)
}

// KeyedCallRowError reports a row that belongs to another keyed call, or a record
// without the ETag of a row.
type KeyedCallRowError struct {
	Key CallKey
}

func (er *KeyedCallRowError) Error() string {
	return fmt.Sprintf("keyed call %q: row belongs to another call, or its ETag is missing", er.Key)
}
