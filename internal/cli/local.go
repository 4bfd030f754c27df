package cli

import (
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/quickstart"
	"github.com/dotterellink/dotterellink/internal/telemetry"
)

type quickstartCommand struct {
	*App
	Listen   string `long:"listen" description:"address for callers" value-name:"IP:PORT" default:"127.0.0.1:8080"`
	LogLevel string `long:"log-level" description:"least level of log messages" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
}

// Execute implements flags.Commander.
func (c *quickstartCommand) Execute([]string) error {
	logger, err := telemetry.NewLogger(c.errOut, c.LogLevel, "text")
	if err != nil {
		return err
	}
	return quickstart.Run(c.ctx, c.Listen, c.out, logger)
}

type versionCommand struct{ *App }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.out, "dotterellink "+version())
	return nil
}

// version returns the module version, or the commit of a local build.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

type completionCommand struct {
	*App
	Args struct {
		Shell string `positional-arg-name:"SHELL" description:"bash or zsh" required:"yes"`
	} `positional-args:"yes"`
}

const bashCompletion = `_dotterellink() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _dotterellink dotterellink
`

const zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	switch c.Args.Shell {
	case "bash":
		fmt.Fprint(c.out, bashCompletion)
	case "zsh":
		fmt.Fprint(c.out, zshCompletion)
	default:
		return merry.Wrap(ErrUsage, merry.AppendMessage("shell must be bash or zsh"))
	}
	return nil
}
