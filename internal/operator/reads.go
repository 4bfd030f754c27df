package operator

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/inventory"
)

func (s *Server) showEnvironment(c echo.Context) error {
	state := s.Store.View().State
	return c.JSON(http.StatusOK, EnvironmentAnswer{
		Revision:       state.Revision,
		Document:       state.Document,
		ZonesOut:       state.ZonesOut,
		TargetsLeaving: state.TargetsLeaving,
		TrialID:        state.TrialID,
		Change:         state.Change,
	})
}

func (s *Server) history(c echo.Context) error {
	history := History{Changes: []ChangeRow{}}
	for _, r := range slices.Backward(s.Store.View().State.RecentChanges) {
		history.Changes = append(history.Changes, ChangeRow{
			Revision: r.Revision,
			Operator: r.Operator,
			Action:   r.Action,
			AtMS:     r.AtMS,
		})
	}
	return c.JSON(http.StatusOK, history)
}

func (s *Server) listKeys(c echo.Context) error {
	list := KeyList{Keys: []KeyRow{}}
	for _, k := range s.Store.View().State.Keys {
		list.Keys = append(list.Keys, KeyRow{ID: k.ID, Account: k.Account, CreatedMS: k.CreatedMS})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) listTargets(c echo.Context) error {
	view := s.Store.View()
	snapshot := s.Inventory()
	now := s.Clock.Now()
	list := TargetList{Targets: []TargetRow{}}
	for i := range view.State.Document.Targets {
		t := &view.State.Document.Targets[i]
		list.Targets = append(list.Targets, targetRow(view, snapshot.Target(t.Name), t, now))
	}
	return c.JSON(http.StatusOK, list)
}

func targetRow(view *environment.View, state *inventory.TargetState, t *environment.Target, now time.Time) TargetRow {
	row := TargetRow{
		Name:        t.Name,
		Kind:        string(t.Kind),
		Zone:        t.Zone,
		Address:     t.Address,
		State:       "serving",
		ReportAgeMS: -1,
		CapacityMB:  t.MemoryMB,
	}
	switch {
	case view.IsZoneOut(t.Zone):
		row.State = "zone out"
	case view.IsTargetOut(t):
		row.State = "leaving"
	}
	if state != nil && !state.RequestedAt.IsZero() {
		row.ReportAgeMS = now.Sub(state.RequestedAt).Milliseconds()
		row.Cold = state.Report.Cold
		row.Running = state.Report.Running
		row.Queued = state.Report.Queued
		row.MemoryMB = state.Report.MemoryMB
	}
	return row
}

func (s *Server) listZones(c echo.Context) error {
	view := s.Store.View()
	instances := make(map[string]int)
	for _, m := range s.Members() {
		instances[m.Zone]++
	}
	targets := make(map[string]int)
	for _, t := range view.State.Document.Targets {
		targets[t.Zone]++
	}
	list := ZoneList{Zones: []ZoneRow{}}
	for _, z := range view.State.Document.Zones {
		list.Zones = append(list.Zones, ZoneRow{
			Name:      z.Name,
			Out:       view.IsZoneOut(z.Name),
			Instances: instances[z.Name],
			Targets:   targets[z.Name],
		})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) listModels(c echo.Context) error {
	document := &s.Store.View().State.Document
	snapshot := s.Inventory()
	list := ModelList{Models: []ModelRow{}}
	for _, m := range document.Models {
		list.Models = append(list.Models, ModelRow{Name: m.Name, MemoryMB: m.MemoryMB, Targets: servingTargets(snapshot, m.Name)})
	}
	for _, a := range document.Adapters {
		list.Models = append(list.Models, ModelRow{Name: a.Name, Base: a.Model, MemoryMB: a.MemoryMB, Targets: servingTargets(snapshot, a.Name)})
	}
	return c.JSON(http.StatusOK, list)
}

func servingTargets(snapshot *inventory.Snapshot, name string) []string {
	out := []string{}
	for _, state := range snapshot.Serving(name) {
		out = append(out, state.Target.Name)
	}
	return out
}

func (s *Server) listAccounts(c echo.Context) error {
	state := s.Store.View().State
	keysOf := make(map[string]int)
	for _, k := range state.Keys {
		keysOf[k.Account]++
	}
	list := AccountList{Accounts: []AccountRow{}}
	for _, a := range state.Document.Accounts {
		policy := a.WhenCutOff
		if policy == "" {
			policy = environment.CutOffRefuse
		}
		list.Accounts = append(list.Accounts, AccountRow{
			Name:                a.Name,
			RateTokensPerSecond: a.RateTokensPerSecond,
			BurstTokens:         a.BurstTokens,
			WhenCutOff:          string(policy),
			Keys:                keysOf[a.Name],
		})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) listShares(c echo.Context) error {
	list := ShareList{Shares: []ShareRow{}}
	for _, h := range s.Shares.Shares() {
		list.Shares = append(list.Shares, ShareRow{
			Account:             h.Account,
			Zone:                h.Zone,
			Instance:            h.Holder,
			Incarnation:         h.Incarnation,
			State:               string(h.State),
			RateTokensPerSecond: h.Share.Rate,
			BurstTokens:         h.Share.Burst,
		})
	}
	return c.JSON(http.StatusOK, list)
}

func (s *Server) status(c echo.Context) error {
	view := s.Store.View()
	now := s.Clock.Now()
	status := Status{
		Instance:          s.Settings.Name,
		Zone:              s.Settings.Zone,
		Environment:       s.Settings.Environment,
		Revision:          view.State.Revision,
		ConfirmationAgeMS: -1,
		Members:           []MemberRow{},
		Targets:           len(view.State.Document.Targets),
	}
	if !view.ConfirmedAt.IsZero() {
		status.ConfirmationAgeMS = now.Sub(view.ConfirmedAt).Milliseconds()
	}
	for _, m := range s.Members() {
		status.Members = append(status.Members, MemberRow(m))
	}
	for _, t := range s.Inventory().Targets {
		if t.IsFresh(now) {
			status.TargetsReporting++
		}
	}
	return c.JSON(http.StatusOK, status)
}
