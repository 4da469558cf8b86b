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
		Base:     contract.Empty(),
		Document: &contract.Document{
			Services: []contract.Service{{Name: contract.ServiceName("svc-" + id)}},
		},
	}
}

func TestAcceptThenRead(t *testing.T) {
	vs, _ := newVersions(t)
	de, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	deltas, whole, _, err := vs.Since(context.Background(), 0, "")
	assert.NilError(t, err)
	assert.Assert(t, whole == nil)
	assert.DeepEqual(t, deltas, []*contract.Delta{de})
}

func TestAcceptRaceHasOneWinner(t *testing.T) {
	vs, _ := newVersions(t)
	_, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	_, err = vs.Accept(submission("b"))
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
}

func TestAcceptLostReplyIsResolved(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{LoseReplies: 1})
	_, err := vs.Accept(submission("a"))
	assert.NilError(t, err)
	assert.Equal(t, sv.Counts().Writes, int64(1))
}

func TestAcceptWhileDownIsRefused(t *testing.T) {
	vs, sv := newVersions(t)
	sv.SetFaults(standin.Faults{Down: true})
	_, err := vs.Accept(submission("a"))
	var unavailable *platform.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.Equal(t, len(sv.Rows("config/")), 0)
}
