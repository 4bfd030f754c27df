package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"

	"github.com/dotterellink/dotterellink/internal/standin/enginestandin"
	"github.com/dotterellink/dotterellink/internal/standin/platformstandin"
	"github.com/dotterellink/dotterellink/internal/trace"
)

// Action is what an event does.
type Action string

// Actions of events.
const (
	ActionZoneOut      Action = "zone_out"
	ActionZoneReturn   Action = "zone_return"
	ActionTargetLeave  Action = "target_leave"
	ActionTargetReturn Action = "target_return"
	// ActionPlatformFaults sets the faults of the platform stand-in.
	ActionPlatformFaults Action = "platform_faults"
	// ActionTurnCold and ActionRestart act on an engine stand-in.
	ActionTurnCold Action = "turn_cold"
	ActionRestart  Action = "restart"
	// ActionSignal sends a signal to a process of the local fleet.
	ActionSignal Action = "signal"
	// ActionSurge multiplies an account's requests; it is applied to the trace
	// before the replay.
	ActionSurge Action = "surge"
)

// Event is one fault or operation during a replay.
type Event struct {
	AtMS   int64  `json:"at_ms"`
	Action Action `json:"action"`
	// Name is the zone, target, process or account acted on.
	Name string `json:"name,omitempty"`
	// Platform holds the faults of ActionPlatformFaults.
	Platform *platformstandin.Faults `json:"platform,omitempty"`
	// Signal is "KILL", "STOP", "CONT" or "TERM".
	Signal     string `json:"signal,omitempty"`
	Factor     int    `json:"factor,omitempty"`
	DurationMS int64  `json:"duration_ms,omitempty"`
}

// ReadEvents reads a file of events, JSON with comments.
func ReadEvents(path string) ([]Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.AppendMessage(err.Error()))
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.AppendMessage(err.Error()))
	}
	var events []Event
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&events); err != nil {
		return nil, merry.Wrap(ErrSetup, merry.AppendMessagef("%s: %v", path, err))
	}
	return events, nil
}

// ApplySurges returns the records with those of surging accounts repeated.
func ApplySurges(records []trace.Record, events []Event) []trace.Record {
	var out []trace.Record
	for _, r := range records {
		copies := 1
		for _, e := range events {
			if e.Action == ActionSurge && e.Name == r.Account && r.AtMS >= e.AtMS && r.AtMS < e.AtMS+e.DurationMS {
				copies = max(copies, e.Factor)
			}
		}
		out = append(out, slices.Repeat([]trace.Record{r}, copies)...)
	}
	return out
}

// eventRunner carries events out.
type eventRunner struct {
	operators *operatorClient
	platform  string
	pids      map[string]int
	addresses map[string]string
}

func (e *eventRunner) run(ctx context.Context, event Event) error {
	switch event.Action {
	case ActionZoneOut:
		return e.operators.change(ctx, http.MethodPut, "/zones/"+event.Name+"/out")
	case ActionZoneReturn:
		return e.operators.change(ctx, http.MethodDelete, "/zones/"+event.Name+"/out")
	case ActionTargetLeave:
		return e.operators.change(ctx, http.MethodPut, "/targets/"+event.Name+"/leaving")
	case ActionTargetReturn:
		return e.operators.change(ctx, http.MethodDelete, "/targets/"+event.Name+"/leaving")
	case ActionPlatformFaults:
		return standIn(ctx, http.MethodPut, e.platform, platformstandin.FaultsPath, event.Platform, nil)
	case ActionTurnCold:
		return standIn(ctx, http.MethodPost, e.addresses[event.Name], enginestandin.TurnColdPath, nil, nil)
	case ActionRestart:
		return standIn(ctx, http.MethodPost, e.addresses[event.Name], enginestandin.RestartPath, nil, nil)
	case ActionSignal:
		return e.signal(event)
	case ActionSurge:
		return nil
	}
	return merry.Wrap(ErrSetup, merry.AppendMessagef("unknown action %q", event.Action))
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// signal reaches only processes listed in the fleet's own file.
func (e *eventRunner) signal(event Event) error {
	pid, signal := e.pids[event.Name], signals[event.Signal]
	if pid == 0 || signal == 0 {
		return merry.Wrap(ErrSetup, merry.AppendMessagef("no process %q or signal %q", event.Name, event.Signal))
	}
	return syscall.Kill(pid, signal)
}

// ReadPIDs reads the file of process names and ids that the fleet script
// writes.
func ReadPIDs(path string) (map[string]int, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.AppendMessage(err.Error()))
	}
	out := make(map[string]int)
	for line := range strings.Lines(string(data)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &pid, &name); err == nil {
			out[name] = pid
		}
	}
	return out, nil
}

const standInTimeout = 5 * time.Second

// standIn calls the controls of a stand-in and decodes its answer into out, which
// may be nil.
func standIn(ctx context.Context, method, address, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if out == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}
