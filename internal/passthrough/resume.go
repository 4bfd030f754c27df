package passthrough

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/dotterellink/dotterellink/internal/catalog"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/pause"
	"github.com/dotterellink/dotterellink/internal/streamversion"
)

const (
	// recordWait is how long a take-up waits for the record of its stream, which a peer may
	// just be sending. recordPoll is the time between two looks.
	recordWait = 250 * time.Millisecond
	recordPoll = 20 * time.Millisecond
)

// isResumable reports whether the call is a stream that may go on at another target.
func (f *forwarder) isResumable() bool {
	return f.route.Kind == catalog.Stream && f.route.Resumable
}

// streamID returns the identity of the stream, 0 if the caller takes one up without naming it.
func (f *forwarder) streamID() streamversion.StreamID {
	switch {
	case f.call.LastEventID == "":
		return streamversion.IDOf(f.call.ID)
	case f.call.Resumes != "":
		return streamversion.IDOf(f.call.Resumes)
	}
	return 0
}

// streamKey returns what assigns the stream to a version: the last part of its prompt, which
// its tries and its session have in common, or else its identity. It returns false if the
// caller takes the stream up and shows neither.
func (f *forwarder) streamKey() (uint64, bool) {
	if n := len(f.call.Prefix); n > 0 {
		return f.call.Prefix[n-1].ID, true
	}
	id := f.streamID()
	return uint64(id), id != 0
}

// preferredVersion returns the version at which a new stream begins, or false if any may
// begin it or the stream has begun.
func (f *forwarder) preferredVersion() (string, bool) {
	if !f.isResumable() || f.version.Load() != nil {
		return "", false
	}
	key, _ := f.streamKey()
	return f.Versions.Preferred(f.service, key)
}

// continues reports whether the target runs the version that began the stream, or the stream
// has not begun.
func (f *forwarder) continues(t *fleet.Target) bool {
	version := f.version.Load()
	return version == nil || t.Version == *version
}

// resume finds the version that began a stream which the caller takes up. If that is not
// certain, it refuses the call.
func (f *forwarder) resume() bool {
	if f.call.LastEventID == "" || !f.isResumable() {
		return true
	}
	version, known := f.beginningVersion()
	for waitUntil := f.Now().Add(recordWait); !known && f.Now().Before(waitUntil) && pause.For(f.r.Context(), recordPoll); {
		version, known = f.beginningVersion()
	}
	if !known {
		f.Log.WithFields(log.Fields{"call": f.call.ID, "resumes": f.call.Resumes}).Info("passthrough: Version of the stream is not known.")
		f.refundQuota()
		f.refuse(f.w, f.call, http.StatusServiceUnavailable, "stream_version_unknown", noTargetRetryAfter)
		return false
	}
	f.version.Store(&version)
	return true
}

// beginningVersion returns the version that began the stream, or false if it is not certain.
func (f *forwarder) beginningVersion() (string, bool) {
	key, ok := f.streamKey()
	if ok {
		if version, known := f.Versions.Version(f.service, f.streamID(), key, f.Now()); known {
			return version, true
		}
	}
	// Before any assignment, all targets have run the same version if they do now.
	if f.Versions.Known() {
		return "", false
	}
	targets := f.Fleet.View().ByService[f.service]
	for _, t := range targets {
		if t.Version != targets[0].Version {
			return "", false
		}
	}
	if len(targets) == 0 {
		return "", false
	}
	return targets[0].Version, true
}

// recordVersion records the version of the target whose first event is about to be relayed.
func (f *forwarder) recordVersion(now time.Time) {
	if !f.isResumable() {
		return
	}
	version := f.target.Version
	f.version.Store(&version)
	if key, ok := f.streamKey(); ok {
		f.Versions.Began(f.service, f.streamID(), key, version, now)
	}
}
