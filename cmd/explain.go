package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"lynxfold/io/operator"
)

// explainCommand prints the recorded decisions about a version, a call or a host.
type explainCommand struct {
	streams
	client
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell why a version, call or host is as it is" }

func (*explainCommand) Usage() string {
	return `lynxfold explain [flags] version NUMBER | call ID | host ID | latest

Prints the decisions that a node remembers about a version, a call or a host.
Each node remembers only its own latest decisions: ask the node that a call came
in at, and any node about a host. The Lynxfold-Call header of every answer names
the call.

Exit codes: 0 something is remembered, 1 no node answers, 2 usage, 3 refused or
nothing is remembered.

Examples:
  lynxfold explain version 42
  lynxfold explain host curing-room-1
  lynxfold explain --node http://10.0.0.5:7403 call press-hall-1.1764799200.17
  lynxfold explain latest

`
}

func (co *explainCommand) SetFlags(fs *flag.FlagSet) { co.registerFlags(fs) }

func (co *explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := explainPath(fs.Args())
	if !ok {
		_, _ = fmt.Fprintln(co.err, "explain: name version NUMBER, call ID, host ID or latest")
		return exitUsage
	}
	if err := co.configure(); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	var body operator.ExplainBody
	if err := co.request(fasthttp.MethodGet, path, nil, &body); err != nil {
		return co.fail(co.streams, err)
	}
	if co.json {
		printJSON(co.out, body)
	} else {
		co.print(body, strings.Join(fs.Args(), " "))
	}
	if len(body.Entries) == 0 {
		return exitRefused
	}
	return exitOK
}

func explainPath(args []string) (string, bool) {
	if len(args) == 1 && args[0] == "latest" {
		return "/api/explain", true
	}
	if len(args) != 2 {
		return "", false
	}
	switch args[0] {
	case operator.SubjectVersion, operator.SubjectCall, operator.SubjectHost:
		return "/api/explain/" + args[0] + "/" + url.PathEscape(args[1]), true
	}
	return "", false
}

func (co *explainCommand) print(body operator.ExplainBody, what string) {
	if len(body.Entries) == 0 {
		since := "nothing yet"
		if !body.Since.IsZero() {
			since = "back to " + formatTime(body.Since)
		}
		_, _ = fmt.Fprintf(co.out, "host %s remembers nothing about %s; its record holds %s\n", body.Host, what, since)
		return
	}
	_, _ = fmt.Fprintf(co.out, "what host %s remembers:\n", body.Host)
	rows := make([][]string, 0, len(body.Entries))
	for _, en := range body.Entries {
		rows = append(rows, []string{formatTime(en.At), en.Summary()})
	}
	table(co.out, rows)
}

func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05.000") }
