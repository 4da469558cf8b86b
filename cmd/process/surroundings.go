package process

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"lynxfold/core/contract"
	"lynxfold/io/caller"
	"lynxfold/io/ini"
	"lynxfold/io/operator"
	"lynxfold/io/platform"
	"lynxfold/io/upstream"
	fleet "lynxfold/platform"
)

// surroundings are the parts that differ with the protocol that the platform,
// callers and upstreams speak.
type surroundings struct {
	dig.Out

	Store     platform.Store
	Source    source
	Callers   caller.Protocol
	Upstreams upstream.Protocol
	Registrar upstream.RouteRegistrar
	Prober    upstream.Prober
	Acceptor  operator.Acceptor
	History   operator.History
}

func newSurroundings(se *ini.Settings, set *metrics.Set, log zerolog.Logger) surroundings {
	if se.Platform.Protocol == ini.ProtocolFleet {
		return newFleet(se, set, log)
	}
	cl := platform.NewClient(platform.Config{
		TableURL:      se.Platform.TableURL,
		ObjectURL:     se.Platform.ObjectURL,
		Timeout:       se.Platform.Timeout,
		OnRequestDone: countExchanges(set),
	})
	vs := platform.NewVersions(cl)
	return surroundings{
		Store:     cl,
		Source:    vs,
		Callers:   caller.NativeProtocol{},
		Upstreams: upstream.NativeProtocol{},
		Registrar: upstream.NativeRegistrar{},
		Prober:    upstream.NoProber{},
		Acceptor:  vs,
		History:   vs,
	}
}

func newFleet(se *ini.Settings, set *metrics.Set, log zerolog.Logger) surroundings {
	ad := fleet.New(fleet.Config{
		URL:             se.Platform.TableURL,
		Timeout:         se.Platform.Timeout,
		Service:         se.Host.Service,
		UpstreamAddress: fleet.UpstreamAddress(se),
		Bootstrap:       fleet.IsBootstrap(se),
		Log:             log,
		CountSkipped: func(kind string) {
			set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_skipped_total{kind=%q}`, kind)).Inc()
		},
		OnRequestDone: countExchanges(set),
	})
	return surroundings{
		Store:     ad.Store,
		Source:    ad.ConfigurationReader,
		Callers:   ad.CallerProtocol,
		Upstreams: ad.UpstreamProtocol,
		Registrar: ad.AnnouncementHandler,
		Prober:    ad.Prober,
		Acceptor:  elsewhere{},
		History:   elsewhere{},
	}
}

// countExchanges counts the requests to the platform, by their method and outcome.
func countExchanges(set *metrics.Set) func(method, outcome string) {
	return func(method, outcome string) {
		set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_requests_total{method=%q,outcome=%q}`, method, outcome)).Inc()
	}
}

// ElsewhereError reports a request about versions that this node does not keep:
// the operators write the configuration to the platform themselves.
type ElsewhereError struct{}

func (er *ElsewhereError) Error() string {
	return "the configuration is written to the platform's store and not accepted here"
}

// elsewhere stands for versions that are accepted elsewhere.
type elsewhere struct{}

// Accept implements operator.Acceptor.
func (elsewhere) Accept(platform.Submission) (*contract.Delta, error) {
	return nil, &platform.UnavailableError{Op: "accept version", Err: &ElsewhereError{}}
}

// Row implements operator.History.
func (elsewhere) Row(context.Context, contract.Version) (platform.VersionRow, error) {
	return platform.VersionRow{}, &platform.UnavailableError{Op: "read version", Err: &ElsewhereError{}}
}

// Rows implements operator.History.
func (elsewhere) Rows(context.Context, contract.Version, int) ([]platform.VersionRow, error) {
	return nil, &platform.UnavailableError{Op: "read versions", Err: &ElsewhereError{}}
}

// Snapshot implements operator.History.
func (elsewhere) Snapshot(context.Context, contract.Version) (*contract.Snapshot, error) {
	return nil, &platform.UnavailableError{Op: "read version", Err: &ElsewhereError{}}
}

// Prepare completes the settings for their surroundings and bounds the process
// as they say.
func Prepare(se *ini.Settings) error {
	limitMemory(se)
	if se.Platform.Protocol == ini.ProtocolFleet {
		return fleet.ApplySettings(se)
	}
	return nil
}

// limitMemory has the runtime collect garbage before the process takes more than
// it may.
func limitMemory(se *ini.Settings) {
	if se.Process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(se.Process.MemoryMB) * memoryPermille / 1000 << 20)
	}
}

// memoryPermille is the part of the memory that the runtime keeps to; the rest
// is for what it does not count.
const memoryPermille = 800
