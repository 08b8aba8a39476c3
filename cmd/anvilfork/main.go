// Command anvilfork is the command-line tool for operators and callers. The
// commands are in package cli.
package main

import (
	"os"

	"github.com/anvilfork/anvilfork/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
