package process

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"lynxfold/core/host"
)

// maxCountedRank bounds the values of the label rank; it stands for all higher ranks too.
const maxCountedRank = 15

// refusalCounter returns a function that counts the refusals of a gate.
func refusalCounter(set *metrics.Set) func(rank int, re host.Reason) {
	return func(rank int, re host.Reason) {
		set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_gate_refusals_total{rank="%d",reason=%q}`,
			min(rank, maxCountedRank), re)).Inc()
	}
}
