// Package wire converts between the generated types of package schema and the
// types of the core packages, so that core does not depend on a wire format.
//
// # Usage
//
//	inv, err := wire.Inventory(msg)     // From schema to core; an error names the field.
//	msg := wire.FromInventory(inv)      // From core to schema; cannot fail.
package wire

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// DurationOr returns d, or def if d is nil.
func DurationOr(d *durationpb.Duration, def time.Duration) time.Duration {
	if d == nil {
		return def
	}
	return d.AsDuration()
}

// timestamp returns t, or the zero time if t is nil.
func timestamp(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}

// FromTime maps a time; the zero time becomes nil.
func FromTime(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}
