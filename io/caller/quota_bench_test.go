package caller_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/quota"
	"lynxfold/io/upstream/standin"
)

// fixedQuotas admits all requests or none.
type fixedQuotas struct{ admit bool }

func (fq fixedQuotas) Admit(contract.CustomerName, quota.Limit) (time.Time, bool) {
	return time.Now().Add(time.Second), fq.admit
}

func (fixedQuotas) GiveBack(contract.CustomerName) {}

func (fixedQuotas) ReportOf(cu contract.CustomerName) quota.AccountReport {
	return quota.AccountReport{Customer: cu}
}

// BenchmarkQuotaRefusal compares the processor time of a call that is refused above its
// customer's limit with that of an answered call. Both include the client in this process,
// and the answered one its gate and its upstream.
func BenchmarkQuotaRefusal(b *testing.B) {
	for name, admit := range map[string]bool{"answered": true, "refused": false} {
		b.Run(name, func(b *testing.B) {
			bp := startBenchPathWith(b, false, fixedQuotas{admit: admit}, standin.Config{Slots: benchSlots})
			cl := &fasthttp.HostClient{Addr: bp.ingress}
			defer cl.CloseIdleConnections()
			rq, rs := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			rq.SetRequestURI("http://" + bp.ingress + "/results/1")
			rq.Header.Set("Authorization", "Bearer bench")
			rq.Header.Set(standin.HeaderCallID, "bench")
			_, begun := usage()
			for b.Loop() {
				assert.NilError(b, cl.Do(rq, rs))
				assert.Equal(b, rs.StatusCode() == fasthttp.StatusTooManyRequests, !admit)
			}
			_, ended := usage()
			b.ReportMetric(float64((ended-begun).Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}
