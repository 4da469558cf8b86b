package cmd

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/io/operator"
)

// applyCommand submits a document and waits until it is in force everywhere.
type applyCommand struct {
	streams
	client
	base       string
	submission string
	timeout    time.Duration
	noWait     bool

	deadline time.Time
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "put a configuration document in force" }

func (*applyCommand) Usage() string {
	return `lynxfold apply [flags] FILE

Has a document accepted as the next version and waits until it is in force on
every host that answers. A lost reply is resolved by asking again with the same
submission id, which can't have the document accepted twice.

--base says which version the document was made from; when another version has
been accepted since, nothing is changed and the differing fields are printed.
Without it the document replaces whatever is in force.

Exit codes: 0 in force everywhere, 1 no node answers, 2 usage, 3 refused,
4 conflict, 5 in doubt, 6 accepted but not in force everywhere in time.

Examples:
  lynxfold apply mesh.json
  lynxfold apply --node https://10.0.0.5:7403 --ca-file ca.pem --base 41 mesh.json
  lynxfold apply --base 41 --submission 7d0c... mesh.json

`
}

func (co *applyCommand) SetFlags(fs *flag.FlagSet) {
	co.registerFlags(fs)
	fs.StringVar(&co.base, "base", "", "`version` that the document was made from; the one in force when empty")
	fs.StringVar(&co.submission, "submission", "", "`id` of an earlier submission, to ask what became of it")
	fs.DurationVar(&co.timeout, "timeout", time.Minute, "longest wait in all")
	fs.BoolVar(&co.noWait, "no-wait", false, "stop when the version is accepted")
}

// applyResult is the JSON form of a successful apply.
type applyResult struct {
	Version    contract.Version `json:"version"`
	Submission string           `json:"submission"`
	// Everywhere reports whether every live host has the version in force.
	Everywhere bool `json:"everywhere"`
	// EverywhereAfterMS is the time in milliseconds from the acceptance until the version
	// was seen in force everywhere.
	EverywhereAfterMS int64 `json:"everywhere_after_ms"`
}

func (co *applyCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		_, _ = fmt.Fprintln(co.err, "apply: name one file")
		return exitUsage
	}
	if _, err := parseBase(co.base); err != nil {
		_, _ = fmt.Fprintf(co.err, "apply: --base %s is not a version\n", co.base)
		return exitUsage
	}
	if co.submission != "" && co.base == "" {
		_, _ = fmt.Fprintln(co.err, "apply: --submission needs the --base that it was sent with")
		return exitUsage
	}
	doc, err := readDocument(fs.Arg(0))
	if err != nil {
		printValidationErrors(co.streams, err)
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			return exitFailure
		}
		return exitRefused
	}
	if err := co.configure(); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	co.deadline = time.Now().Add(co.timeout)
	return co.apply(doc, fs.Arg(0))
}

func (co *applyCommand) apply(doc *contract.Document, file string) subcommands.ExitStatus {
	base, err := co.baseVersion()
	if err != nil {
		return co.fail(co.streams, err)
	}
	id := co.submission
	if id == "" {
		id = uuid.NewString()
	}
	ve, err := co.submit(operator.ConfigBody{
		Version:    base,
		Document:   doc.Encode(),
		Submission: id,
	})
	if err != nil {
		status := co.fail(co.streams, err)
		if status == exitInDoubt && !co.json {
			_, _ = fmt.Fprintf(co.err, "ask again with: lynxfold apply --base %d --submission %s %s\n", base, id, file)
		}
		return status
	}
	if !co.json {
		_, _ = fmt.Fprintf(co.out, "version %d accepted\n", ve)
	}
	acceptedAt := time.Now()
	everywhere := co.noWait || co.waitEverywhere(ve, acceptedAt)
	if co.json {
		re := applyResult{
			Version:    ve,
			Submission: id,
			Everywhere: everywhere && !co.noWait,
		}
		if re.Everywhere {
			re.EverywhereAfterMS = time.Since(acceptedAt).Milliseconds()
		}
		printJSON(co.out, re)
	}
	if !everywhere {
		return exitNotEverywhere
	}
	return exitOK
}

func (co *applyCommand) baseVersion() (contract.Version, error) {
	if co.base != "" {
		return parseBase(co.base)
	}
	var current operator.ConfigBody
	err := co.request(fasthttp.MethodGet, "/api/config", nil, &current)
	return current.Version, err
}

