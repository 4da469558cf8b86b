// Package upstream connects to the backend server on this host. It receives the
// server's announcements and forwards calls to it through the host's gate, which
// does admission control.
package upstream

import (
	"io"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Reply is the result of an attempt at a gate: a response or a refusal.
type Reply struct {
	Response *wire.Response
	// Body streams the response body when it is not in Response; it must be closed.
	Body    io.ReadCloser
	Refusal *wire.Refusal
	// LinkLost reports that the connection that carried the attempt closed or timed
	// out after at least part of the attempt was written; Response, Body and Refusal
	// are nil then.
	LinkLost bool
	// Pending is not nil if nothing has arrived on the attempt's connection for some time,
	// which is still open; Response, Body and Refusal are nil then.
	Pending PendingReply
	// Detail describes, for logs, a failure between the caller and the gate; empty
	// when there was none.
	Detail string
}

// PendingReply is a reply that may still come on a silent connection.
type PendingReply interface {
	// Await returns the reply, or one with LinkLost set. It returns early when the attempt's
	// context ends.
	Await() Reply
	// Abandon closes the connection, as if it had been lost, and returns a reply with
	// LinkLost set. Either Await or Abandon must be called, once.
	Abandon() Reply
}

// RefusalReply returns a reply with a refusal; notRun reports that the request
// was not run and will not run.
func RefusalReply(re host.Reason, notRun bool) Reply {
	return Reply{
		Refusal: &wire.Refusal{
			Reason: string(re),
			NotRun: notRun,
		},
	}
}

// Load returns the load of the gate that the reply is from, nil if there is none.
func (re Reply) Load() *wire.GateLoad {
	if re.Refusal != nil {
		return re.Refusal.GetLoad()
	}
	return re.Response.GetLoad()
}
