package poison_test

import (
	"testing"

	"auburnlatch/core/poison"
)

func TestPrintTellsRequestsApart(t *testing.T) {
	base := poison.Content{Method: "GET", Host: "h", URI: "/a?b", Caller: "c", Body: []byte("body")}
	for name, change := range map[string]func(*poison.Content){
		"method":         func(c *poison.Content) { c.Method = "PUT" },
		"host":           func(c *poison.Content) { c.Host = "i" },
		"path":           func(c *poison.Content) { c.URI = "/b?b" },
		"query":          func(c *poison.Content) { c.URI = "/a?c" },
		"caller":         func(c *poison.Content) { c.Caller = "d" },
		"body":           func(c *poison.Content) { c.Body = []byte("Body") },
		"shifted fields": func(c *poison.Content) { c.Host, c.URI = "h/", "a?b" },
	} {
		other := base
		change(&other)
		if other.Print() == base.Print() {
			t.Errorf("%s: two requests have the same print", name)
		}
	}
	again := base
	again.Body = []byte("body")
	if again.Print() != base.Print() {
		t.Error("a request that is sent again has another print")
	}
	p := base.Print()
	if parsed, ok := poison.ParsePrint(p.String()); !ok || parsed != p {
		t.Errorf("%s is parsed as %v, %v", p, parsed, ok)
	}
	if p.Head != base.Head() {
		t.Error("the head of a print differs from the head of its request")
	}
}
