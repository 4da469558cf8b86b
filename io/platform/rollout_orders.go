package platform

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"lynxfold/core/contract"
	"lynxfold/core/host"
	"lynxfold/core/rollout"
)

// maxOrders bounds the orders that are read.
const maxOrders = 1000

// ExternalOrdersError reports an order for a platform whose operators write orders to its
// store themselves.
type ExternalOrdersError struct{}

func (er *ExternalOrdersError) Error() string {
	return "orders of roll-outs are written to the platform's store and not accepted here"
}

// orderRow is the value of an order's row.
type orderRow struct {
	// Order increases with each order for the service.
	Order    rollout.OrderID `json:"order"`
	Release  host.Release    `json:"release"`
	WithinMS int64           `json:"within_ms"`
}

// Order stores an order, which replaces the one before for the service. Of two orders at
// once, the later write gets a ConflictError.
func (rs *Rollouts) Order(ctx context.Context, or Order) (Order, error) {
	prefix := rs.protocol.OrderPrefix()
	if prefix == "" {
		return Order{}, &UnavailableError{Op: "order roll-out", Err: &ExternalOrdersError{}}
	}
	write := Write{Key: prefix + Key(or.Service)}
	old := orderRow{}
	ro, err := rs.store.Read(ctx, write.Key)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		write.IfAbsent = true
	case err != nil:
		return Order{}, err
	default:
		write.IfMatch = ro.ETag
		if err := json.Unmarshal(ro.Value, &old); err != nil {
			return Order{}, &UnavailableError{Op: "read row " + string(write.Key), Err: err}
		}
	}
	or.ID = old.Order + 1
	write.Value = mustJSON(orderRow{
		Order:    or.ID,
		Release:  or.Release,
		WithinMS: or.Duration.Milliseconds(),
	})
	_, err = rs.store.Transact(ctx, []Write{write})
	return or, err
}

// Orders reads all orders; none if orders are not written through lynxfold. Rows that can't be
// read are left out.
func (rs *Rollouts) Orders(ctx context.Context) ([]Order, error) {
	prefix := rs.protocol.OrderPrefix()
	if prefix == "" {
		return nil, nil
	}
	rows, err := rs.store.List(ctx, prefix, "", maxOrders)
	if err != nil {
		return nil, err
	}
	orders := make([]Order, 0, len(rows))
	for _, ro := range rows {
		var row orderRow
		if err := json.Unmarshal(ro.Value, &row); err != nil {
			if rs.OnUnreadable != nil {
				rs.OnUnreadable(ro.Key, err)
			}
			continue
		}
		orders = append(orders, Order{
			Service:  contract.ServiceName(strings.TrimPrefix(string(ro.Key), string(prefix))),
			ID:       row.Order,
			Release:  row.Release,
			Duration: time.Duration(row.WithinMS) * time.Millisecond,
		})
	}
	return orders, nil
}
