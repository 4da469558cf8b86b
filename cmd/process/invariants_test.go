package process

import (
	"bytes"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func newTestInvariants() (*invariants, *bytes.Buffer, *int) {
	out := &bytes.Buffer{}
	code := 0
	iv := newInvariants(metrics.NewSet(), zerolog.New(out))
	iv.exit = func(co int) { code = co }
	return iv, out, &code
}

func TestViolatedInvariantIsCountedAndLogged(t *testing.T) {
	t.Setenv(fatalInvariantsEnv, "")
	iv, out, code := newTestInvariants()
	iv.report(&InvariantError{
		Invariant: invariantConfig,
		Version:   7,
		Err:       errors.New("dangling route"),
	})
	counter := iv.set.GetOrCreateCounter(`lynxfold_invariant_violations_total{invariant="configuration"}`)
	assert.Equal(t, counter.Get(), uint64(1))
	assert.Equal(t, *code, 0)
	assert.Assert(t, strings.Contains(out.String(), "invariant configuration violated: version 7, attempt \\\"\\\": dangling route"), out.String())
}

func TestViolatedInvariantIsFatalWhenConfigured(t *testing.T) {
	t.Setenv(fatalInvariantsEnv, "1")
	iv, _, code := newTestInvariants()
	iv.report(&InvariantError{Invariant: invariantConfig})
	assert.Equal(t, *code, exitCodeInvariant)
}

func TestControlPanicEndsTheProcess(t *testing.T) {
	iv, out, code := newTestInvariants()
	func() {
		defer iv.exitOnPanic()
		panic("out of range")
	}()
	assert.Equal(t, *code, exitCodeInvariant)
	assert.Assert(t, strings.Contains(out.String(), "control goroutine panicked: out of range"), out.String())
	assert.Assert(t, strings.Contains(out.String(), "TestControlPanicEndsTheProcess"), "the stack is missing: %s", out)
}
