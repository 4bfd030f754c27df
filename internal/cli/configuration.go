package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/configcheck"
	"github.com/dotterellink/dotterellink/platform"
)

// stdinName is the name by which standard input is given as a file.
const stdinName = "-"

type checkCommand struct {
	*App
	InForce string `long:"in-force" description:"configuration in force, as read from the store; differences to it are listed" value-name:"FILE"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"configuration, JSON; - for standard input" required:"yes"`
	} `positional-args:"yes"`
}

// checkAnswer is the JSON form of the findings.
type checkAnswer struct {
	Findings []configcheck.Finding `json:"findings"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Notes    int                   `json:"notes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.Args.File == stdinName && c.InForce == stdinName {
		return merry.Wrap(ErrUsage, merry.AppendMessage("only one of the files can be standard input"))
	}
	candidate, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = readConfiguration(c.InForce); err != nil {
			return err
		}
	}
	answer := checkAnswer{Findings: []configcheck.Finding{}}
	answer.Findings = append(answer.Findings, platform.CheckConfig(candidate, inForce)...)
	t := table{header: []string{"SEVERITY", "KIND", "LOCATION", "EFFECT", "MESSAGE"}}
	for _, f := range answer.Findings {
		switch f.Severity {
		case configcheck.SeverityError:
			answer.Errors++
		case configcheck.SeverityWarning:
			answer.Warnings++
		default:
			answer.Notes++
		}
		t.rows = append(t.rows, []string{string(f.Severity), string(f.Kind), f.Location, string(f.Effect), f.Message})
	}
	if len(t.rows) == 0 {
		t = table{rows: [][]string{{"no findings"}}}
	}
	if err := c.print(answer, t); err != nil {
		return err
	}
	if answer.Errors > 0 {
		return merry.Wrap(ErrInvalid, merry.AppendMessage(fmt.Sprintf("%d of %d findings are errors or contradictions", answer.Errors, len(answer.Findings))))
	}
	return nil
}

// readConfiguration reads a file up to a size that is an error in any configuration. The
// result is not nil, even if the file is empty.
func readConfiguration(name string) ([]byte, error) {
	file := os.Stdin
	if name != stdinName {
		var err error
		if file, err = os.Open(name); err != nil {
			return nil, err
		}
		defer file.Close()
	}
	// An object of the store has some bytes more than the configuration in it.
	data, err := io.ReadAll(io.LimitReader(file, platform.MaxConfigBytes+1<<20))
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	return data, nil
}
