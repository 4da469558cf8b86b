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

// TestSettings reads each data file's settings and prints every fault.
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

// TestDocumentIsCommitted keeps docs/settings.ini equal to the keys in the code.
// Run it with -update after a key has changed.
func TestDocumentIsCommitted(t *testing.T) {
	golden.Assert(t, ini.Document(), "../../../docs/settings.ini")
}

// TestDocumentIsValid reads the documented file as a node would.
func TestDocumentIsValid(t *testing.T) {
	se, err := ini.Parse("settings.ini", []byte(ini.Document()))
	assert.NilError(t, err)
	assert.Equal(t, string(se.Host.ID), "press-hall-1")
}

// TestMissingFile names the file that is not there.
func TestMissingFile(t *testing.T) {
	_, err := ini.Load("testdata/none.ini")
	assert.ErrorContains(t, err, "testdata/none.ini")
}

// FuzzParse shows that no settings crash the reader and that a fault is always typed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(ini.Document()))
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
