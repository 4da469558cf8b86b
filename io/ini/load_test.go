package ini_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"lynxfold/io/ini"
)

// TestSettings parses the settings in each data file and compares the problems found, or
// the operators of valid settings.
func TestSettings(t *testing.T) {
	datadriven.Walk(t, "testdata/settings", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, td *datadriven.TestData) string {
			se, err := ini.Parse("node.ini", []byte(td.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			var sb strings.Builder
			sb.WriteString("valid\n")
			for _, to := range se.Operator.Tokens {
				sb.WriteString("operator " + string(to.Operator) + " may " + string(to.Role) + "\n")
			}
			return sb.String()
		})
	})
}

// TestReferenceFileIsCommitted checks that docs/settings.ini matches the keys in the
// code. After a change of a key or its help text, run it with -update.
func TestReferenceFileIsCommitted(t *testing.T) {
	golden.Assert(t, ini.ReferenceFile(), "../../../docs/settings.ini")
}

// TestReferenceFileIsValid parses the reference file like a node's settings.
func TestReferenceFileIsValid(t *testing.T) {
	se, err := ini.Parse("settings.ini", []byte(ini.ReferenceFile()))
	assert.NilError(t, err)
	assert.Equal(t, string(se.Host.ID), "press-hall-1")
}

// TestMissingFile checks that the error names the missing file.
func TestMissingFile(t *testing.T) {
	_, err := ini.Load("testdata/none.ini")
	assert.ErrorContains(t, err, "testdata/none.ini")
}

// FuzzParse checks that no input crashes the parser and that every error is a
// SettingsError.
func FuzzParse(f *testing.F) {
	f.Add([]byte(ini.ReferenceFile()))
	f.Add([]byte("[mesh]\nname = %(name)s\n"))
	f.Add([]byte("[mesh\nname"))
	f.Add([]byte("[operator]\ntokens = ana change 00, , \n[operator]\ntokens ="))
	f.Add([]byte("= \n[]\n\\"))
	f.Fuzz(func(t *testing.T, data []byte) {
		se, err := ini.Parse("fuzz.ini", data)
		if err == nil {
			assert.Assert(t, se.Mesh.Name != "" && se.Operator.Listen.IsValid())
			return
		}
		var typed *ini.SettingsError
		assert.Assert(t, errors.As(err, &typed), "%T", err)
		assert.Assert(t, len(typed.Problems) > 0)
	})
}
