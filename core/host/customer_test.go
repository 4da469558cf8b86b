package host

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
)

// TestRunningCustomer guards against a call that takes the customer of a request that is
// not running, or of another customer's request with the same id.
func TestRunningCustomer(t *testing.T) {
	ga := NewGate(Config{})
	for id, at := range map[AttemptID]Attempt{
		"1": {Request: "a", Customer: "hotel"},
		"2": {Request: "a", Customer: "hotel"},
		"3": {Request: "b", Customer: "hotel"},
		"4": {Request: "b", Customer: "garage"},
		"5": {Request: "c"},
		"6": {},
	} {
		ga.running[id] = &entry{attempt: at}
	}
	for id, want := range map[RequestID]struct {
		customer contract.CustomerName
		running  bool
	}{
		"a": {customer: "hotel", running: true},
		"b": {},
		"c": {running: true},
		"d": {},
		"":  {},
	} {
		customer, running := ga.RunningCustomer(id)
		assert.Equal(t, customer, want.customer, "%q", id)
		assert.Equal(t, running, want.running, "%q", id)
	}
}
