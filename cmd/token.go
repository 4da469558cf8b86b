package cmd

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"lynxfold/io/operator/access"
)

// tokenCommand creates an operator's token.
type tokenCommand struct {
	streams
	role string
}

func (*tokenCommand) Name() string { return "token" }
func (*tokenCommand) Synopsis() string {
	return "make an operator's token and its line for the settings"
}

func (*tokenCommand) Usage() string {
	return `lynxfold token [--role read|change] NAME

Makes a random token for an operator. The token is shown once and kept nowhere;
the settings hold only the line with its digest.

Exit codes: 0 made, 2 usage.

Examples:
  lynxfold token ana
  lynxfold token --role read dashboard

`
}

func (co *tokenCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.role, "role", string(access.RoleChange), "what the operator may do: read or change")
}

func (co *tokenCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	secret := access.NewSecret()
	to, err := access.ParseToken(fmt.Sprintf("%s %s %x", fs.Arg(0), co.role, access.DigestOf(secret)))
	if err != nil || fs.NArg() != 1 {
		_, _ = fmt.Fprintln(co.err, "token: name one operator in lower-case letters, digits and hyphens, and --role read or change")
		return exitUsage
	}
	_, _ = fmt.Fprintf(co.out, "token     %s\nsettings  tokens = %s\n", secret, to)
	return exitOK
}
