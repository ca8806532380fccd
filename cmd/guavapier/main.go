// Command guavapier is a router fleet for prepaid token budgets.
package main

import (
	"os"

	"guavapier/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
