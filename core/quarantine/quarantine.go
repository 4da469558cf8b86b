// Package quarantine finds requests that crash the upstreams that run them, and decides
// whether and when such a request may run again.
package quarantine

import (
	"time"

	"lynxfold/core/host"
)

const (
	// crashesToIsolate is the number of crashes from which a request runs beside no other
	// suspect, so that the next crash has one cause.
	crashesToIsolate = 2
	// crashesToQuarantine is the number of crashes from which a request is not run.
	crashesToQuarantine = 3
	// firstHoldDivisor shortens the first quarantine: a request that was beside the culprit
	// three times by chance is soon run alone.
	firstHoldDivisor = 10
	// maxDoublings bounds how often Config.Hold doubles.
	maxDoublings = 3
	// trialTimeout is the time in which one host makes one trial.
	trialTimeout = 10 * time.Second
	// keepFor is how long a request is remembered after its last crash, or after it has
	// turned out to be harmless.
	keepFor = time.Hour
	// MaxHold bounds Config.Hold, so that all hosts make trials within keepFor.
	MaxHold = 4 * time.Minute
	// maxCrashes, maxSurvivals, maxSuspectsPerCrash and maxCrashesPerSuspect bound the
	// memory of a table.
	maxCrashes           = 512
	maxSurvivals         = 1024
	maxSuspectsPerCrash  = 32
	maxCrashesPerSuspect = 16
	// maxEvidence bounds the crashes that a message about one request names.
	maxEvidence = 8
)

// CrashID identifies the crash of one process of an upstream; unique in the mesh.
type CrashID uint64

// Crash is the crash of an upstream's process.
type Crash struct {
	ID CrashID
	// Host is the host of the upstream.
	Host host.ID
	At   time.Time
	// Suspects are the requests that may have caused it.
	Suspects []host.Fingerprint
}

// Survival is a run of a request that did not crash its upstream.
type Survival struct {
	Request host.Fingerprint
	// At is when the run ended.
	At time.Time
}

// News is what one host tells others. It may arrive more than once.
type News struct {
	Crashes   []Crash
	Survivals []Survival
}

// IsEmpty reports whether there is no news.
func (ne News) IsEmpty() bool { return len(ne.Crashes) == 0 && len(ne.Survivals) == 0 }

// State says how a request may run.
type State int

// States of a request.
const (
	// StateClear means that the request runs like any other.
	StateClear State = iota
	// StateIsolated means that it runs beside no other request in this state.
	StateIsolated
	// StateQuarantined means that it is not run.
	StateQuarantined
)

// Verdict is the decision about a request.
type Verdict struct {
	State State
	// Crashes is the number of upstreams that the request has crashed, as far as is known.
	Crashes int
	// LastHost is the host of the last of them, and LastCrash its time.
	LastHost  host.ID
	LastCrash time.Time
	// Until is the time from which a quarantined request may be tried again.
	Until time.Time
}

// IsTrial reports whether the run of a request decides if its quarantine goes on.
func (ve Verdict) IsTrial() bool {
	return ve.State == StateIsolated && ve.Crashes >= crashesToQuarantine
}
