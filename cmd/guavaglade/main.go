// Command guavaglade places multi-accelerator jobs under client account
// guarantees.
package main

import (
	"os"

	"guavaglade.example/guavaglade/internal/operator/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
