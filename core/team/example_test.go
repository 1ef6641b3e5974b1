package team_test

import (
	"fmt"

	"auburnlatch/core/team"
)

func Example() {
	dir, err := team.NewDirectory([]*team.Team{{Name: "depot-cluj", Keys: []string{"k7"}, Homes: []string{"ro-nord"}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	key, err := team.Bearer([]string{"Bearer k7"})
	if err != nil {
		fmt.Println(err)
		return
	}
	t := dir.ByKey(key)
	fmt.Println(t.Name, t.IsHome("ro-sud"))
	// Output: depot-cluj false
}
