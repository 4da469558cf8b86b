package cmd_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// TestHangupDuringStartIsKept sends SIGHUP to a node that is reading its settings: the signal
// ended the process. The settings are read again once the node has started.
func TestHangupDuringStartIsKept(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "node.ini")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	settings := func(level string) string {
		return "[host]\nid = a-1\ndata_centre = a\n[mesh]\nname = test\n[link]\nlisten = " + testkit.FreeAddress(t) +
			"\n[caller]\nlisten = " + testkit.FreeAddress(t) + "\n[upstream]\nlisten = " + testkit.FreeAddress(t) +
			"\n[operator]\nlisten = " + testkit.FreeAddress(t) +
			"\n[platform]\ntable_url = http://127.0.0.1:1\nobject_url = http://127.0.0.1:1\n[log]\nlevel = " + level + "\n"
	}
	first := settings("info")
	logFile, err := os.Create(filepath.Join(dir, "log"))
	assert.NilError(t, err)
	no := exec.Command(testkit.Binary(t), "node", "--settings", path)
	no.Stdout, no.Stderr = logFile, logFile
	assert.NilError(t, no.Start())
	assert.NilError(t, logFile.Close())
	ended := make(chan struct{})
	go func() {
		_ = no.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = no.Process.Kill()
		<-ended
	})
	// Opening the pipe succeeds once the node reads from it.
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, no.Process.Signal(syscall.SIGHUP))
	again := filepath.Join(dir, "again.ini")
	assert.NilError(t, os.WriteFile(again, []byte(first), 0o600))
	assert.NilError(t, os.Rename(again, path))
	_, err = pipe.WriteString(first)
	assert.NilError(t, err)
	assert.NilError(t, pipe.Close())
	logText := func() string {
		data, err := os.ReadFile(logFile.Name())
		assert.NilError(t, err)
		return string(data)
	}
	testkit.Eventually(t, 20*time.Second, "the node has started and read its settings again", func() bool {
		select {
		case <-ended:
			t.Fatalf("the node has ended: %s", logText())
		default:
		}
		return strings.Contains(logText(), "settings read again")
	})
}
