package node

import (
	"context"
	"time"

	"lynxfold/core/wire"
)

// rolloutReplyTimeout limits the time to write the answer to a report.
const rolloutReplyTimeout = time.Second

// MissingRolloutReplyError reports a node that answers a report about a roll-out with
// another frame.
type MissingRolloutReplyError struct{}

func (er *MissingRolloutReplyError) Error() string {
	return "node answered the report about a roll-out without a reply"
}

// ReportRollout sends a report about a roll-out to the node at an address and returns its
// reply.
func (cp *CallPool) ReportRollout(ctx context.Context, address string, rr *wire.RolloutReport) (*wire.RolloutReply, error) {
	cc, err := cp.acquire(ctx, address)
	if err != nil {
		return nil, err
	}
	ex := &exchange{
		pool:    cp,
		ctx:     ctx,
		address: address,
		conn:    cc,
	}
	ex.cancelOnDone()
	reply, err := cc.reportRollout(rr)
	ex.finish(err == nil)
	return reply, err
}

func (cc *callConn) reportRollout(rr *wire.RolloutReport) (*wire.RolloutReply, error) {
	err := cc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_RolloutReport{
			RolloutReport: rr,
		},
	})
	if err != nil {
		return nil, err
	}
	fr, err := cc.readNonHeartbeat()
	if err != nil {
		return nil, err
	}
	if fr.GetRolloutReply() == nil {
		return nil, &MissingRolloutReplyError{}
	}
	return fr.GetRolloutReply(), nil
}

// serveRolloutReport answers one report; a node without roll-outs declines it.
func (sc *serverConn) serveRolloutReport(ac *activeCall, rr *wire.RolloutReport) {
	defer ac.cancel(nil)
	sc.setWriteDeadline(rolloutReplyTimeout.Microseconds())
	reply := &wire.RolloutReply{Declined: true}
	if sc.OnRolloutReport != nil {
		reply = sc.OnRolloutReport(rr)
	}
	sc.freeConn()
	sc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_RolloutReply{
			RolloutReply: reply,
		},
	})
}
