package cmd

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"lynxfold/io/operator"
)

// statusCommand prints a node's view of the mesh.
type statusCommand struct {
	streams
	client
	local bool
	hosts bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the data centres, hosts and versions in force" }

func (*statusCommand) Usage() string {
	return `lynxfold status [flags]

Asks a node what it knows of the mesh, and lets it ask every live host which
version it has in force.

Exit codes: 0 answered, 1 no node answers, 2 usage, 3 refused.

Examples:
  lynxfold status
  lynxfold status --hosts
  lynxfold status --local --node http://10.0.0.5:7403 --json

`
}

func (co *statusCommand) SetFlags(fs *flag.FlagSet) {
	co.registerFlags(fs)
	fs.BoolVar(&co.local, "local", false, "only what the node knows itself; no other host is asked")
	fs.BoolVar(&co.hosts, "hosts", false, "list every host")
}

func (co *statusCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 0 {
		_, _ = fmt.Fprintln(co.err, "status: takes no arguments")
		return exitUsage
	}
	if err := co.configure(); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	path := "/api/status?survey=yes"
	if co.local {
		path = "/api/status"
	}
	var st operator.Status
	if err := co.request(fasthttp.MethodGet, path, nil, &st); err != nil {
		return co.fail(co.streams, err)
	}
	if co.json {
		printJSON(co.out, st)
		return exitOK
	}
	co.print(st)
	return exitOK
}

func (co *statusCommand) print(st operator.Status) {
	_, _ = fmt.Fprintf(co.out, "host %s in %s has version %d in force", st.Host, st.DataCentre, st.Version)
	if st.Surveyed {
		_, _ = fmt.Fprintf(co.out, "; the oldest in force is %d", st.OldestVersion)
	}
	_, _ = fmt.Fprint(co.out, "\n\n")
	rows := [][]string{{"DATA CENTRE", "HOSTS", "VERSIONS IN FORCE", "READERS", ""}}
	for _, ce := range st.DataCentres {
		rows = append(rows, dataCentreRow(ce))
	}
	table(co.out, rows)
	_, _ = fmt.Fprintln(co.out)
	rows = [][]string{{"SERVICE", "USABLE UPSTREAMS"}}
	for _, se := range st.Services {
		rows = append(rows, []string{string(se.Service), strconv.Itoa(se.Upstreams)})
	}
	table(co.out, rows)
	co.printRollouts(st)
	co.printCustomers(st)
	for _, re := range st.RefusedVersions {
		name := "a version that cannot be read"
		if re.Version > 0 {
			name = fmt.Sprintf("version %d", re.Version)
		}
		_, _ = fmt.Fprintf(co.out, "\n%s was refused by host %s: %s\n", name, st.Host, re.Detail)
	}
	if co.hosts {
		co.printHosts(st)
	}
}

func (co *statusCommand) printRollouts(st operator.Status) {
	if len(st.Rollouts) == 0 {
		return
	}
	rows := [][]string{{"ROLL-OUT", "RELEASE", "PHASE", "WHY", "DECIDED BY", ""}}
	for _, rs := range st.Rollouts {
		confirmed := "not in the store yet"
		if rs.Confirmed {
			confirmed = ""
		}
		rows = append(rows, []string{
			string(rs.Service), string(rs.Release), rs.Phase,
			string(rs.Reason), string(rs.Coordinator), confirmed,
		})
	}
	_, _ = fmt.Fprintln(co.out)
	table(co.out, rows)
}

func (co *statusCommand) printCustomers(st operator.Status) {
	if len(st.Customers) == 0 {
		return
	}
	_, _ = fmt.Fprintln(co.out)
	rows := [][]string{{"CUSTOMER", "LIMIT/S", "BURST", "SERVED/S", "REFUSED/S", "QUOTA HOST", "SHARE BY HOST"}}
	for _, cs := range st.Customers {
		rows = append(rows, []string{
			string(cs.Customer),
			strconv.FormatFloat(cs.LimitPerSecond, 'f', -1, 64),
			strconv.FormatFloat(cs.Burst, 'f', -1, 64),
			strconv.FormatFloat(cs.ServedPerSecond, 'f', 1, 64),
			strconv.FormatFloat(cs.RefusedPerSecond, 'f', 1, 64),
			string(cs.QuotaHost),
			cs.DescribeShares(),
		})
	}
	table(co.out, rows)
}

func dataCentreRow(ce operator.DataCentreStatus) []string {
	readers := make([]string, 0, len(ce.Readers))
	for _, id := range ce.Readers {
		readers = append(readers, string(id))
	}
	separated := ""
	if ce.Separated {
		separated = "separated"
	}
	return []string{
		string(ce.DataCentre),
		ce.HostCounts(),
		ce.VersionCounts(),
		strings.Join(readers, " "),
		separated,
	}
}

func (co *statusCommand) printHosts(st operator.Status) {
	rows := [][]string{{"HOST", "DATA CENTRE", "STATE", "VERSION", "REFUSED", "LINK ADDRESS"}}
	for _, ce := range st.DataCentres {
		for _, ho := range ce.Hosts {
			ve, refused := "unknown", ""
			if ho.Answered || ho.Version > 0 {
				ve = strconv.FormatUint(uint64(ho.Version), 10)
			}
			if ho.RefusedVersion > 0 {
				refused = strconv.FormatUint(uint64(ho.RefusedVersion), 10)
			}
			rows = append(rows, []string{string(ho.Host), string(ce.DataCentre), string(ho.Status), ve, refused, ho.Address})
		}
	}
	_, _ = fmt.Fprintln(co.out)
	table(co.out, rows)
}
