package call_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/call"
	"lynxfold/core/contract"
)

// splitTarget returns the target of a route that is split by weights.
func splitTarget(t *testing.T, weights ...int) *contract.Target {
	t.Helper()
	names := []contract.ServiceName{"a", "b", "c"}
	ro := contract.Route{
		Name:       "results",
		PathPrefix: "/",
		Contract:   "read",
	}
	doc := &contract.Document{Contracts: []contract.Terms{{Name: "read", TimeoutMS: 1000}}}
	for i, we := range weights {
		doc.Services = append(doc.Services, contract.Service{Name: names[i]})
		ro.Split = append(ro.Split, contract.Share{Service: names[i], Weight: we})
	}
	doc.Routes = []contract.Route{ro}
	sn, err := contract.Compile(1, doc)
	assert.NilError(t, err)
	return sn.Match("", "GET", "/")
}

// TestSplitKeepsItsWeights checks the shares of a split route over short and long
// sequences of calls.
func TestSplitKeepsItsWeights(t *testing.T) {
	for _, weights := range [][]int{{90, 10}, {1, 1}, {50, 30, 20}, {0, 7}, {1, 0, 999}} {
		ta := splitTarget(t, weights...)
		total := 0
		for _, we := range weights {
			total += we
		}
		var sp call.TrafficSplitter
		counts := map[contract.ServiceName]int{}
		for n := 1; n <= 3000; n++ {
			counts[sp.Next(ta).Route.Service]++
			if n != 30 && n != 300 && n != 3000 {
				continue
			}
			for i, we := range weights {
				name := ta.Route.Split[i].Service
				got, want := float64(counts[name])/float64(n), float64(we)/float64(total)
				assert.Assert(t, got > want-0.1 && got < want+0.1, "%v after %d: %s has %.3f, want %.3f", weights, n, name, got, want)
				assert.Assert(t, we > 0 || counts[name] == 0)
			}
		}
	}
}

// TestTypicalTimeouts checks that a timeout shorter than the typical one counts as
// that of a retry, and that the typical one follows the majority of the calls.
func TestTypicalTimeouts(t *testing.T) {
	var tt call.TypicalTimeouts
	for range 50 {
		assert.Equal(t, tt.Elapsed("results", 2*time.Second), time.Duration(0))
	}
	assert.Equal(t, tt.Elapsed("results", 1400*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, tt.Elapsed("results", 1999*time.Millisecond), time.Duration(0))
	assert.Equal(t, tt.Elapsed("results", 5*time.Second), time.Duration(0), "a longer timeout is not taken for a retry")
	assert.Equal(t, tt.Elapsed("results", 1500*time.Millisecond), 500*time.Millisecond, "nor for the typical one")
	assert.Equal(t, tt.Elapsed("other", 100*time.Millisecond), time.Duration(0))
	// During an overload, most calls are retries, each with a timeout of its own.
	for i := range 600 {
		if i%4 == 0 {
			assert.Equal(t, tt.Elapsed("results", 2*time.Second), time.Duration(0))
			continue
		}
		left := time.Duration(700+i) * time.Millisecond
		assert.Equal(t, tt.Elapsed("results", left), 2*time.Second-left, "retry %d", i)
	}
	for range 500 {
		tt.Elapsed("results", time.Second)
	}
	assert.Equal(t, tt.Elapsed("results", time.Second), time.Duration(0), "the timeout of the majority becomes the typical one")
}
