package quarantine

import "time"

// answerSlots is the number of suspects whose last answer is remembered.
const answerSlots = 1024

// answerTable remembers when calls with a suspect were last answered, for crashes that become
// known later. Suspects with the same slot replace each other.
type answerTable [answerSlots]answer

type answer struct {
	id uint64
	at time.Time
}

func (t *answerTable) slot(id uint64) *answer {
	// The multiplier spreads IDs that differ in few bits.
	return &t[id*0x9e3779b97f4a7c15>>54]
}

func (t *answerTable) record(id uint64, at time.Time) {
	if s := t.slot(id); s.id != id || at.After(s.at) {
		*s = answer{id, at}
	}
}

func (t *answerTable) last(id uint64) (time.Time, bool) {
	s := t.slot(id)
	return s.at, s.id == id && !s.at.IsZero()
}
