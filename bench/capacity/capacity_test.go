package capacity_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/bench/capacity"
)

func TestFitLine(t *testing.T) {
	fi, err := capacity.FitLine([]capacity.Point{
		{Size: 1, Value: 5},
		{Size: 2, Value: 7},
		{Size: 3, Value: 9},
		{Size: 4, Value: 11},
	})
	assert.NilError(t, err)
	assert.Equal(t, fi, capacity.Fit{Slope: 2, Intercept: 3})
}

func TestFitLineRejectsTooFewSizes(t *testing.T) {
	_, err := capacity.FitLine([]capacity.Point{{Size: 1, Value: 1}})
	assert.ErrorContains(t, err, "at least 4")
}

func TestEvaluate(t *testing.T) {
	vars := map[string]float64{"hosts": 12000, "bytes_per_host": 100}
	for _, tc := range []struct {
		formula string
		want    float64
	}{
		{formula: "hosts * bytes_per_host / 1000000", want: 1.2},
		{formula: "max(1, 2) + min(3, 4) - sqrt(4)", want: 3},
		{formula: "-(2 + 3) * 2", want: -10},
	} {
		got, err := capacity.Evaluate(tc.formula, vars)
		assert.NilError(t, err)
		assert.Equal(t, got, tc.want, tc.formula)
	}
}

func TestEvaluateRejectsInvalidFormulas(t *testing.T) {
	for _, formula := range []string{"hosts", "1 / 0", "1 +", "f(1)", `"text"`, "1 % 2"} {
		_, err := capacity.Evaluate(formula, nil)
		assert.Assert(t, err != nil, formula)
	}
}

func TestVariableNames(t *testing.T) {
	assert.DeepEqual(t, capacity.VariableNames("max(a, b) * (c + a) / 2"), []string{"a", "b", "c"})
}
