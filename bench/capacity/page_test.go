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

var write = flag.Bool("write", false, "write docs/CAPACITY.md")

// page is the page that this package keeps.
const page = "../../docs/CAPACITY.md"

// newest returns the newest measurement; names start with the date.
func newest(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../measurements/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	return slices.Max(files)
}

// TestCapacityPage works every figure of the page out again, from the newest
// measurement and the formulas of the plan.
func TestCapacityPage(t *testing.T) {
	pl, err := capacity.ReadPlan("plan.json")
	assert.NilError(t, err)
	path := newest(t)
	me, err := capacity.Read(path)
	assert.NilError(t, err)
	want, err := capacity.Render(pl, me, "bench/measurements/"+filepath.Base(path))
	assert.NilError(t, err)
	assert.DeepEqual(t, pl.Unused(me), []string(nil))
	if *write {
		assert.NilError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

// TestPlanNamesFiles checks that each row's mechanism lives in a file that is there.
func TestPlanNamesFiles(t *testing.T) {
	pl, err := capacity.ReadPlan("plan.json")
	assert.NilError(t, err)
	for _, ta := range pl.Tables {
		for _, ro := range ta.Rows {
			if ro.File == "" {
				continue
			}
			_, err := os.Stat(filepath.Join("../..", ro.File))
			assert.NilError(t, err, ro.What)
		}
	}
}
