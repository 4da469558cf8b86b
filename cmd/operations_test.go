package cmd_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageCanBeFollowed runs every command of the page on the captured log
// and compares its output with the page.
func TestOperationsPageCanBeFollowed(t *testing.T) {
	data, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	commands := 0
	for _, block := range strings.Split(string(data), "```console\n")[1:] {
		block, _, closed := strings.Cut(block, "```")
		assert.Assert(t, closed)
		line, want, _ := strings.Cut(block, "\n")
		command, ok := strings.CutPrefix(line, "$ ")
		assert.Assert(t, ok, "%s", line)
		sh := exec.Command("sh", "-c", command)
		sh.Dir = "../docs"
		got, err := sh.Output()
		assert.NilError(t, err, "%s", command)
		assert.Equal(t, string(got), want, "%s", command)
		assert.Assert(t, want != "", "%s prints nothing", command)
		commands++
	}
	assert.Assert(t, commands >= 5)
}
