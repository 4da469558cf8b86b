package capacity_test

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lynxfold/bench/capacity"
)

var writePage = flag.Bool("write", false, "write docs/CAPACITY.md")

// pagePath is the page that this package generates.
const pagePath = "../../docs/CAPACITY.md"

// newestMeasurement returns the path of the newest measurement; file names start
// with the date.
func newestMeasurement(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../measurements/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	return slices.Max(files)
}

// TestCapacityPage checks that the committed page matches the newest measurement and
// the formulas of the plan, and that the plan uses every measured slope.
func TestCapacityPage(t *testing.T) {
	pl, err := capacity.ReadPlan("plan.json")
	assert.NilError(t, err)
	path := newestMeasurement(t)
	me, err := capacity.ReadMeasurement(path)
	assert.NilError(t, err)
	want, err := capacity.Render(pl, me, "bench/measurements/"+filepath.Base(path))
	assert.NilError(t, err)
	assert.DeepEqual(t, pl.UnusedSlopes(me), []string(nil))
	if *writePage {
		assert.NilError(t, os.WriteFile(pagePath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

// TestPlanFilesExist checks that the file named in each row exists.
func TestPlanFilesExist(t *testing.T) {
	pl, err := capacity.ReadPlan("plan.json")
	assert.NilError(t, err)
	for _, ta := range pl.Tables {
		for _, ro := range ta.Rows {
			if ro.File == "" {
				continue
			}
			_, err := os.Stat(filepath.Join("../..", ro.File))
			assert.NilError(t, err, ro.Cost)
		}
	}
}
