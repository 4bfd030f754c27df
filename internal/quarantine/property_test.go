package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dotterellink/dotterellink/internal/quarantine"
)

// fleetModel is a set of trackers and the messages between them.
type fleetModel struct {
	trackers []*quarantine.Tracker
	now      time.Time
	runs     int
	messages [][]quarantine.Suspicion
	// sinceAnswer counts the crashes under each part since its last answer.
	sinceAnswer map[uint64]int
}

func newFleetModel(instances int) *fleetModel {
	m := &fleetModel{now: time.Now(), sinceAnswer: make(map[uint64]int)}
	for range instances {
		m.trackers = append(m.trackers, newTracker())
	}
	return m
}

// step draws one event: time passes, a target crashes under a prompt, a call is answered,
// or an instance sends or receives a message.
func (m *fleetModel) step(t *rapid.T) {
	at := m.trackers[rapid.IntRange(0, len(m.trackers)-1).Draw(t, "instance")]
	parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 5), 1, 3, rapid.ID).Draw(t, "parts")
	switch rapid.SampledFrom([]string{"pass", "crash", "crash", "answer", "send", "receive"}).Draw(t, "event") {
	case "pass":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	case "crash":
		// A run may end under calls of several instances.
		if m.runs == 0 || rapid.IntRange(0, 3).Draw(t, "new") > 0 {
			m.runs++
		}
		at.Crashed(prompt(parts...), run(m.runs), m.now)
		for _, p := range parts {
			m.sinceAnswer[p]++
		}
	case "answer":
		at.Answered(prompt(parts...), m.now)
		for _, p := range parts {
			m.sinceAnswer[p] = 0
		}
	case "send":
		m.messages = append(m.messages, at.TakeUpdates(rapid.Bool().Draw(t, "full"), m.now))
	case "receive":
		// A message stays: it may arrive late, several times, or never.
		if len(m.messages) > 0 {
			at.Merge(rapid.SampledFrom(m.messages).Draw(t, "message"), m.now)
		}
	}
}

// exchange makes each instance tell everything to all others.
func (m *fleetModel) exchange() {
	for range 2 {
		for _, from := range m.trackers {
			for _, to := range m.trackers {
				if to != from {
					to.Merge(from.All(m.now), m.now)
				}
			}
		}
	}
}

func (m *fleetModel) ends(part uint64) []time.Duration {
	var out []time.Duration
	for _, t := range m.trackers {
		left, _ := t.Check(prompt(part), m.now)
		out = append(out, left.Round(time.Millisecond))
	}
	return out
}

func TestPartsWithAnswersBetweenCrashesAreNeverQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(1)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.step(t)
			for part := uint64(1); part <= 5; part++ {
				if left, quarantined := m.trackers[0].Check(prompt(part), m.now); quarantined && m.sinceAnswer[part] < 3 {
					t.Fatalf("part %d: quarantined for %v after %d crashes without an answer", part, left, m.sinceAnswer[part])
				}
			}
		}
	})
}

func TestInstancesAgreeWhateverMessagesWereLostDoubledOrLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(rapid.IntRange(2, 4).Draw(t, "instances"))
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(t)
		}
		m.exchange()
		for part := uint64(1); part <= 5; part++ {
			ends := m.ends(part)
			if slices.Min(ends) != slices.Max(ends) {
				t.Fatalf("part %d: quarantined for %v", part, ends)
			}
			if ends[0] > 0 && m.sinceAnswer[part] < 3 {
				t.Fatalf("part %d: quarantined for %v after %d crashes without an answer", part, ends[0], m.sinceAnswer[part])
			}
		}
	})
}
