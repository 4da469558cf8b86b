package cmd_test

import (
	"bufio"
	"net/http"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/testkit"
)

// TestQuickstart does what the README describes: it starts the program, makes both
// printed calls, opens the console and ends the program with SIGINT.
func TestQuickstart(t *testing.T) {
	qs := exec.Command(testkit.Binary(t), "quickstart")
	out, err := qs.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, qs.Start())
	kill := time.AfterFunc(eventuallyTimeout, func() { _ = qs.Process.Kill() })
	defer kill.Stop()
	printed := ""
	sc := bufio.NewScanner(out)
	for !strings.Contains(printed, "Ctrl-C") && sc.Scan() {
		printed += sc.Text() + "\n"
	}
	urls := regexp.MustCompile(`http://[0-9.:]+/\S*`).FindAllString(printed, -1)
	assert.Equal(t, len(urls), 4, printed)

	console, err := http.Get(urls[0])
	assert.NilError(t, err)
	_ = console.Body.Close()
	assert.Equal(t, console.StatusCode, http.StatusOK)
	lookup, err := http.Get(urls[2])
	assert.NilError(t, err)
	_ = lookup.Body.Close()
	assert.Equal(t, lookup.Header.Get("Lynxfold-Outcome"), "ran")
	booking, err := http.Post(urls[3], "text/plain", strings.NewReader("cube 17"))
	assert.NilError(t, err)
	_ = booking.Body.Close()
	assert.Equal(t, booking.Header.Get("Lynxfold-Outcome"), "ran")

	assert.NilError(t, qs.Process.Signal(syscall.SIGINT))
	assert.NilError(t, qs.Wait())
}
