// Command lynxfold distributes the configuration of a service mesh and carries
// the mesh's calls.
package main

import (
	"os"

	"lynxfold/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
