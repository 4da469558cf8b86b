package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"lynxfold/io/operator"
)

// statusCommand shows what a node knows of the mesh.
type statusCommand struct {
	streams
	node string
	json bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show what a node knows of the mesh" }

func (*statusCommand) Usage() string {
	return `lynxfold status --node URL [--json]

Shows the version in force on a node and the usable upstreams of each service.

Example:
  lynxfold status --node http://127.0.0.1:7403

`
}

func (co *statusCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.node, "node", "http://127.0.0.1:7403", "`URL` of a node's console")
	fs.BoolVar(&co.json, "json", false, "print JSON")
}

func (co *statusCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var st operator.Status
	if err := request(fasthttp.MethodGet, co.node+"/api/status", nil, &st); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	if co.json {
		en := json.NewEncoder(co.out)
		en.SetIndent("", "  ")
		if err := en.Encode(st); err != nil {
			return exitFailure
		}
		return exitOK
	}
	_, _ = fmt.Fprintf(co.out, "host %s in %s: version %d in force\n", st.Host, st.DataCentre, st.Version)
	for _, se := range st.Services {
		_, _ = fmt.Fprintf(co.out, "  %-24s %d upstreams\n", se.Service, se.Upstreams)
	}
	return exitOK
}
