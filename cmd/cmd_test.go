package cmd_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/cmd"
	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
	"lynxfold/testkit"
)

// script runs the command lines of one data file against a mesh of its own.
type script struct {
	dir  string
	mesh *testkit.Mesh
	// lastCall is the id of the latest call.
	lastCall string
}

// TestCommands runs the commands of each data file and compares their output.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata/commands", func(t *testing.T, path string) {
		sc := &script{dir: t.TempDir()}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "mesh":
		sc.start(t)
		return ""
	case "file":
		var name string
		td.ScanArgs(t, "name", &name)
		assert.NilError(t, os.WriteFile(filepath.Join(sc.dir, name), []byte(td.Input), 0o600))
		return ""
	case "platform":
		sc.platform(t, td)
		return ""
	case "call":
		return sc.call(t, strings.TrimSpace(td.Input))
	case "run":
		out := sc.command(strings.Fields(td.Input))
		if td.HasArg("first_line") {
			out, _, _ = strings.Cut(out, "\n")
		}
		return out
	}
	t.Fatalf("unknown command %s", td.Cmd)
	return ""
}

// start starts two hosts in two data centres and waits until each knows both upstreams.
func (sc *script) start(t *testing.T) {
	sc.mesh = testkit.StartMesh(t, testkit.MeshConfig{
		Hosts: []testkit.HostSpec{
			{
				ID:         "press-hall-1",
				DataCentre: "press-hall",
				Upstream:   upstreamstandin.Config{Name: "a", Service: "lookup", Slots: 4},
			},
			{
				ID:         "curing-room-1",
				DataCentre: "curing-room",
				Upstream:   upstreamstandin.Config{Name: "b", Service: "booking", Slots: 4},
			},
		},
	})
	for _, id := range []string{"press-hall-1", "curing-room-1"} {
		testkit.Eventually(t, 20*time.Second, id+" knows both upstreams", func() bool {
			_, page, err := fasthttp.Get(nil, "http://"+sc.mesh.Hosts[id].OperatorAddress+"/metrics")
			return err == nil && strings.Contains(string(page), "lynxfold_usable_upstreams 2\n")
		})
	}
}

func (sc *script) platform(t *testing.T, td *datadriven.TestData) {
	var fa platformstandin.Faults
	for _, ar := range td.CmdArgs {
		switch ar.Key {
		case "down":
			fa.Down = true
		case "lose_replies":
			fa.LoseReplies = 1
		case "late_writes":
			fa.LateWrites, fa.LateByMS = 1, 1500
		case "wait_late_writes":
			sc.mesh.Platform.WaitLateWrites()
		default:
			t.Fatalf("unknown fault %s", ar.Key)
		}
	}
	sc.mesh.Platform.SetFaults(fa)
}

// call makes a call through the first node and keeps its id as $CALL.
func (sc *script) call(t *testing.T, path string) string {
	resp, err := http.Get("http://" + sc.mesh.Hosts["press-hall-1"].CallerAddress + path)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	sc.lastCall = resp.Header.Get("Lynxfold-Call")
	assert.Assert(t, sc.lastCall != "")
	return fmt.Sprintf("%d %s %s\n", resp.StatusCode, resp.Header.Get("Lynxfold-Outcome"), resp.Header.Get("Lynxfold-Reason"))
}

// command runs one command line. $DIR is the directory of the files, $NODE the first
// node's console and $CALL the id of the latest call.
func (sc *script) command(args []string) string {
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "$DIR", sc.dir)
		args[i] = strings.ReplaceAll(args[i], "$CALL", sc.lastCall)
		if sc.mesh != nil {
			args[i] = strings.ReplaceAll(args[i], "$NODE", "http://"+sc.mesh.Hosts["press-hall-1"].OperatorAddress)
		}
	}
	var out, err bytes.Buffer
	status := cmd.Run(args, &out, &err)
	return fmt.Sprintf("exit %d\n", status) + sc.mask(out.String()) + section("stderr", sc.mask(err.String()))
}

func section(name, text string) string {
	if text == "" {
		return ""
	}
	return name + ":\n" + text
}

// masks replace what differs between runs.
var masks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{pattern: regexp.MustCompile(`\d{4}-\d\d-\d\d[ T]\d\d:\d\d:\d\d(\.\d+)?Z?`), replacement: "TIME"},
	{pattern: regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), replacement: "SUBMISSION"},
	{pattern: regexp.MustCompile(`127(\.\d+){3}:\d+`), replacement: "ADDRESS"},
	{pattern: regexp.MustCompile(`-1\.\d{15,}\.\d+`), replacement: "-1.INCARNATION.N"},
	{pattern: regexp.MustCompile(`\b[0-9a-f]{64}\b`), replacement: "DIGEST"},
	{pattern: regexp.MustCompile(`(?m)^in force on \d+ of .*\n`), replacement: ""},
	{pattern: regexp.MustCompile(`expected there: \d+\.\d\d of its slots in use, \d+ ms to wait, \d+ ms to run, (no load report|load report \d+ ms old)`), replacement: "EXPECTATION"},
	{pattern: regexp.MustCompile(`(hosts after|_after_ms":) [0-9.]+(ms|s|)`), replacement: "$1 DURATION"},
}

func (sc *script) mask(text string) string {
	text = strings.ReplaceAll(text, sc.dir, "$DIR")
	for _, ma := range masks {
		text = ma.pattern.ReplaceAllString(text, ma.replacement)
	}
	return text
}
