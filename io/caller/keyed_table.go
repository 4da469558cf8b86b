package caller

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"lynxfold/core/call/keyed"
	"lynxfold/core/datacentre"
	"lynxfold/io/platform"
)

// writesPerKeyedCall is the number of writes of a keyed call that succeeds: the
// claim and the result.
const writesPerKeyedCall = 2

// writeBudget limits new claims to this node's share of the table writes.
type writeBudget struct {
	limiter *rate.Limiter
}

// newWriteBudget returns a budget that is refilled with perSecond writes a second.
func newWriteBudget(perSecond float64) *writeBudget {
	burst := max(writesPerKeyedCall*writesPerKeyedCall, int(math.Ceil(perSecond)))
	return &writeBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Spend takes the writes of one keyed call from the budget and reports whether
// there were enough.
func (wb *writeBudget) Spend(now time.Time) bool { return wb.limiter.AllowN(now, writesPerKeyedCall) }

// rowStates maps the states of the platform's rows to those of package keyed.
var rowStates = map[platform.KeyedCallState]keyed.RowState{
	platform.KeyedCallClaimed:   keyed.RowClaimed,
	platform.KeyedCallFinished:  keyed.RowFinished,
	platform.KeyedCallTombstone: keyed.RowTombstone,
}

// runRowOperation starts an operation on the key's row.
func (ke *keyedCall) runRowOperation(ac keyed.Action) {
	switch ac := ac.(type) {
	case keyed.ReadRow:
		ke.runAsync(func() keyed.Event { return ke.readRow(ac.Op, keyed.OpDone) })
	case keyed.CreateRow:
		ke.runAsync(func() keyed.Event { return ke.writeRow(ac.Op, ac.Row, "") })
	case keyed.UpdateRow:
		ke.runAsync(func() keyed.Event { return ke.writeRow(ac.Op, ac.Row, ac.ETag) })
	}
}

// readRow reads the row. If there is one, found is the status of the result.
func (ke *keyedCall) readRow(op keyed.Op, found keyed.OpStatus) keyed.Event {
	re, err := ke.exchange.server.cfg.KeyStore.Read(ke.context, ke.key)
	var absent *platform.NotFoundError
	switch {
	case err == nil:
		return ke.rowResult(op, found, re)
	case errors.As(err, &absent):
		return keyed.RowResult{
			Op:     op,
			Status: keyed.OpAbsent,
		}
	}
	return keyed.RowResult{
		Op:     op,
		Status: keyed.OpFailed,
	}
}

// rowResult returns the result of an operation and stores the row in ke.record,
// which needs no lock since only one operation runs at a time.
func (ke *keyedCall) rowResult(op keyed.Op, status keyed.OpStatus, re platform.KeyedCallRecord) keyed.Event {
	ke.record = re
	return keyed.RowResult{
		Op:     op,
		Status: status,
		Row: keyed.Row{
			State:   rowStates[re.State],
			Attempt: re.Attempt,
			Upstream: datacentre.Upstream{
				Host:        re.Gate,
				Incarnation: re.Incarnation,
				Service:     ke.exchange.target.Route.Service,
			},
			Digest:    keyed.Digest(re.Request),
			HasAnswer: len(re.Answer) > 0,
		},
		ETag: keyed.ETag(re.ETag),
	}
}

// writeRow replaces the row with the given ETag, or creates it if the ETag is
// empty.
func (ke *keyedCall) writeRow(op keyed.Op, ro keyed.Row, tag keyed.ETag) keyed.Event {
	re, err := ke.putRow(ke.context, ro, platform.KeyedCallRecord{
		Key:         ke.key,
		Request:     platform.RequestDigest(ro.Digest),
		Attempt:     ro.Attempt,
		Gate:        ro.Upstream.Host,
		Incarnation: ro.Upstream.Incarnation,
		ChangedAt:   time.Now().UTC(),
		ETag:        platform.ETag(tag),
	})
	ke.exchange.server.cfg.Counters.countRowWrite(ro.State, err)
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		return ke.rowResult(op, keyed.OpDone, re)
	case errors.As(err, &conflict):
		return ke.readRow(op, keyed.OpConflict)
	case errors.As(err, &unavailable):
		return keyed.RowResult{
			Op:     op,
			Status: keyed.OpFailed,
		}
	}
	return keyed.RowResult{
		Op:     op,
		Status: keyed.OpInDoubt,
	}
}

func (ke *keyedCall) putRow(ctx context.Context, ro keyed.Row, re platform.KeyedCallRecord) (platform.KeyedCallRecord, error) {
	ks := ke.exchange.server.cfg.KeyStore
	switch ro.State {
	case keyed.RowFinished:
		return ks.Finish(ctx, re, ke.encodedAnswer(ro))
	case keyed.RowTombstone:
		return ks.WriteTombstone(ctx, re)
	case keyed.RowClaimed:
	}
	return ks.Claim(ctx, re)
}

// encodedAnswer returns the response of the row's attempt in its stored form, or
// nil if it is incomplete or too long to store.
func (ke *keyedCall) encodedAnswer(ro keyed.Row) []byte {
	at := ke.exchange.findAttempt(ro.Attempt)
	if at == nil || !at.reply.Response.GetComplete() || len(at.reply.Response.GetBody()) > maxStoredAnswerBytes {
		return nil
	}
	data, err := proto.Marshal(at.reply.Response)
	if err != nil {
		return nil // the caller gets the answer; repeats get ReasonAnswerLost
	}
	return data
}