// parseBase parses a version; an empty one is 0.
func parseBase(text string) (contract.Version, error) {
	if text == "" {
		return 0, nil
	}
	ve, err := strconv.ParseUint(text, 10, 64)
	return contract.Version(ve), err
}

// pollInterval is the time between two requests about the same submission or version.
const pollInterval = 250 * time.Millisecond

// submit sends the document until its outcome is known or the deadline has passed.
func (co *applyCommand) submit(body operator.ConfigBody) (contract.Version, error) {
	mayBeAccepted := false
	for {
		var accepted operator.ConfigBody
		err := co.request(fasthttp.MethodPost, "/api/config", body, &accepted)
		if err == nil {
			return accepted.Version, nil
		}
		if !co.shouldRetry(err, mayBeAccepted) {
			return 0, inDoubtError(err, mayBeAccepted, body)
		}
		mayBeAccepted = mayBeAccepted || mayHaveTakenEffect(err)
		time.Sleep(pollInterval)
	}
}

// shouldRetry reports whether sending the same submission again may have another outcome.
func (co *applyCommand) shouldRetry(err error, mayBeAccepted bool) bool {
	if time.Now().After(co.deadline) {
		return false
	}
	var pe *ProblemError
	if !errors.As(err, &pe) {
		return mayBeAccepted || !isDialError(err)
	}
	switch pe.Problem.Reason {
	case operator.ReasonInDoubt, operator.ReasonBehind:
		return true
	case operator.ReasonUnavailable:
		return mayBeAccepted
	}
	return false
}

// mayHaveTakenEffect reports whether the request may have been carried out.
func mayHaveTakenEffect(err error) bool {
	var pe *ProblemError
	if errors.As(err, &pe) {
		return pe.Problem.Reason == operator.ReasonInDoubt
	}
	return !isDialError(err)
}

// isDialError reports whether no connection to the node could be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial")
}

// inDoubtError returns an in_doubt problem when an earlier request may have been
// accepted and the last error leaves that open; otherwise it returns the last error.
func inDoubtError(err error, mayBeAccepted bool, body operator.ConfigBody) error {
	var pe *ProblemError
	known := errors.As(err, &pe) && pe.Problem.Reason != operator.ReasonUnavailable
	if known || !mayBeAccepted {
		return err
	}
	return &ProblemError{
		Problem: operator.Problem{
			Reason:     operator.ReasonInDoubt,
			Detail:     err.Error(),
			Submission: body.Submission,
		},
	}
}

// waitEverywhere prints the progress until every live host has answered that it has a
// version in force.
func (co *applyCommand) waitEverywhere(ve contract.Version, acceptedAt time.Time) bool {
	last := ""
	for {
		var st operator.Status
		err := co.request(fasthttp.MethodGet, "/api/status?survey=yes", nil, &st)
		line := "no node answers"
		if err == nil {
			pr := countProgress(st, ve)
			if pr.complete() {
				co.printProgress("", fmt.Sprintf("in force on all %s after %s", plural(pr.hosts, "host"), time.Since(acceptedAt).Round(time.Millisecond)))
				return true
			}
			line = pr.String()
		}
		last = co.printProgress(last, line)
		if time.Now().After(co.deadline) {
			_, _ = fmt.Fprintf(co.err, "version %d is accepted and not yet in force everywhere; lynxfold status shows where\n", ve)
			return false
		}
		time.Sleep(pollInterval)
	}
}

func (co *applyCommand) printProgress(last, line string) string {
	if line != last && !co.json {
		_, _ = fmt.Fprintln(co.out, line)
	}
	return line
}

// progress counts the live hosts, and those that have a version in force or did not
// answer.
type progress struct {
	hosts      int
	inForce    int
	unanswered int
}

func countProgress(st operator.Status, ve contract.Version) progress {
	var pr progress
	for _, ce := range st.DataCentres {
		for _, ho := range ce.Hosts {
			if ho.Status != operator.HostAlive {
				continue
			}
			pr.hosts++
			switch {
			case !ho.Answered:
				pr.unanswered++
			case ho.Version >= ve:
				pr.inForce++
			}
		}
	}
	return pr
}

func (pr progress) complete() bool { return pr.hosts > 0 && pr.inForce == pr.hosts }

func (pr progress) String() string {
	return fmt.Sprintf("in force on %d of %s, %d without an answer", pr.inForce, plural(pr.hosts, "host"), pr.unanswered)
}

func plural(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
