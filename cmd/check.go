package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"lynxfold/core/contract"
)

// checkCommand checks a document without a mesh.
type checkCommand struct {
	streams
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a configuration document" }

func (*checkCommand) Usage() string {
	return `lynxfold check FILE

Checks a configuration document and prints every fault in it.

Example:
  lynxfold check mesh.json

`
}

func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (co *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		_, _ = fmt.Fprintln(co.err, "check: one file is needed")
		return exitUsage
	}
	data, err := os.ReadFile(fs.Arg(0))
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	doc, err := contract.ParseDocument(data)
	if err == nil {
		err = doc.Validate()
	}
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitRefused
	}
	_, _ = fmt.Fprintln(co.out, "document is valid")
	return exitOK
}
