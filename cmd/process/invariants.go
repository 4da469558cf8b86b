package process

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"lynxfold/core/contract"
	"lynxfold/core/host"
)

// fatalInvariantsEnv is the environment variable that, when it is 1, makes a violated
// invariant end the process.
const fatalInvariantsEnv = "LYNXFOLD_FATAL_INVARIANTS"

// exitCodeInvariant is the exit code after a violated invariant or a panic.
const exitCodeInvariant = 70

// Invariant names a condition that always holds in a correct node.
type Invariant string

// invariantConfig holds while versions only rise and every route has its service.
const invariantConfig Invariant = "configuration"

// invariants reports violated invariants and panics.
type invariants struct {
	set   *metrics.Set
	fatal bool
	log   zerolog.Logger
	exit  func(code int)
}

func newInvariants(set *metrics.Set, log zerolog.Logger) *invariants {
	return &invariants{
		set:   set,
		fatal: os.Getenv(fatalInvariantsEnv) == "1",
		log:   log,
		exit:  os.Exit,
	}
}

// InvariantError reports a violated invariant.
type InvariantError struct {
	Invariant Invariant
	Version   contract.Version
	Attempt   host.AttemptID
	Err       error
}

func (er *InvariantError) Error() string {
	text := fmt.Sprintf("invariant %s violated: version %d, attempt %q", er.Invariant, er.Version, er.Attempt)
	if er.Err != nil {
		text += ": " + er.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (er *InvariantError) Unwrap() error { return er.Err }

// PanicError reports a panic of the control goroutine.
type PanicError struct {
	Value any
}

func (er *PanicError) Error() string { return fmt.Sprintf("control goroutine panicked: %v", er.Value) }

func (iv *invariants) report(er *InvariantError) {
	iv.set.GetOrCreateCounter(fmt.Sprintf(`lynxfold_invariant_violations_total{invariant=%q}`, er.Invariant)).Inc()
	iv.log.Error().
		Err(er).
		Str("reason", "invariant_violation").
		Msg("invariant violated")
	if iv.fatal {
		iv.exit(exitCodeInvariant)
	}
}

// exitOnPanic ends the process after a panic: control state that is half changed
// can't be trusted, and other hosts hold what this host needs after a restart.
func (iv *invariants) exitOnPanic() {
	value := recover()
	if value == nil {
		return
	}
	iv.log.Error().
		Err(&PanicError{Value: value}).
		Str("reason", "panic").
		Str("stack", string(debug.Stack())).
		Msg("control goroutine panicked, ending the process")
	iv.exit(exitCodeInvariant)
}
