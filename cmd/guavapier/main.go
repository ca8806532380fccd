// Command guavapier runs an instance of a fleet of routers that spend prepaid token
// budgets, and holds the tools to operate, load and inspect the fleet.
package main

import (
	"os"

	"guavapier/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
