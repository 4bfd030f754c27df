package httpplatform

import "github.com/dotterellink/dotterellink/internal/platform"

// Paths and headers of the HTTP protocol of the object API.
const (
	ObjectsPath   = "/objects"
	ChangesPath   = "/changes"
	InstancesPath = "/instances"
	// HeaderExpected carries the version that a conditional write expects.
	HeaderExpected = "X-Expected-Version"
	// HeaderZone names the availability zone of the calling instance.
	HeaderZone = "X-Availability-Zone"
)

// Object is the JSON form of platform.Object.
type Object struct {
	Key     string           `json:"key"`
	Value   []byte           `json:"value,omitempty"`
	Version platform.Version `json:"version"`
	Deleted bool             `json:"deleted,omitempty"`
}

// ObjectList is the answer to list and change requests.
type ObjectList struct {
	Objects []Object         `json:"objects"`
	Version platform.Version `json:"version"`
}

// InstanceList is the answer of InstancesPath.
type InstanceList struct {
	Instances []platform.InstanceRecord `json:"instances"`
}
