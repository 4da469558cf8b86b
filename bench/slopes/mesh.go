package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lynxfold/testkit"
)

// benchTB is a testing.TB for programs, so that they can use testkit to run real
// processes. A failure panics.
type benchTB struct {
	testing.TB
	cleanups []func()
}

// MeshError reports a failure of the mesh under measurement.
type MeshError struct {
	Detail string
}

func (er *MeshError) Error() string { return er.Detail }

func (*benchTB) Helper()                    {}
func (*benchTB) Log(args ...any)            { _, _ = fmt.Fprintln(os.Stderr, args...) }
func (*benchTB) FailNow()                   { panic(&MeshError{Detail: "mesh failed"}) }
func (tb *benchTB) Cleanup(cleanup func())  { tb.cleanups = append(tb.cleanups, cleanup) }
func (*benchTB) Fatalf(fo string, a ...any) { panic(&MeshError{Detail: fmt.Sprintf(fo, a...)}) }

// TempDir creates a directory that a cleanup function removes.
func (tb *benchTB) TempDir() string {
	dir, err := os.MkdirTemp("", "lynxfold-slopes-")
	if err != nil {
		panic(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// withMesh starts a mesh, runs a function against it and stops the mesh.
func withMesh(cfg testkit.MeshConfig, use func(me *testkit.Mesh)) {
	tb := &benchTB{}
	defer func() {
		for i := len(tb.cleanups) - 1; i >= 0; i-- {
			tb.cleanups[i]()
		}
	}()
	use(testkit.StartMesh(tb, cfg))
}

// sumMetric returns the sum over all series of a metric of a node.
func sumMetric(ho *testkit.Host, name string) float64 {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+ho.OperatorAddress+"/metrics", 5*time.Second)
	if err != nil {
		panic(err)
	}
	sum := 0.0
	for line := range strings.Lines(string(body)) {
		series, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || (series != name && !strings.HasPrefix(series, name+"{")) {
			continue
		}
		va, err := strconv.ParseFloat(value, 64)
		if err != nil {
			panic(err)
		}
		sum += va
	}
	return sum
}
