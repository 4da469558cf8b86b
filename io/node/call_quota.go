package node

import (
	"context"
	"time"

	"lynxfold/core/wire"
)

// QuotaKeeper answers the requests of other hosts for the tokens of customers.
type QuotaKeeper interface {
	// Take answers a request. It must not block.
	Take(rq *wire.QuotaRequest) *wire.QuotaReply
}

// MissingQuotaReplyError reports a node that answers a quota request with another frame.
type MissingQuotaReplyError struct{}

func (er *MissingQuotaReplyError) Error() string {
	return "node answered the quota request without a reply"
}

// AskQuota asks the node at an address for tokens, on a pooled connection if there is one.
// It needs no goroutine or timer unless it must dial.
func (cp *CallPool) AskQuota(address string, rq *wire.QuotaRequest, timeout time.Duration) (*wire.QuotaReply, error) {
	deadline := time.Now().Add(timeout)
	cc, err := cp.reserve(address)
	if err != nil {
		return nil, err
	}
	if cc == nil {
		if cc, err = cp.dialBefore(address, deadline); err != nil {
			return nil, err
		}
	}
	re, err := cc.askQuota(rq, deadline)
	if err == nil {
		err = cc.co.SetDeadline(time.Time{})
	}
	cp.release(address, cc, err == nil)
	return re, err
}

func (cp *CallPool) dialBefore(address string, deadline time.Time) (*callConn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return cp.dial(ctx, address)
}

func (cc *callConn) askQuota(rq *wire.QuotaRequest, deadline time.Time) (*wire.QuotaReply, error) {
	if err := cc.co.SetWriteDeadline(deadline); err != nil {
		return nil, err
	}
	err := cc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_QuotaRequest{
			QuotaRequest: rq,
		},
	})
	if err != nil {
		return nil, err
	}
	fr, err := cc.readFrameWithin(time.Until(deadline))
	if err != nil {
		return nil, err
	}
	if fr.GetQuotaReply() == nil {
		return nil, &MissingQuotaReplyError{}
	}
	return fr.GetQuotaReply(), nil
}

// quotaWriteTimeout limits the time to write a quota reply.
const quotaWriteTimeout = time.Second

// serveQuota answers a quota request on the goroutine that reads the connection. It returns
// false if the connection can't be used any more.
func (sc *serverConn) serveQuota(rq *wire.QuotaRequest) bool {
	sc.mu.Lock()
	busy := sc.current != nil || sc.pendingBody != nil
	sc.mu.Unlock()
	if busy {
		return false
	}
	re := &wire.QuotaReply{Declined: true}
	if sc.Quotas != nil {
		re = sc.Quotas.Take(rq)
	}
	_ = sc.conn.co.SetWriteDeadline(time.Now().Add(quotaWriteTimeout))
	return sc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_QuotaReply{
			QuotaReply: re,
		},
	})
}
