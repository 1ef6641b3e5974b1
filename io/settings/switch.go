package settings

import "fmt"

// Switch turns a feature on or off.
type Switch int

const (
	// Auto turns the feature on where the configuration calls for it.
	Auto Switch = iota
	On
	Off
)

// Enabled reports whether the feature is on. auto is whether the configuration calls for it.
func (s Switch) Enabled(auto bool) bool { return s == On || s == Auto && auto }

// toggle parses a Switch; an empty text is Auto.
func (c *checker) toggle(field, text string) Switch {
	switch text {
	case "", "Auto":
		return Auto
	case "On":
		return On
	case "Off":
		return Off
	}
	c.require(false, field, fmt.Sprintf("%q is not On, Off or Auto", text))
	return Auto
}
