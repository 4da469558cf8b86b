package caller

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"lynxfold/core/host"
)

// bodyStepBytes is how much room is taken at first for a body whose length is unknown; it is
// doubled when it is full.
const bodyStepBytes = 32 << 10

// passOnBy returns the latest time at which a request may be passed on so that it is
// expected to be answered before the node stops. The zero time means always.
func (ex *exchange) passOnBy() time.Time {
	by := ex.server.drainDeadline.Load()
	if by == nil || ex.deadline.Before(*by) {
		return time.Time{}
	}
	expected := ex.server.expectedLatency(ex.target)
	return by.Add(-expected - expected/2)
}

// receiveBy returns the time by which the body of the request must have arrived.
func (ex *exchange) receiveBy() time.Time {
	if by := ex.passOnBy(); !by.IsZero() {
		return by
	}
	return ex.deadline
}

// refuseLate refuses a request that can't be answered before the node stops, and reports
// whether it did. Its caller can go to another node, as it has not run.
func (ex *exchange) refuseLate() bool {
	if by := ex.passOnBy(); by.IsZero() || time.Now().Before(by) {
		return false
	}
	ex.server.refuseDraining(ex.httpCtx)
	ex.closeIfUnread()
	return true
}

// refuseDraining refuses a request because the node drains. Its caller can go to another node
// at once.
func (sv *Server) refuseDraining(ctx *fasthttp.RequestCtx) {
	re := notRunResult(host.ReasonDraining)
	re.RetryAfter = time.Now()
	sv.refuseEarly(ctx, fasthttp.StatusServiceUnavailable, re)
}

// receiveBody buffers a long body before the request is passed on. While the node drains, a
// body that keeps an upstream waiting may not be complete in time. It returns false if the
// request has already been answered.
func (ex *exchange) receiveBody(bo *streamedBody) bool {
	buffers := ex.server.cfg.Buffers
	var data []byte
	for {
		if len(data) == cap(data) {
			step := max(bodyStepBytes, cap(data))
			if bo.length >= 0 {
				step = int(bo.length) + 1 // room to see the end of the body
			}
			if !buffers.Take(int64(step)) {
				buffers.Give(int64(cap(data)))
				ex.refuseUnread(fasthttp.StatusServiceUnavailable, ReasonTooManyBodies)
				return false
			}
			data = append(make([]byte, 0, cap(data)+step), data...)
		}
		n, err := bo.receive(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			buffers.Give(int64(cap(data) - len(data)))
			ex.bufferedBody = data
			return true
		}
		if err != nil {
			buffers.Give(int64(cap(data)))
			ex.refuseIncomplete(incompleteBodyReason(err))
			return false
		}
	}
}

// isLateBody reports whether a body was not received in time because the node stops.
func (ex *exchange) isLateBody(re host.Reason) bool {
	return re == ReasonRequestTimeout && !ex.passOnBy().IsZero()
}
