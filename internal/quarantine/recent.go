package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterellink/dotterellink/internal/call"
)

const (
	// recentSlots is the number of requests whose last answer is remembered.
	recentSlots = 4096
	// recentTime is how long an answer shows that a request does not crash targets.
	recentTime = 10 * time.Second
	// maxRecentBody is the size in bytes of the largest body that is hashed for each answer.
	maxRecentBody = 4 << 10
)

// recentAnswers remembers which requests were answered lately. Such a request that is under
// way when its target ends is not the cause. Requests with the same slot replace each other.
type recentAnswers struct {
	// slots hold the upper bits of a hash and, in the lower ones, the time of the answer in
	// seconds.
	slots [recentSlots]atomic.Uint64
}

const recentTimeBits = 20

// keyOf returns the hash of a request, or false if its body is too long.
func (*recentAnswers) keyOf(account string, c *call.Call) (uint64, bool) {
	if len(c.Body) > maxRecentBody {
		return 0, false
	}
	return HeadOf(account, c) ^ xxhash.Sum64(c.Body), true
}

func (r *recentAnswers) record(key uint64, now time.Time) {
	r.slots[key%recentSlots].Store(key>>recentTimeBits<<recentTimeBits | seconds(now))
}

func (r *recentAnswers) has(key uint64, now time.Time) bool {
	v := r.slots[key%recentSlots].Load()
	age := (seconds(now) - v) & (1<<recentTimeBits - 1)
	return v>>recentTimeBits == key>>recentTimeBits && v != 0 && age <= uint64(recentTime/time.Second)
}

func seconds(t time.Time) uint64 { return uint64(t.Unix()) & (1<<recentTimeBits - 1) }

// RecordAnswer remembers that a call of an account was answered completely.
func (t *Tracker) RecordAnswer(account string, c *call.Call, now time.Time) {
	if key, ok := t.recent.keyOf(account, c); ok {
		t.recent.record(key, now)
	}
}

// AnsweredLately reports whether this instance relayed a complete answer to the request of a
// call within the last seconds.
func (t *Tracker) AnsweredLately(account string, c *call.Call, now time.Time) bool {
	key, ok := t.recent.keyOf(account, c)
	return ok && t.recent.has(key, now)
}
