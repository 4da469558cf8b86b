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

// adapters are the implementations that differ with the protocol of the platform,
// callers and upstreams.
type adapters struct {
	dig.Out

	Store     platform.Store
	Source    configSource
	Callers   caller.Protocol
	Upstreams upstream.Protocol
	Registrar upstream.RouteRegistrar
	Prober    upstream.Prober
	Acceptor  operator.Acceptor
	Rollouts  platform.RolloutProtocol
	History   operator.History
}

func newAdapters(se *ini.Settings, ro *rollouts, set *metrics.Set, log zerolog.Logger) adapters {
	if se.Platform.Protocol == ini.ProtocolFleet {
		return newFleetAdapters(se, ro, set, log)
	}
	cl := platform.NewClient(platform.Config{
		TableURL:      se.Platform.TableURL,
		ObjectURL:     se.Platform.ObjectURL,
		Timeout:       se.Platform.Timeout,
		OnRequestDone: observePlatformRequests(set),
	})
	setResponseLimit(cl.Transport, se)
	vs := platform.NewVersions(cl)
	return adapters{
		Rollouts:  platform.NativeRollouts{},
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

func newFleetAdapters(se *ini.Settings, ro *rollouts, set *metrics.Set, log zerolog.Logger) adapters {
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
		OnOrders:      ordersReceiver(ro),
		OnRequestDone: observePlatformRequests(set),
	})
	setResponseLimit(ad.Store.Transport, se)
	return adapters{
		Rollouts:  ad.RolloutProtocol,
		Store:     ad.Store,
		Source:    ad.ConfigurationReader,
		Callers:   ad.CallerProtocol,
		Upstreams: ad.UpstreamProtocol,
		Registrar: ad.AnnouncementHandler,
		Prober:    ad.Prober,
		Acceptor:  externalVersions{},
		History:   externalVersions{},
	}
}

// observePlatformRequests counts and times the requests to the platform by method and
// outcome.
func observePlatformRequests(set *metrics.Set) func(platform.RequestResult) {
	return func(rr platform.RequestResult) {
		set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_platform_requests_total{method=%q,outcome=%q}`, rr.Method, rr.Outcome)).Inc()
		set.GetOrCreateHistogram(fmt.Sprintf(`lynxfold_platform_request_duration_seconds{method=%q,outcome=%q}`, rr.Method, rr.Outcome)).
			Update(rr.Took.Seconds())
	}
}

// ExternalVersionsError reports a request about versions that this node does not
// keep: the operators write the configuration to the platform themselves.
type ExternalVersionsError struct{}

func (er *ExternalVersionsError) Error() string {
	return "the configuration is written to the platform's store and not accepted here"
}

// externalVersions rejects requests about versions that are accepted outside the mesh.
type externalVersions struct{}

// Accept implements operator.Acceptor.
func (externalVersions) Accept(platform.Submission) (*contract.Delta, error) {
	return nil, &platform.UnavailableError{Op: "accept version", Err: &ExternalVersionsError{}}
}

// Row implements operator.History.
func (externalVersions) Row(context.Context, contract.Version) (platform.VersionRow, error) {
	return platform.VersionRow{}, &platform.UnavailableError{Op: "read version", Err: &ExternalVersionsError{}}
}

// Rows implements operator.History.
func (externalVersions) Rows(context.Context, contract.Version, int) ([]platform.VersionRow, error) {
	return nil, &platform.UnavailableError{Op: "read versions", Err: &ExternalVersionsError{}}
}

// Snapshot implements operator.History.
func (externalVersions) Snapshot(context.Context, contract.Version) (*contract.Snapshot, error) {
	return nil, &platform.UnavailableError{Op: "read version", Err: &ExternalVersionsError{}}
}

// Prepare sets the process's memory limit and completes the settings for the
// platform's protocol.
func Prepare(se *ini.Settings) error {
	limitMemory(se)
	if se.Platform.Protocol == ini.ProtocolFleet {
		return fleet.ApplySettings(se)
	}
	return nil
}

// limitMemory sets the runtime's soft memory limit, so that it collects garbage
// before the process exceeds its memory.
func limitMemory(se *ini.Settings) {
	if se.Process.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(se.Process.MemoryMB) * memoryLimitPermille / 1000 << 20)
	}
}

// bufferDivisor determines the part of the process's memory for buffered bodies, and that for
// responses of the platform.
const bufferDivisor = 8

// setResponseLimit limits the responses of the platform that the process reads at once.
func setResponseLimit(tr *platform.Transport, se *ini.Settings) {
	if se.Process.MemoryMB > 0 {
		tr.SetBufferLimit(int64(max(1, se.Process.MemoryMB/bufferDivisor)) << 20)
	}
}

// newByteBudget returns the limit on the bodies that the process buffers.
func newByteBudget(se *ini.Settings) *upstream.ByteBudget {
	mb := se.Process.BufferMB
	if mb == 0 && se.Process.MemoryMB > 0 {
		mb = max(1, se.Process.MemoryMB/bufferDivisor)
	}
	if mb == 0 {
		return upstream.NewByteBudget(upstream.DefaultBufferBytes)
	}
	return upstream.NewByteBudget(int64(mb) << 20)
}

// newUpstreamClient returns the client for the upstream of this host.
func newUpstreamClient(pr upstream.Protocol, bb *upstream.ByteBudget) *upstream.Client {
	cl := upstream.NewClientWithProtocol(pr)
	cl.SetBufferBudget(bb)
	return cl
}

// memoryLimitPermille is the part of the process's memory that the runtime may use;
// the rest is for memory that the runtime does not count.
const memoryLimitPermille = 800

func newIntroductions(st platform.Store, set *metrics.Set, log zerolog.Logger) *platform.Introductions {
	is := platform.NewIntroductions(st)
	is.OnUnreadable = unreadableReporter(set, log, "introduction")
	return is
}

func newRolloutRows(st platform.Store, rp platform.RolloutProtocol, set *metrics.Set, log zerolog.Logger) *platform.Rollouts {
	rs := platform.NewRollouts(st, rp)
	rs.OnUnreadable = unreadableReporter(set, log, "order")
	return rs
}

func newCrashRows(st platform.Store, set *metrics.Set, log zerolog.Logger) *platform.CrashRows {
	cr := platform.NewCrashRows(st)
	cr.OnUnreadable = unreadableReporter(set, log, "crashes")
	return cr
}

// unreadableReporter returns a function that counts and logs rows that can't be read.
func unreadableReporter(set *metrics.Set, log zerolog.Logger, kind string) func(key platform.Key, err error) {
	skipped := set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_skipped_total{kind=%q}`, kind))
	return func(key platform.Key, err error) {
		skipped.Inc()
		log.Error().Err(err).Str("event", "row_skipped").Str("row", string(key)).Msg("cannot read a row of the platform's table")
	}
}
