package admission

import "math"

// Uses are counted in buckets, four for each power of two.
const (
	useBuckets   = 24
	bucketsPerX2 = 4
	oneBucket    = 16 // The bucket of teams that use just their limit.
)

// useBucket returns the bucket of a use of a limit.
func useBucket(use float64) int {
	if use <= 0 {
		return 0
	}
	return min(useBuckets-1, max(0, oneBucket+int(math.Round(bucketsPerX2*math.Log2(use)))))
}

// bucketUses are the uses that the buckets stand for.
var bucketUses = func() (uses [useBuckets]float64) {
	for i := range uses {
		uses[i] = math.Exp2(float64(i-oneBucket) / bucketsPerX2)
	}
	return uses
}()

// level returns the max-min fair use of limits: if each team had no more than that, the requests
// left would be as many as are served. 0: all teams are within their shares.
func (r *rank) level() float64 {
	asked := r.askedCount()
	if asked == 0 || r.sent >= asked {
		return 0
	}
	below, above := 0.0, 0.0 // Requests of teams below the level; of others, each divided by the use.
	for i, n := range r.uses {
		above += n / bucketUses[i]
	}
	for i, n := range r.uses {
		if level := (r.sent - below) / max(above, math.SmallestNonzeroFloat64); level <= bucketUses[i] {
			return max(level, math.SmallestNonzeroFloat64)
		}
		below += n
		above -= n / bucketUses[i]
	}
	return 0
}

// aboveShare reports whether a request is in the part of its team's demand above the level. A
// request whose team's use is unknown is not.
func (r *rank) aboveShare(req Request) bool {
	if req.Use <= 0 {
		return false
	}
	level := r.level()
	return level > 0 && draw(req.ID)*bucketUses[useBucket(req.Use)] > level
}
