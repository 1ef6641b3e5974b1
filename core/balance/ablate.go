package balance

// Mechanism is one that a Balancer can do without, to measure what it is worth.
type Mechanism int

// The mechanisms.
const (
	// Placing gives each object one target, agreed among VMs; without it a hash does.
	Placing Mechanism = iota
	// Moves bring objects to emptier targets.
	Moves
	// Distance draws objects to near targets.
	Distance
	// Bytes draws objects that carry much to near targets.
	Bytes
	// RegionFit corrects regions' parts towards what they can carry.
	RegionFit
	// ZonePull draws objects to targets of the VM's own zone.
	ZonePull
	// Depth bounds what a target is sent beyond its slots.
	Depth
	// Spare sends what has no room to a target that is clearly idle.
	Spare
	// SlowSuspects leaves targets alone that answer much later than others.
	SlowSuspects
	// SilentSuspects leaves targets alone that do not answer.
	SilentSuspects
	// RefusalCounts holds refusals without need against a target.
	RefusalCounts
	// FailureCounts holds failures against it.
	FailureCounts
	// Panic distrusts suspicion where it is over most targets.
	Panic
	mechanisms
)

// Without has a Balancer do without a mechanism.
func Without(m Mechanism) Option { return func(b *Balancer) { b.off[m] = true } }
