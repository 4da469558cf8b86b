package process

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/io/caller"
	"lynxfold/io/ini"
	"lynxfold/io/operator"
	"lynxfold/io/operator/access"
	"lynxfold/io/operator/record"
	"lynxfold/io/upstream"
)

// stalledAfter is how long the control goroutine may take over one step before
// the node counts as not live.
const stalledAfter = 10 * time.Second

// health is what the health pages tell.
type health struct {
	// beat is when the control goroutine last went round.
	beat     atomic.Pointer[time.Time]
	draining atomic.Bool
}

func (he *health) beaten(now time.Time) { he.beat.Store(&now) }

func (he *health) live() []operator.HealthReason {
	if at := he.beat.Load(); at != nil && time.Since(*at) > stalledAfter {
		return []operator.HealthReason{operator.HealthControlStalled}
	}
	return nil
}

func (he *health) ready(ve contract.Version) []operator.HealthReason {
	reasons := he.live()
	if he.draining.Load() {
		reasons = append(reasons, operator.HealthDraining)
	}
	if ve == 0 {
		reasons = append(reasons, operator.HealthNoConfiguration)
	}
	return reasons
}

// newKeyPair reads the console's keys; nil when the settings give none.
func newKeyPair(se *ini.Settings) (*operator.KeyPair, error) {
	if se.Operator.CertFile == "" {
		return nil, nil
	}
	return operator.LoadKeyPair(se.Operator.CertFile, se.Operator.KeyFile)
}

// Bounds of a node's record of decisions.
const (
	keptControl = 2048
	keptCalls   = 8192
)

func newRecord() *record.Record {
	return record.New(record.Config{
		ControlEntries: keptControl,
		CallEntries:    keptCalls,
	})
}

// recordNote keeps a decision of control for explanations.
func recordNote(re *record.Record, no datacentre.Note) {
	en := record.Entry{
		At:         no.At,
		Kind:       record.Kind(no.Kind),
		Host:       no.Peer,
		Version:    no.Version,
		DataCentre: string(no.DataCentre),
	}
	if no.Basis != datacentre.BasisNone {
		en.Detail = "on the word of " + string(no.Basis)
	}
	if no.Err != nil {
		en.Detail = no.Err.Error()
	}
	re.AddControl(en)
}

// operatorParts are what the operators' listener is built from.
type operatorParts struct {
	dig.In

	Settings *ini.Settings
	Control  *Control
	Acceptor operator.Acceptor
	History  operator.History
	Metrics  *metrics.Set
	Record   *record.Record
	Mesh     *mesh
	Gate     *upstream.Gate
	KeyPair  *operator.KeyPair
	Log      zerolog.Logger
}

func newOperator(pa operatorParts) *operator.Server {
	ct := pa.Control
	registerGauges(pa.Metrics, ct, pa.Gate)
	return operator.New(operator.Config{
		Host:       pa.Settings.Host.ID,
		DataCentre: pa.Settings.Host.DataCentre,
		View:       ct.View,
		Acceptor:   pa.Acceptor,
		History:    pa.History,
		Explainer:  pa.Record,
		Mesh:       pa.Mesh,
		OnAccepted: func(de *contract.Delta, by access.OperatorName) {
			pa.Record.AddControl(record.Entry{
				At:      time.Now(),
				Kind:    record.KindVersionAccepted,
				Version: de.Result,
				Detail:  "submitted here by " + string(by),
			})
			ct.Emit(datacentre.VersionAccepted{Delta: de})
		},
		Live:    ct.health.live,
		Ready:   func() []operator.HealthReason { return ct.health.ready(ct.View().Config.Version) },
		Tokens:  pa.Settings.Operator.Tokens,
		Metrics: pa.Metrics,
		Log:     pa.Log,
		KeyPair: pa.KeyPair,
		Now:     time.Now,
		NewID:   uuid.NewString,
	})
}

func newHealth(ct *Control, set *metrics.Set) *operator.HealthServer {
	return operator.NewHealthServer(operator.HealthConfig{
		Live:    ct.health.live,
		Ready:   func() []operator.HealthReason { return ct.health.ready(ct.View().Config.Version) },
		Metrics: set,
	})
}

// Reload takes in settings that were read again, and reads the keys of the console
// and of the links again. Connections stay open; settings and keys that can't be
// used leave the former ones. Limits of callers and of memory hold at once; all
// else holds from the next start.
func (pr *Process) Reload(se *ini.Settings, err error) {
	pr.reloaded("settings", err)
	if err == nil {
		pr.caller.SetLimits(caller.Limits{
			MaxHeaderBytes: se.Caller.MaxHeaderBytes,
			MaxBodyBytes:   se.Caller.MaxBodyBytes,
		})
		limitMemory(se)
	}
	if pr.keyPair != nil {
		pr.reloaded("console keys", pr.keyPair.Reload())
	}
	if pr.certificates != nil {
		pr.reloaded("link keys", pr.certificates.Reload())
	}
}

func (pr *Process) reloaded(step string, err error) {
	if err != nil {
		pr.log.Error().Err(err).Msg(step + " not read again, the old ones stay")
		return
	}
	pr.log.Info().Msg(step + " read again")
}
