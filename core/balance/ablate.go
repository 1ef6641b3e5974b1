package balance

// Mechanism is a part of a Balancer that can be turned off to measure its effect.
type Mechanism int

const (
	// Placing gives each object one owner on which VMs agree; without it hashing alone decides.
	Placing Mechanism = iota
	// Moves moves objects to less filled targets.
	Moves
	// Distance prefers near targets.
	Distance
	// Bytes prefers near targets more for objects with large requests and responses.
	Bytes
	// RegionCorrection corrects the regions' shares of objects towards their slots.
	RegionCorrection
	// SameZone prefers targets of the VM's own zone.
	SameZone
	// Depth bounds the requests at a target beyond its slots.
	Depth
	// IdleFallback sends requests for which the owner has no room to an idle target.
	IdleFallback
	// SlowSuspects makes targets suspect that are much slower than others.
	SlowSuspects
	// SilentSuspects makes targets suspect that do not respond.
	SilentSuspects
	// RefusalEjection counts unnecessary refusals towards an ejection.
	RefusalEjection
	// FailureEjection counts failures towards an ejection.
	FailureEjection
	// SuspectCap ignores suspicion if most targets are suspect.
	SuspectCap
	// ExpectedRoom checks the room of a target with many requests by the expected time of the
	// route's requests there.
	ExpectedRoom
	numMechanisms
)

// Without turns a mechanism off.
func Without(m Mechanism) Option { return func(b *Balancer) { b.disabled[m] = true } }
