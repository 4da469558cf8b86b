package process

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/io/ini"
	"lynxfold/io/node"
	"lynxfold/io/operator/record"
	"lynxfold/io/platform"
)

// hangingStore is a store of which no request is answered.
type hangingStore struct {
	platform.Store
}

func (hangingStore) List(ctx context.Context, _, _ platform.Key, _ int) ([]platform.Row, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// countingSource is a source of configurations that reports each read.
type countingSource struct {
	reads chan struct{}
}

func (cs countingSource) Since(context.Context, platform.ChangeQuery) ([]*contract.Delta, *contract.Snapshot, platform.ETag, error) {
	cs.reads <- struct{}{}
	return nil, nil, "", nil
}

func (cs countingSource) CurrentSnapshot(context.Context) (*contract.Snapshot, error) {
	return nil, nil
}

// TestStartReadsConfigurationAtOnce checks that a node that starts reads the configuration
// before its timers first fire, and although its contacts can't be read.
func TestStartReadsConfigurationAtOnce(t *testing.T) {
	se := &ini.Settings{}
	se.Host.ID = "a"
	se.Host.DataCentre = "press-hall"
	se.Mesh.FleetSize = 1
	se.Platform.ReadsPerSecond = 1_000_000
	set := metrics.NewSet()
	source := countingSource{reads: make(chan struct{}, 1)}
	ct := newControl(
		se,
		advertisedAddresses{local: "127.0.0.1:1"},
		newIdentity(),
		&node.Dialer{Timeout: time.Second},
		platformParams{
			Store:         hangingStore{},
			Source:        source,
			Introductions: platform.NewIntroductions(hangingStore{}),
		},
		newInvariants(set, zerolog.Nop()),
		newControlCounters(set),
		node.NewCounters(set),
		record.New(record.Config{}),
		zerolog.Nop(),
	)
	ct.tickEvery = time.Hour
	done := make(chan struct{})
	go func() {
		defer close(done)
		ct.run()
	}()
	t.Cleanup(func() {
		close(ct.stop)
		ct.cancelJobs()
		<-done
		ct.jobs.Wait()
	})
	select {
	case <-source.reads:
	case <-time.After(20 * time.Second):
		assert.Assert(t, false, "the configuration was not read")
	}
}
