package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/io/platform"
	"lynxfold/io/platform/standin"
)

func newVersions(t *testing.T) (*platform.Versions, *standin.Server) {
	t.Helper()
	cl, sv := newClient(t)
	return platform.NewVersions(cl), sv
}

func newClient(t *testing.T) (*platform.Client, *standin.Server) {
	t.Helper()
	sv := standin.New()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = sv.Serve(li) }()
	t.Cleanup(func() { _ = sv.Shutdown() })
	url := "http://" + li.Addr().String()
	cl := platform.NewClient(platform.Config{
		TableURL:  url,
		ObjectURL: url,
		Timeout:   time.Second,
	})
	t.Cleanup(cl.Close)
	return cl, sv
}

func submission(id string) platform.Submission {
	return platform.Submission{
		ID:       id,
		Operator: "eszter",
		Base:     contract.EmptySnapshot(),
		Document: &contract.Document{
			Services: []contract.Service{{Name: contract.ServiceName("svc-" + id)}},
		},
	}
}

func TestAcceptThenRead(t *testing.T) {
	vs, _ := newVersions(t)
	de, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	deltas, snapshot, _, err := vs.Since(context.Background(), platform.ChangeQuery{})
	assert.NilError(t, err)
	assert.Assert(t, snapshot == nil)
	assert.DeepEqual(t, deltas, []*contract.Delta{de})
}

func TestAcceptRaceHasOneWinner(t *testing.T) {
	vs, _ := newVersions(t)
	_, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	_, err = vs.Accept(submission("b"))
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Version, contract.Version(1))
	assert.Equal(t, conflict.Operator, "eszter")
	var paths []string
	for _, di := range conflict.Fields {
		paths = append(paths, di.Path)
	}
	assert.DeepEqual(t, paths, []string{"services[svc-a].name", "services[svc-b].name"})
}

func TestAcceptResolvesLostResponse(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{LoseReplies: 1})
	_, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	assert.Equal(t, sv.Counts().Writes, int64(1))
}

func TestAcceptWhilePlatformIsDown(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{Down: true})
	_, err := vs.Accept(submission("a"))
	var unavailable *platform.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.Equal(t, len(sv.Rows("config/")), 0)
}

// TestAcceptIsUnavailableIfDocumentWriteTimesOut lets the write of the document time out.
// The result is not in doubt, since no version row has been written.
func TestAcceptIsUnavailableIfDocumentWriteTimesOut(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{DelayMS: 1500})
	_, err := vs.Accept(submission("a"))
	var inDoubt *platform.InDoubtError
	assert.Assert(t, !errors.As(err, &inDoubt), "%v", err)
	assert.Assert(t, errors.HasType(err, &platform.UnavailableError{}), "%v", err)
	assert.Equal(t, len(sv.Rows("config/")), 0)
}

// TestLateAcceptIsInDoubtUntilApplied repeats a submission whose first write got no
// response and was applied later.
func TestLateAcceptIsInDoubtUntilApplied(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{LateWrites: 1, LateByMS: 200})
	_, err := vs.Accept(submission("a"))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
	sv.WaitLateWrites()
	de, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	assert.Equal(t, de.Result, contract.Version(1))
	assert.Equal(t, len(sv.Rows("config/versions/")), 1)
}

// TestLateAcceptLosesRace accepts a second submission while the write of the first is
// delayed; the first then fails with a conflict.
func TestLateAcceptLosesRace(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{LateWrites: 1, LateByMS: 200})
	_, err := vs.Accept(submission("a"))
	assert.Assert(t, errors.HasType(err, &platform.InDoubtError{}), "%v", err)
	_, err = vs.Accept(submission("b"))
	assert.NilError(t, err)
	sv.WaitLateWrites()
	_, err = vs.Accept(submission("a"))
	assert.Assert(t, errors.HasType(err, &platform.ConflictError{}), "%v", err)
	row, err := vs.Row(context.Background(), 1)
	assert.NilError(t, err)
	assert.Equal(t, row.Submission, "b")
}
