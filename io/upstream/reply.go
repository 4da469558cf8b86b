// Package upstream speaks to the backend server on this host: it takes its
// announcements and passes calls to it through the host's gate.
package upstream

import (
	"io"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// Reply is how an attempt ended at a gate: a response or a refusal.
type Reply struct {
	Response *wire.Response
	// Body follows a response whose body is not in it; it must be closed.
	Body    io.ReadCloser
	Refusal *wire.Refusal
	// Lost says that the lane of the attempt ended or went silent after the
	// attempt was written to it, in whole or in part; the others are nil then.
	Lost bool
	// Detail is what failed on the way to the gate, for logs; empty when nothing did.
	Detail string
}

// Refuse builds a reply without a response.
func Refuse(re host.Reason, notRun bool) Reply {
	return Reply{
		Refusal: &wire.Refusal{
			Reason: string(re),
			NotRun: notRun,
		},
	}
}
