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

// stallTimeout is how long the control goroutine may take over one step before
// the node counts as not live.
const stallTimeout = 10 * time.Second

// health is the state behind the health endpoints.
type health struct {
	// lastTick is when the control goroutine last handled a tick.
	lastTick atomic.Pointer[time.Time]
	draining atomic.Bool
}

func (he *health) recordTick(now time.Time) { he.lastTick.Store(&now) }

func (he *health) notLiveReasons() []operator.HealthReason {
	if at := he.lastTick.Load(); at != nil && time.Since(*at) > stallTimeout {
		return []operator.HealthReason{operator.HealthControlStalled}
	}
	return nil
}

func (he *health) notReadyReasons(ve contract.Version) []operator.HealthReason {
	reasons := he.notLiveReasons()
	if he.draining.Load() {
		reasons = append(reasons, operator.HealthDraining)
	}
	if ve == 0 {
		reasons = append(reasons, operator.HealthNoConfiguration)
	}
	return reasons
}

// newKeyPair loads the console's key pair; nil when the settings give none.
func newKeyPair(se *ini.Settings) (*operator.KeyPair, error) {
	if se.Operator.CertFile == "" {
		return nil, nil
	}
	return operator.LoadKeyPair(se.Operator.CertFile, se.Operator.KeyFile)
}

// Bounds of a node's record of decisions.
const (
	maxControlEntries = 2048
	maxCallEntries    = 8192
)

func newRecord() *record.Record {
	return record.New(record.Config{
		ControlEntries: maxControlEntries,
		CallEntries:    maxCallEntries,
	})
}

// recordNote adds a control decision to the node's record.
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

// operatorParams are the components that the operators' server is built from.
type operatorParams struct {
	dig.In

	Rollouts *rollouts
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

func newOperator(pa operatorParams) *operator.Server {
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
		Rollouts:   operatorRollouts(pa.Rollouts),
		OnAccepted: func(de *contract.Delta, by access.OperatorName) {
			pa.Record.AddControl(record.Entry{
				At:      time.Now(),
				Kind:    record.KindVersionAccepted,
				Version: de.Result,
				Detail:  "submitted here by " + string(by),
			})
			ct.Emit(datacentre.VersionAccepted{Delta: de})
		},
		Live:    ct.health.notLiveReasons,
		Ready:   func() []operator.HealthReason { return ct.health.notReadyReasons(ct.View().Config.Version) },
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
		Live:    ct.health.notLiveReasons,
		Ready:   func() []operator.HealthReason { return ct.health.notReadyReasons(ct.View().Config.Version) },
		Metrics: set,
	})
}

// Reload applies settings that were read again, and reloads the keys of the console
// and of the links. Connections stay open; the previous settings and keys stay when
// the new ones are invalid. Only the limits of callers and of memory take effect at
// once; all other settings need a restart.
func (pr *Process) Reload(se *ini.Settings, err error) {
	pr.logReload("settings", err)
	if err == nil {
		pr.caller.SetLimits(caller.Limits{
			MaxHeaderBytes: se.Caller.MaxHeaderBytes,
			MaxBodyBytes:   se.Caller.MaxBodyBytes,
		})
		limitMemory(se)
	}
	if pr.keyPair != nil {
		pr.logReload("console keys", pr.keyPair.Reload())
	}
	if pr.certificates != nil {
		pr.logReload("link keys", pr.certificates.Reload())
	}
}

func (pr *Process) logReload(step string, err error) {
	if err != nil {
		pr.log.Error().Err(err).Msg(step + " not read again, keeping the previous ones")
		return
	}
	pr.log.Info().Msg(step + " read again")
}
