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

// writesPerKeyedCall is what a keyed call writes when nothing fails: its claim and
// its end.
const writesPerKeyedCall = 2

// writeBudget grants claims within this node's share of the fleet's writes.
type writeBudget struct {
	limiter *rate.Limiter
}

// newWriteBudget takes the node's share in writes a second.
func newWriteBudget(perSecond float64) *writeBudget {
	burst := max(writesPerKeyedCall*writesPerKeyedCall, int(math.Ceil(perSecond)))
	return &writeBudget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Spend takes the writes of one keyed call, or reports that too few are left.
func (wb *writeBudget) Spend(now time.Time) bool { return wb.limiter.AllowN(now, writesPerKeyedCall) }

// Statuses of states of rows.
var rowStates = map[platform.KeyState]keyed.RowState{
	platform.KeyClaimed:  keyed.RowClaimed,
	platform.KeyFinished: keyed.RowFinished,
	platform.KeyGivenUp:  keyed.RowTombstone,
}

// runRowOperation runs an operation on the key's row.
func (ke *keyedCall) runRowOperation(ac keyed.Action) {
	switch ac := ac.(type) {
	case keyed.ReadRow:
		ke.runAsync(func() keyed.Event { return ke.readRow(ac.Op, keyed.RowDone) })
	case keyed.CreateRow:
		ke.runAsync(func() keyed.Event { return ke.writeRow(ac.Op, ac.Row, "") })
	case keyed.UpdateRow:
		ke.runAsync(func() keyed.Event { return ke.writeRow(ac.Op, ac.Row, ac.ETag) })
	}
}

// readRow reads the row; found is the status when it is there.
func (ke *keyedCall) readRow(op keyed.Op, found keyed.RowStatus) keyed.Event {
	re, err := ke.exchange.server.cfg.Keys.Read(ke.context, ke.key)
	var absent *platform.NotFoundError
	switch {
	case err == nil:
		return ke.rowResult(op, found, re)
	case errors.As(err, &absent):
		return keyed.RowResult{
			Op:     op,
			Status: keyed.RowAbsent,
		}
	}
	return keyed.RowResult{
		Op:     op,
		Status: keyed.RowFailed,
	}
}

// rowResult notes the record as last seen. Only one operation runs at a time.
func (ke *keyedCall) rowResult(op keyed.Op, status keyed.RowStatus, re platform.KeyRecord) keyed.Event {
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

// writeRow writes a row over the one that a tag names, or a new one.
func (ke *keyedCall) writeRow(op keyed.Op, ro keyed.Row, tag keyed.ETag) keyed.Event {
	re, err := ke.putRow(ke.context, ro, platform.KeyRecord{
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
		return ke.rowResult(op, keyed.RowDone, re)
	case errors.As(err, &conflict):
		return ke.readRow(op, keyed.RowConflict)
	case errors.As(err, &unavailable):
		return keyed.RowResult{
			Op:     op,
			Status: keyed.RowFailed,
		}
	}
	return keyed.RowResult{
		Op:     op,
		Status: keyed.RowInDoubt,
	}
}

func (ke *keyedCall) putRow(ctx context.Context, ro keyed.Row, re platform.KeyRecord) (platform.KeyRecord, error) {
	ks := ke.exchange.server.cfg.Keys
	switch ro.State {
	case keyed.RowFinished:
		return ks.Finish(ctx, re, ke.encodedAnswer(ro))
	case keyed.RowTombstone:
		return ks.GiveUp(ctx, re)
	case keyed.RowClaimed:
	}
	return ks.Claim(ctx, re)
}

// encodedAnswer is the answer of a row's attempt as it is kept; nil when it is long.
func (ke *keyedCall) encodedAnswer(ro keyed.Row) []byte {
	at := ke.exchange.findAttempt(ro.Attempt)
	if at == nil || !at.reply.Response.GetComplete() || len(at.reply.Response.GetBody()) > maxStoredAnswerBytes {
		return nil
	}
	data, err := proto.Marshal(at.reply.Response)
	if err != nil {
		return nil // the caller has the answer; a repeat is told that it is lost
	}
	return data
}
