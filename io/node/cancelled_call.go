package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// CancelCause is why a call from another node was cancelled before its answer was sent.
type CancelCause string

// Causes of cancelled calls.
const (
	// CancelledByIngress: the other node has cancelled the call.
	CancelledByIngress CancelCause = "ingress"
	// CancelledByLoss: the connection of the call was lost.
	CancelledByLoss CancelCause = "link_lost"
	// CancelledByShutdown: this node ends.
	CancelledByShutdown CancelCause = "shutdown"
)

// CancelError is the cause of a cancelled call's context.
type CancelError struct {
	Cause CancelCause
	// Err is why the connection was lost; nil for other causes.
	Err error
}

func (er *CancelError) Error() string {
	if er.Err != nil {
		return string(er.Cause) + ": " + er.Err.Error()
	}
	return string(er.Cause)
}

// Unwrap returns the error for which the connection was lost.
func (er *CancelError) Unwrap() error { return er.Err }

// CancelledCall reports a call from another node that was cancelled before its answer was
// sent.
type CancelledCall struct {
	Attempt  host.AttemptID
	Request  host.RequestID
	Duration time.Duration
	Cause    CancelCause
	// Err is why the connection was lost; nil for other causes.
	Err error
}

// reportCancelled reports a call that has ended if it was cancelled.
func (sc *serverConn) reportCancelled(ac *activeCall, rq *wire.Request, begun time.Time) {
	var er *CancelError
	if !errors.As(context.Cause(ac.ctx), &er) {
		return
	}
	if er.Cause == CancelledByShutdown {
		sc.cutCalls.Add(1)
	}
	if sc.OnCancelled == nil {
		return
	}
	sc.OnCancelled(CancelledCall{
		Attempt:  host.AttemptID(rq.GetAttempt()),
		Request:  host.RequestID(rq.GetRequestId()),
		Duration: time.Since(begun),
		Cause:    er.Cause,
		Err:      er.Err,
	})
}
