// Command dotterellink is the command-line tool of operators and testers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dotterellink/dotterellink/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
