package appointment_test

import (
	"fmt"
	"time"

	"auburnlatch/core/appointment"
)

func ExampleBook() {
	var b appointment.Book
	now := time.Unix(1000, 0)
	room := appointment.Room{PerSecond: 40}
	for range 3 {
		wait, ok := b.Next(now, room, time.Second)
		fmt.Println(wait.Round(time.Millisecond), ok)
	}
	// Output:
	// 312ms true
	// 412ms true
	// 512ms true
}

func ExampleRecognizer() {
	var r appointment.Recognizer
	now := time.Unix(1000, 0)
	for range 10 {
		r.Returned(now, 3*time.Second)
	}
	fmt.Println(r.Returned(now, 2600*time.Millisecond), r.Returned(now, 2300*time.Millisecond))
	// Output: false true
}
