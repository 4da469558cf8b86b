package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lynxfold/io/operator"
)

// applyCommand has a document accepted.
type applyCommand struct {
	streams
	node string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put a configuration document in force" }

func (*applyCommand) Usage() string {
	return `lynxfold apply --node URL FILE

Has a document accepted as the next version.

Example:
  lynxfold apply --node http://127.0.0.1:7403 mesh.json

`
}

func (co *applyCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.node, "node", "http://127.0.0.1:7403", "`URL` of a node's console")
}

func (co *applyCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		_, _ = fmt.Fprintln(co.err, "apply: one file is needed")
		return exitUsage
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	var current operator.ConfigBody
	if err := request(fasthttp.MethodGet, co.node+"/api/config", nil, &current); err != nil {
		return co.fail(err)
	}
	accepted := operator.ConfigBody{}
	err = request(fasthttp.MethodPost, co.node+"/api/config", operator.ConfigBody{
		Version:    current.Version,
		Document:   data,
		Submission: uuid.NewString(),
	}, &accepted)
	if err != nil {
		return co.fail(err)
	}
	_, _ = fmt.Fprintf(co.out, "version %d accepted\n", accepted.Version)
	return exitOK
}

// fail prints an error and chooses the exit code that fits.
func (co *applyCommand) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(co.err, err)
	var pe *ProblemError
	if !errors.As(err, &pe) {
		return exitFailure
	}
	switch pe.Problem.Reason {
	case operator.ReasonConflict:
		return exitConflict
	case operator.ReasonInDoubt:
		return exitInDoubt
	}
	return exitRefused
}
