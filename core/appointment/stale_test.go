package appointment_test

import (
	"testing"
	"time"

	"auburnlatch/core/appointment"
)

// Guards against promises from before a suspension that make callers wait after it.
func TestPromisesFromBeforeSuspensionDelayNobody(t *testing.T) {
	var b appointment.Book
	now := time.Unix(1000, 0)
	room := appointment.Room{PerSecond: 1}
	for range 5 {
		b.Next(now, room, time.Hour)
	}
	now = now.Add(time.Hour)
	wait, ok := b.Next(now, room, 5*time.Second)
	if !ok || wait < appointment.MinWait || wait > 5*time.Second {
		t.Errorf("wait %v, %t; want one of the first moments", wait, ok)
	}
}
