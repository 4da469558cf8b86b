package node

import (
	"context"

	"lynxfold/core/wire"
)

// VerdictError reports a gate that answers a query with something else.
type VerdictError struct{}

func (er *VerdictError) Error() string { return "gate gave no verdict" }

// Ask asks the gate at an address what became of an attempt. It takes a new
// lane, because the kept ones may have gone silent like the attempt's own.
func (ls *Lanes) Ask(ctx context.Context, address string, qu *wire.Query) (*wire.Verdict, error) {
	la, err := ls.takeNew(ctx, address)
	if err != nil {
		return nil, err
	}
	pa := &passage{
		lanes:   ls,
		ctx:     ctx,
		address: address,
		lane:    la,
	}
	pa.stopOnDone()
	ve, err := la.ask(qu)
	pa.end(err == nil)
	return ve, err
}

func (la *lane) ask(qu *wire.Query) (*wire.Verdict, error) {
	err := la.write(&wire.Frame{
		Kind: &wire.Frame_Query{
			Query: qu,
		},
	})
	if err != nil {
		return nil, err
	}
	fr, err := la.readAlive()
	if err != nil {
		return nil, err
	}
	if fr.GetVerdict() == nil {
		return nil, &VerdictError{}
	}
	return fr.GetVerdict(), nil
}
