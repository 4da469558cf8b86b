package platform_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/io/platform"
)

// TestOddOrderHidesNoOthers leaves odd rows among the orders of roll-outs.
func TestOddOrderHidesNoOthers(t *testing.T) {
	cl, _ := newClient(t)
	rs := platform.NewRollouts(cl, platform.NativeRollouts{})
	skipped := 0
	rs.OnUnreadable = func(platform.Key, error) { skipped++ }
	ctx := context.Background()
	_, err := rs.Order(ctx, platform.Order{
		Service:  "portal",
		Release:  "v2",
		Duration: time.Minute,
	})
	assert.NilError(t, err)
	for key, value := range map[platform.Key]string{
		"rollout_orders/aaa": `{"order":1e999}`,
		"rollout_orders/bbb": `[[[[]]]]`,
		"rollout_orders/zzz": `"text"`,
	} {
		_, err := cl.Transact(ctx, []platform.Write{{
			Key:      key,
			Value:    []byte(value),
			IfAbsent: true,
		}})
		assert.NilError(t, err)
	}
	orders, err := rs.Orders(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, string(orders[0].Service), "portal")
	assert.Equal(t, skipped, 3)
}
