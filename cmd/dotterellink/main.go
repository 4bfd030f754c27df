// Command dotterellink is the command-line tool of operators and testers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/dotterellink/dotterellink/internal/quickstart"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type quickstartCommand struct {
	Listen   string `long:"listen" description:"address for callers" value-name:"IP:PORT" default:"127.0.0.1:8080"`
	LogLevel string `long:"log-level" description:"debug, info, warn or error" default:"info"`
}

// Execute implements flags.Commander.
func (c *quickstartCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, err := telemetry.NewLogger(os.Stderr, c.LogLevel, "text")
	if err != nil {
		return err
	}
	return quickstart.Run(ctx, c.Listen, os.Stdout, logger)
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	description := "Serve one instance with embedded stand-ins in this process."
	if _, err := parser.AddCommand("quickstart", description, description, &quickstartCommand{}); err != nil {
		panic(err)
	}
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
