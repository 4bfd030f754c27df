package peers

import (
	"github.com/dotterellink/dotterellink/internal/allowance"
	"github.com/dotterellink/dotterellink/internal/dispatch"
	"github.com/dotterellink/dotterellink/internal/fleet"
	"github.com/dotterellink/dotterellink/internal/lease"
	"github.com/dotterellink/dotterellink/internal/overload"
	"github.com/dotterellink/dotterellink/internal/platform"
	"github.com/dotterellink/dotterellink/internal/quarantine"
	"github.com/dotterellink/dotterellink/internal/streamversion"
	"github.com/dotterellink/dotterellink/internal/zones"
)

// Status is the message that an instance sends to its peers.
type Status struct {
	// Name is the instance that the status describes. A relay may have sent it.
	Name string `msgpack:"n"`
	// Run is unique to one run of the instance. Seq increases with each status of a
	// run.
	Run     string `msgpack:"r"`
	Seq     uint64 `msgpack:"s"`
	Zone    string `msgpack:"z"`
	Address string `msgpack:"a"`
	Leaving bool   `msgpack:"l,omitempty"`
	// StateVersion is the version of the configuration in force.
	StateVersion int64 `msgpack:"v"`
	// StoreLost is set while the store does not answer the instance.
	StoreLost bool `msgpack:"sl,omitempty"`
	// StoreEra is the newest era of the store that the instance knows of.
	StoreEra platform.Era `msgpack:"se,omitempty"`
	// Departing are the targets that said in their answers that they leave.
	Departing []fleet.Departed `msgpack:"dp,omitempty"`

	// MayBeCold are the targets that may have become cold without announcing it.
	MayBeCold []dispatch.ColdSuspicion `msgpack:"mc,omitempty"`
	// Assignments and Streams tell the software versions of streams.
	Assignments streamversion.History  `msgpack:"va,omitempty"`
	Streams     []streamversion.Record `msgpack:"vs,omitempty"`
	// Rates are the request rates that targets name, and those that ended.
	Rates         []allowance.RateUpdate  `msgpack:"rl,omitempty"`
	Loads         []dispatch.TargetLoad   `msgpack:"ld,omitempty"`
	PrefixUpdates []dispatch.PrefixUpdate `msgpack:"rd,omitempty"`
	Spent         []allowance.Spending    `msgpack:"sp,omitempty"`
	Demand        []ModelDemand           `msgpack:"dm,omitempty"`
	// Work is the engine time that callers ask for, sent during a shortage.
	Work []overload.Report `msgpack:"ow,omitempty"`
	// AllCounts is set if Spent and Demand list all accounts and models in use, and not
	// only those that changed.
	AllCounts  bool         `msgpack:"ac,omitempty"`
	Held       []HeldLease  `msgpack:"hl,omitempty"`
	Ended      []EndedLease `msgpack:"el,omitempty"`
	Placements []Placement  `msgpack:"pl,omitempty"`
	// UsageZone and UsageToken are the zone whose placement lease gives the duty of usage
	// reports and the token of the lease, if the instance holds it.
	UsageZone  string `msgpack:"uz,omitempty"`
	UsageToken uint64 `msgpack:"ut,omitempty"`
	// Suspicions are the prompt parts and requests under which targets crashed.
	Suspicions []quarantine.Suspicion `msgpack:"qr,omitempty"`
	// Zones is what the zone needs from others and grants them, if the instance announces for
	// its zone.
	Zones []zones.Announcement `msgpack:"zn,omitempty"`
}

// ModelDemand is the work for a model that an instance has received since its start.
type ModelDemand struct {
	Service string `msgpack:"s"`
	Model   string `msgpack:"m"`
	// WorkMS is the engine time of the work; Unserved counts calls for which no
	// target held the model.
	WorkMS   float64 `msgpack:"w"`
	Unserved uint64  `msgpack:"u,omitempty"`
}

// EndedLease is what the former holder of the placement lease reports after it has lost
// it.
type EndedLease struct {
	Zone  string `msgpack:"z"`
	Token uint64 `msgpack:"k"`
	// OrderedAgoMS is the age of the last order to each target, in milliseconds.
	// Targets that are missing received no order recently.
	OrderedAgoMS map[string]int64 `msgpack:"o"`
}

// HeldLease is the placement lease of a zone as its holder last wrote it.
type HeldLease struct {
	Zone    string       `msgpack:"z"`
	Record  lease.Record `msgpack:"r"`
	Version uint64       `msgpack:"v"`
}

// Placement is what a target holds, loads and unloads, as reported by the holder of the
// placement lease.
type Placement struct {
	TargetID string `msgpack:"t"`
	BornMS   int64  `msgpack:"b"`
	// Adapters are written as MODEL/ADAPTER.
	Adapters []string `msgpack:"a,omitempty"`
	// Unloading are models that are being unloaded and receive no new work.
	Unloading []string `msgpack:"l,omitempty"`
	// Loading are models that are being loaded, with the expected time left when the
	// status was sent, in milliseconds.
	Loading map[string]int64 `msgpack:"c,omitempty"`
}
