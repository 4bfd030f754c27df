package cli

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/operator"
	"github.com/dotterellink/dotterellink/internal/trial"
)

// fileArgument is the document a command works on.
type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"document, JSON with comments" required:"yes"`
}

func (f fileArgument) read() ([]byte, error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return nil, merry.Wrap(ErrUsage, merry.AppendMessage(err.Error()))
	}
	return data, nil
}

// parse reads and checks the document on this side.
func (f fileArgument) parse() (*environment.Document, []byte, error) {
	data, err := f.read()
	if err != nil {
		return nil, nil, err
	}
	document, err := environment.ParseDocument(data)
	if err != nil {
		return nil, nil, merry.Wrap(ErrInvalid, merry.AppendMessage(err.Error()))
	}
	return document, data, nil
}

type validateCommand struct {
	*App
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	document, _, err := c.Args.parse()
	if err != nil {
		return err
	}
	answer := operator.Validation{SHA256: trial.Digest(document)}
	return c.print(answer, table{rows: [][]string{{"valid, SHA-256 " + answer.SHA256}}})
}

type trialCommand struct {
	*App
	ID   string       `long:"id" description:"show the trial with this identifier again"`
	Args fileOptional `positional-args:"yes"`
}

type fileOptional struct {
	File string `positional-arg-name:"FILE" description:"document, JSON with comments"`
}

// Execute implements flags.Commander.
func (c *trialCommand) Execute([]string) error {
	if c.ID != "" {
		return show(c.App, "/trials/"+c.ID, trialTable)
	}
	if c.Args.File == "" {
		return merry.Wrap(ErrUsage, merry.AppendMessage("give a document or --id"))
	}
	_, data, err := fileArgument{c.Args.File}.parse()
	if err != nil {
		return err
	}
	return change(c.App, http.MethodPost, "/trials", data, trialTable)
}

func trialTable(t *operator.TrialAnswer) table {
	rows := [][]string{
		{"trial", t.ID},
		{"on revision", strconv.FormatUint(t.BaseRevision, 10)},
		{"SHA-256", t.SHA256},
	}
	for _, d := range t.Report.Differences {
		rows = append(rows, []string{"change", describe(d)})
	}
	for _, f := range t.Report.Findings {
		rows = append(rows, []string{string(f.Severity), f.Message})
	}
	if len(t.Report.ModelsToLoad) > 0 {
		rows = append(rows, []string{"to load", fmt.Sprintf("%d models or adapters, at least %.0f s", len(t.Report.ModelsToLoad), t.Report.LoadSeconds)})
	}
	rows = append(rows, []string{"next", "dotterellink environment promote " + t.ID})
	return table{rows: rows}
}

func describe(d environment.Difference) string {
	switch {
	case d.Before == "":
		return d.Path + " added: " + d.After
	case d.After == "":
		return d.Path + " removed"
	}
	return d.Path + ": " + d.Before + " to " + d.After
}

type promoteCommand struct {
	*App
	Args struct {
		ID string `positional-arg-name:"TRIAL" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *promoteCommand) Execute([]string) error {
	return change(c.App, http.MethodPost, "/trials/"+c.Args.ID+"/promotion", nil, revisionTable)
}

func revisionTable(r *operator.Revision) table {
	return table{rows: [][]string{{"accepted as revision " + strconv.FormatUint(r.Revision, 10)}}}
}

type showCommand struct{ *App }

// Execute implements flags.Commander. The document is JSON in either form.
func (c *showCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	var answer operator.EnvironmentAnswer
	if err := client.get(c.ctx, "/environment", &answer); err != nil {
		return err
	}
	asJSON := *c.App
	asJSON.global.Output = "json"
	if c.global.Output == "json" {
		return asJSON.print(answer, table{})
	}
	return asJSON.print(answer.Document, table{})
}

type diffCommand struct {
	*App
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	document, _, err := c.Args.parse()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	var answer operator.EnvironmentAnswer
	if err := client.get(c.ctx, "/environment", &answer); err != nil {
		return err
	}
	differences, err := environment.Diff(&answer.Document, document)
	if err != nil {
		return err
	}
	t := table{rows: [][]string{{fmt.Sprintf("%d differences to revision %d", len(differences), answer.Revision)}}}
	for _, d := range differences {
		t.rows = append(t.rows, []string{describe(d)})
	}
	return c.print(differences, t)
}

type historyCommand struct{ *App }

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return show(c.App, "/environment/history", func(h *operator.History) table {
		t := table{header: []string{"REVISION", "TIME", "OPERATOR", "ACTION"}}
		for _, r := range h.Changes {
			t.rows = append(t.rows, []string{strconv.FormatUint(r.Revision, 10), timeText(r.AtMS), r.Operator, r.Action})
		}
		return t
	})
}

func timeText(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }
