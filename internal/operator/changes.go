package operator

import (
	"io"
	"net/http"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/dotterellink/dotterellink/internal/environment"
	"github.com/dotterellink/dotterellink/internal/keys"
	"github.com/dotterellink/dotterellink/internal/trial"
)

func (s *Server) validate(c echo.Context) error {
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Validation{SHA256: trial.Digest(document)})
}

func readDocument(c echo.Context) (*environment.Document, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return nil, merry.Wrap(ErrBadRequest, merry.WithCause(err))
	}
	return environment.ParseDocument(body)
}

func (s *Server) startTrial(c echo.Context) error {
	document, err := readDocument(c)
	if err != nil {
		return err
	}
	t, err := s.Trials.Start(c.Request().Context(), operatorOf(c), document)
	if err != nil {
		return err
	}
	s.Log.Infof("Trial %s started by %s on revision %d.", t.ID, t.Operator, t.BaseRevision)
	return s.answerTrial(c, http.StatusCreated, t)
}

func (s *Server) showTrial(c echo.Context) error {
	t, err := s.Trials.Get(c.Request().Context(), c.Param("id"))
	if err != nil {
		return err
	}
	return s.answerTrial(c, http.StatusOK, t)
}

func (s *Server) answerTrial(c echo.Context, status int, t *trial.Trial) error {
	report, err := trial.Evaluate(s.Store.View().State, s.Inventory(), &t.Document, s.Clock.Now())
	if err != nil {
		return err
	}
	return c.JSON(status, TrialAnswer{
		ID:           t.ID,
		BaseRevision: t.BaseRevision,
		SHA256:       t.SHA256,
		Operator:     t.Operator,
		AtMS:         t.AtMS,
		Report:       report,
	})
}

func (s *Server) promote(c echo.Context) error {
	state, err := s.Trials.Promote(c.Request().Context(), operatorOf(c), c.Param("id"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Revision{state.Revision})
}

// change makes one change of the state and answers with its revision.
func (s *Server) change(c echo.Context, action string, edit func(*environment.State) error) error {
	state, err := s.Store.Change(c.Request().Context(), operatorOf(c), action, 0, edit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Revision{state.Revision})
}

func (s *Server) createKey(c echo.Context) error {
	var request NewKeyRequest
	if err := c.Bind(&request); err != nil {
		return merry.Wrap(ErrBadRequest, merry.WithCause(err))
	}
	key, record := keys.New()
	record.Account = request.Account
	record.CreatedMS = s.Clock.Now().UnixMilli()
	state, err := s.Store.Change(c.Request().Context(), operatorOf(c), "create key "+record.ID, 0, func(state *environment.State) error {
		known := func(a environment.Account) bool { return a.Name == request.Account }
		if !slices.ContainsFunc(state.Document.Accounts, known) {
			return merry.Wrap(ErrUnknownName, merry.AppendMessagef("account %q", request.Account))
		}
		state.Keys = append(state.Keys, record)
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, NewKeyAnswer{ID: record.ID, Key: key, Revision: state.Revision})
}

func (s *Server) withdrawKey(c echo.Context) error {
	id := c.Param("id")
	return s.change(c, "withdraw key "+id, func(state *environment.State) error {
		before := len(state.Keys)
		state.Keys = slices.DeleteFunc(state.Keys, func(k environment.Key) bool { return k.ID == id })
		if len(state.Keys) == before {
			return merry.Wrap(ErrUnknownName, merry.AppendMessagef("key %q", id))
		}
		return nil
	})
}

// releaseShares frees the shares of a process that, by the operator's word, has
// ended.
func (s *Server) releaseShares(c echo.Context) error {
	zone, incarnation := c.Param("zone"), c.Param("incarnation")
	if err := s.Shares.Release(c.Request().Context(), zone, incarnation); err != nil {
		return err
	}
	s.Log.Infof("Shares of %s in zone %s released by %s.", incarnation, zone, operatorOf(c))
	return c.NoContent(http.StatusNoContent)
}

// targetLeaving marks a target as leaving or takes it back.
func (s *Server) targetLeaving(leaving bool) echo.HandlerFunc {
	action := "return target "
	if leaving {
		action = "leave target "
	}
	return func(c echo.Context) error {
		name := c.Param("name")
		return s.change(c, action+name, func(state *environment.State) error {
			known := func(t environment.Target) bool { return t.Name == name }
			if !slices.ContainsFunc(state.Document.Targets, known) {
				return merry.Wrap(ErrUnknownName, merry.AppendMessagef("target %q", name))
			}
			state.TargetsLeaving = withName(state.TargetsLeaving, name, leaving)
			return nil
		})
	}
}

// zoneOut takes an availability zone out or back in.
func (s *Server) zoneOut(out bool) echo.HandlerFunc {
	action := "return zone "
	if out {
		action = "take out zone "
	}
	return func(c echo.Context) error {
		name := c.Param("name")
		return s.change(c, action+name, func(state *environment.State) error {
			if !state.Document.HasZone(name) {
				return merry.Wrap(ErrUnknownName, merry.AppendMessagef("zone %q", name))
			}
			state.ZonesOut = withName(state.ZonesOut, name, out)
			return nil
		})
	}
}

// withName returns list with name in it once, or not at all.
func withName(list []string, name string, in bool) []string {
	list = slices.DeleteFunc(list, func(n string) bool { return n == name })
	if in {
		list = append(list, name)
	}
	return list
}
