package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
)

// Exit codes of the tool.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotAllowed  = 3
	ExitInvalid     = 4
	ExitConflict    = 5
	ExitUnavailable = 6
	ExitUnknown     = 7
	ExitNotFound    = 8
	ExitMissed      = 9
)

// globalOptions are the options of every command.
type globalOptions struct {
	Address   []string `short:"a" long:"address" env:"DOTTERELLINK_ADDRESS" env-delim:"," description:"operator address of an instance; may be repeated" value-name:"IP:PORT" default:"127.0.0.1:8081"`
	Token     string   `long:"token" env:"DOTTERELLINK_TOKEN" description:"the operator's token" value-name:"TOKEN"`
	TokenFile string   `long:"token-file" env:"DOTTERELLINK_TOKEN_FILE" description:"file that holds the token" value-name:"FILE"`
	Output    string   `short:"o" long:"output" description:"form of the output" choice:"table" choice:"json" default:"table"`
}

// App is one run of the tool.
type App struct {
	ctx    context.Context
	global globalOptions
	out    io.Writer
	errOut io.Writer
}

// Run parses arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := &App{ctx: ctx, out: out, errOut: errOut}
	parser := app.parser()
	_, err := parser.ParseArgs(args)
	return app.finish(err)
}

func (a *App) finish(err error) int {
	var flagErr *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(a.errOut, "dotterellink: "+flagErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.errOut, "dotterellink: "+err.Error())
	return exitCode(err)
}

func exitCode(err error) int {
	for _, rule := range []struct {
		sentinel error
		code     int
	}{
		{ErrUsage, ExitUsage},
		{ErrNotAllowed, ExitNotAllowed},
		{ErrInvalid, ExitInvalid},
		{ErrConflict, ExitConflict},
		{ErrUnavailable, ExitUnavailable},
		{ErrUnknown, ExitUnknown},
		{ErrNotFound, ExitNotFound},
		{ErrMissed, ExitMissed},
	} {
		if errors.Is(err, rule.sentinel) {
			return rule.code
		}
	}
	return ExitFailed
}

// command is one leaf of the command tree.
type command struct {
	name        string
	description string
	data        any
}

func (a *App) parser() *flags.Parser {
	parser := flags.NewNamedParser("dotterellink", flags.HelpFlag|flags.PassDoubleDash)
	mustAdd(parser.AddGroup("Global options", "", &a.global))
	for _, c := range a.topCommands() {
		mustAdd(parser.AddCommand(c.name, c.description, c.description, c.data))
	}
	for _, g := range a.groups() {
		group, err := parser.AddCommand(g.name, g.description, g.description, &struct{}{})
		mustAdd(group, err)
		for _, c := range g.commands {
			mustAdd(group.AddCommand(c.name, c.description, c.description, c.data))
		}
	}
	return parser
}

// mustAdd panics on mistakes in the command tree, which every run would show.
func mustAdd(_ any, err error) {
	if err != nil {
		panic(err)
	}
}

type commandGroup struct {
	name        string
	description string
	commands    []command
}

func (a *App) topCommands() []command {
	return []command{
		{"status", "Show the instance that is asked and the others it sees.", &statusCommand{a}},
		{"replay", "Send the requests of a trace and judge the outcomes.", &replayCommand{App: a}},
		{"trace", "Generate a trace and print it.", &traceCommand{App: a}},
		{"quickstart", "Serve one instance with embedded stand-ins in this process.", &quickstartCommand{App: a}},
		{"completion", "Print the completion script of a shell.", &completionCommand{App: a}},
		{"version", "Print the version.", &versionCommand{a}},
	}
}

func (a *App) groups() []commandGroup {
	return []commandGroup{
		{"environment", "Validate, try, promote and inspect the document.", []command{
			{"validate", "Check a document without an instance.", &validateCommand{App: a}},
			{"trial", "Try a document and report what would change.", &trialCommand{App: a}},
			{"promote", "Put a tried document in force.", &promoteCommand{App: a}},
			{"show", "Show the document in force.", &showCommand{a}},
			{"diff", "Compare a document with the one in force.", &diffCommand{App: a}},
			{"history", "List accepted changes.", &historyCommand{a}},
		}},
		{"configuration", "Check the configuration of a gateway.", []command{
			{"check", "Check a configuration before it is written to the platform's store.", &checkCommand{App: a}},
		}},
		{"key", "Create, list and withdraw keys of callers.", []command{
			{"create", "Create a key; it is shown once.", &keyCreateCommand{App: a}},
			{"list", "List keys.", &keyListCommand{a}},
			{"withdraw", "Withdraw a key.", &keyWithdrawCommand{App: a}},
		}},
		{"target", "List targets, let them leave and return.", []command{
			{"list", "List targets.", &targetListCommand{a}},
			{"leave", "Give a target no new work.", &targetLeaveCommand{App: a}},
			{"return", "Give a target work again.", &targetReturnCommand{App: a}},
		}},
		{"zone", "List availability zones, take them out and back in.", []command{
			{"list", "List availability zones.", &zoneListCommand{a}},
			{"out", "Give an availability zone no new work.", &zoneOutCommand{App: a}},
			{"return", "Give an availability zone work again.", &zoneReturnCommand{App: a}},
		}},
		{"model", "Inspect models and adapters.", []command{
			{"list", "List models and adapters with the targets that hold them.", &modelListCommand{a}},
		}},
		{"account", "Inspect client accounts.", []command{
			{"list", "List client accounts.", &accountListCommand{a}},
			{"shares", "List who holds which part of the accounts.", &shareListCommand{a}},
			{"release", "Free the shares of a process that has certainly ended.", &shareReleaseCommand{App: a}},
		}},
	}
}

func (a *App) client() (*client, error) {
	token := a.global.Token
	if token == "" && a.global.TokenFile != "" {
		data, err := os.ReadFile(a.global.TokenFile)
		if err != nil {
			return nil, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, merry.Wrap(ErrUsage, merry.AppendMessage("no token; set --token, --token-file or DOTTERELLINK_TOKEN"))
	}
	return newClient(a.global.Address, token), nil
}

// table is the human form of an answer.
type table struct {
	header []string
	rows   [][]string
}

// print writes the answer as JSON or as the table.
func (a *App) print(answer any, t table) error {
	if a.global.Output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		fmt.Fprintln(w, strings.Join(t.header, "\t"))
	}
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// show gets the resource at path and prints it.
func show[T any](a *App, path string, toTable func(*T) table) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var answer T
	if err := c.get(a.ctx, path, &answer); err != nil {
		return err
	}
	return a.print(&answer, toTable(&answer))
}

// change makes a change and prints its answer.
func change[T any](a *App, method, path string, body any, toTable func(*T) table) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var answer T
	if err := c.send(a.ctx, method, path, body, &answer); err != nil {
		return err
	}
	return a.print(&answer, toTable(&answer))
}
