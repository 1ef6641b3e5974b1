package wire

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"auburnlatch/core/steer"
	"auburnlatch/schema"
)

// FromDuration maps a duration.
func FromDuration(d time.Duration) *durationpb.Duration { return durationpb.New(d) }

// Weights maps the weights of zones.
func Weights(list []*schema.ZoneShare) steer.Weights {
	w := make(steer.Weights, len(list))
	for _, s := range list {
		w[s.GetZone()] = s.GetShare()
	}
	return w
}

// FromWeights maps the weights of zones, sorted by zone.
func FromWeights(w steer.Weights) []*schema.ZoneShare {
	list := make([]*schema.ZoneShare, 0, len(w))
	for _, zone := range slices.Sorted(maps.Keys(w)) {
		list = append(list, &schema.ZoneShare{Zone: zone, Share: w[zone]})
	}
	return list
}

// Moves maps a row's past moves, from ages to times of this VM's clock.
func Moves(now time.Time, list []*schema.PastMove) []steer.Move {
	var moves []steer.Move
	for _, m := range list {
		age := time.Duration(m.GetAgeMillis()) * time.Millisecond
		moves = append(moves, steer.Move{At: now.Add(-age), Share: m.GetShare()})
	}
	return moves
}

// FromMoves maps a row's past moves, from times to ages.
func FromMoves(now time.Time, moves []steer.Move) []*schema.PastMove {
	var list []*schema.PastMove
	for _, m := range moves {
		list = append(list, &schema.PastMove{AgeMillis: now.Sub(m.At).Milliseconds(), Share: m.Share})
	}
	return list
}
