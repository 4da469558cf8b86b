package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"lynxfold/core/contract"
)

// checkCommand validates a document without contacting a node.
type checkCommand struct {
	streams
	json bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a configuration document without a mesh" }

func (*checkCommand) Usage() string {
	return `lynxfold check [--json] FILE

Checks a configuration document and prints every fault in it. It asks no node.

Exit codes: 0 valid, 1 the file can't be read, 2 usage, 3 the document has faults.

Examples:
  lynxfold check mesh.json
  lynxfold check --json mesh.json

`
}

func (co *checkCommand) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&co.json, "json", false, "print JSON")
}

// checkResult is the JSON form of a check.
type checkResult struct {
	Valid  bool                  `json:"valid"`
	Detail string                `json:"detail,omitempty"`
	Fields []contract.FieldError `json:"fields"`
}

func (co *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		_, _ = fmt.Fprintln(co.err, "check: name one file")
		return exitUsage
	}
	_, err := readDocument(fs.Arg(0))
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	co.print(err)
	if err != nil {
		return exitRefused
	}
	return exitOK
}

func (co *checkCommand) print(err error) {
	var invalid *contract.ValidationError
	if co.json {
		re := checkResult{
			Valid:  err == nil,
			Fields: []contract.FieldError{},
		}
		switch {
		case errors.As(err, &invalid):
			re.Fields = invalid.Fields
		case err != nil:
			re.Detail = err.Error()
		}
		printJSON(co.out, re)
		return
	}
	printValidationErrors(co.streams, err)
	if err == nil {
		_, _ = fmt.Fprintln(co.out, "document is valid")
	}
}

// printValidationErrors prints each validation error of a document on its own line.
func printValidationErrors(st streams, err error) {
	var invalid *contract.ValidationError
	if errors.As(err, &invalid) {
		for i := range invalid.Fields {
			_, _ = fmt.Fprintln(st.err, invalid.Fields[i].Error())
		}
		return
	}
	if err != nil {
		_, _ = fmt.Fprintln(st.err, err)
	}
}

// readDocument reads and validates a document from a file.
func readDocument(file string) (*contract.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := contract.ParseDocument(data)
	if err != nil {
		return nil, err
	}
	return doc, doc.Validate()
}
