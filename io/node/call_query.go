package node

import (
	"context"

	"lynxfold/core/wire"
)

// MissingVerdictError reports a gate that answers a query with a frame other than a
// verdict.
type MissingVerdictError struct{}

func (er *MissingVerdictError) Error() string { return "gate answered the query without a verdict" }

// Query queries the gate at an address for the outcome of an attempt. It dials a new
// connection, because the idle ones may have failed along with the attempt's own.
func (cp *CallPool) Query(ctx context.Context, address string, qu *wire.Query) (*wire.Verdict, error) {
	cc, err := cp.acquireNew(ctx, address)
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
	ve, err := cc.query(qu)
	ex.finish(err == nil)
	return ve, err
}

func (cc *callConn) query(qu *wire.Query) (*wire.Verdict, error) {
	err := cc.writeFrame(&wire.Frame{
		Kind: &wire.Frame_Query{
			Query: qu,
		},
	})
	if err != nil {
		return nil, err
	}
	fr, err := cc.readNonHeartbeat()
	if err != nil {
		return nil, err
	}
	if fr.GetVerdict() == nil {
		return nil, &MissingVerdictError{}
	}
	return fr.GetVerdict(), nil
}
