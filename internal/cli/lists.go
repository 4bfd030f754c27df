package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/dotterellink/dotterellink/internal/operator"
)

// nameArgument is the name a command works on.
type nameArgument struct {
	Name string `positional-arg-name:"NAME" required:"yes"`
}

func (n nameArgument) path(format string) string { return fmt.Sprintf(format, url.PathEscape(n.Name)) }

type statusCommand struct{ *App }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return show(c.App, "/status", func(s *operator.Status) table {
		t := table{rows: [][]string{
			{"instance", s.Instance},
			{"zone", s.Zone},
			{"environment", s.Environment},
			{"revision", strconv.FormatUint(s.Revision, 10)},
			{"confirmed", ageText(s.ConfirmationAgeMS)},
			{"targets reporting", fmt.Sprintf("%d of %d", s.TargetsReporting, s.Targets)},
		}}
		for _, m := range s.Members {
			state := "alive"
			if m.Leaving {
				state = "leaving"
			}
			t.rows = append(t.rows, []string{"member", m.Name + " in " + m.Zone + ", " + state})
		}
		return t
	})
}

func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", float64(ms)/1000)
}

type keyCreateCommand struct {
	*App
	Account string `long:"account" description:"client account of the key" required:"yes"`
}

// Execute implements flags.Commander.
func (c *keyCreateCommand) Execute([]string) error {
	return change(c.App, http.MethodPost, "/keys", operator.NewKeyRequest{Account: c.Account}, func(k *operator.NewKeyAnswer) table {
		return table{rows: [][]string{{"id", k.ID}, {"key", k.Key}, {"note", "the key is not shown again"}}}
	})
}

type keyListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *keyListCommand) Execute([]string) error {
	return show(c.App, "/keys", func(l *operator.KeyList) table {
		t := table{header: []string{"ID", "ACCOUNT", "CREATED"}}
		for _, k := range l.Keys {
			t.rows = append(t.rows, []string{k.ID, k.Account, timeText(k.CreatedMS)})
		}
		return t
	})
}

type keyWithdrawCommand struct {
	*App
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdrawCommand) Execute([]string) error {
	return change(c.App, http.MethodDelete, "/keys/"+url.PathEscape(c.Args.ID), nil, revisionTable)
}

type targetListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *targetListCommand) Execute([]string) error {
	return show(c.App, "/targets", func(l *operator.TargetList) table {
		t := table{header: []string{"NAME", "KIND", "ZONE", "STATE", "REPORT", "RUNNING", "QUEUED", "MEMORY MB"}}
		for _, r := range l.Targets {
			state := r.State
			if r.Cold {
				state += ", cold"
			}
			memory := fmt.Sprintf("%d of %d", r.MemoryMB, r.CapacityMB)
			t.rows = append(t.rows, []string{r.Name, r.Kind, r.Zone, state, ageText(r.ReportAgeMS), strconv.Itoa(r.Running), strconv.Itoa(r.Queued), memory})
		}
		return t
	})
}

type targetLeaveCommand struct {
	*App
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *targetLeaveCommand) Execute([]string) error {
	return change(c.App, http.MethodPut, c.Args.path("/targets/%s/leaving"), nil, revisionTable)
}

type targetReturnCommand struct {
	*App
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *targetReturnCommand) Execute([]string) error {
	return change(c.App, http.MethodDelete, c.Args.path("/targets/%s/leaving"), nil, revisionTable)
}

type zoneListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *zoneListCommand) Execute([]string) error {
	return show(c.App, "/zones", func(l *operator.ZoneList) table {
		t := table{header: []string{"NAME", "STATE", "INSTANCES", "TARGETS"}}
		for _, z := range l.Zones {
			state := "in"
			if z.Out {
				state = "out"
			}
			t.rows = append(t.rows, []string{z.Name, state, strconv.Itoa(z.Instances), strconv.Itoa(z.Targets)})
		}
		return t
	})
}

type zoneOutCommand struct {
	*App
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *zoneOutCommand) Execute([]string) error {
	return change(c.App, http.MethodPut, c.Args.path("/zones/%s/out"), nil, revisionTable)
}

type zoneReturnCommand struct {
	*App
	Args nameArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *zoneReturnCommand) Execute([]string) error {
	return change(c.App, http.MethodDelete, c.Args.path("/zones/%s/out"), nil, revisionTable)
}

type modelListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *modelListCommand) Execute([]string) error {
	return show(c.App, "/models", func(l *operator.ModelList) table {
		t := table{header: []string{"NAME", "BASE", "MEMORY MB", "TARGETS"}}
		for _, m := range l.Models {
			t.rows = append(t.rows, []string{m.Name, m.Base, strconv.FormatInt(m.MemoryMB, 10), strings.Join(m.Targets, ", ")})
		}
		return t
	})
}

type accountListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *accountListCommand) Execute([]string) error {
	return show(c.App, "/accounts", func(l *operator.AccountList) table {
		t := table{header: []string{"NAME", "TOKENS/S", "BURST", "WHEN CUT OFF", "KEYS"}}
		for _, a := range l.Accounts {
			t.rows = append(t.rows, []string{a.Name, strconv.FormatInt(a.RateTokensPerSecond, 10), strconv.FormatInt(a.BurstTokens, 10), a.WhenCutOff, strconv.Itoa(a.Keys)})
		}
		return t
	})
}

type shareListCommand struct{ *App }

// Execute implements flags.Commander.
func (c *shareListCommand) Execute([]string) error {
	return show(c.App, "/shares", func(l *operator.ShareList) table {
		t := table{header: []string{"ACCOUNT", "ZONE", "INSTANCE", "INCARNATION", "STATE", "TOKENS/S", "BURST"}}
		for _, s := range l.Shares {
			rate := fmt.Sprintf("%.1f", s.RateTokensPerSecond)
			burst := fmt.Sprintf("%.0f", s.BurstTokens)
			t.rows = append(t.rows, []string{s.Account, s.Zone, s.Instance, s.Incarnation, s.State, rate, burst})
		}
		return t
	})
}

type shareReleaseCommand struct {
	*App
	Args struct {
		Zone        string `positional-arg-name:"ZONE" required:"yes"`
		Incarnation string `positional-arg-name:"INCARNATION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *shareReleaseCommand) Execute([]string) error {
	path := "/shares/" + url.PathEscape(c.Args.Zone) + "/" + url.PathEscape(c.Args.Incarnation)
	return change(c.App, http.MethodDelete, path, nil, func(*struct{}) table {
		return table{rows: [][]string{{"released"}}}
	})
}
