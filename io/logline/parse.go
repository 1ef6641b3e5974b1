package logline

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Fields []Field
	// Text is the whole line.
	Text string
}

// Field is a key with its value.
type Field struct {
	Name, Value string
}

// Get returns the value of the first field with a name, or "".
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLine is the length in bytes from which Read fails on a line.
const maxLine = 1 << 20

// Read returns the lines of a log. Lines that are not key=value lines are skipped,
// and so is any text before time= on a line, as tools that merge logs add it.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		if l, ok := parse(sc.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, sc.Err()
}

// parse splits a line into its fields and unquotes quoted values. It reports whether the
// line has a time and an event.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: text}
	rest := text[start:]
	for rest != "" {
		name, after, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		value, tail := cutValue(after)
		l.Fields = append(l.Fields, Field{Name: strings.TrimSpace(name), Value: value})
		rest = tail
	}
	l.Event = l.Get("msg")
	at, err := time.Parse(timeFormat, l.Get("time"))
	l.Time = at
	return l, err == nil && l.Event != ""
}

// cutValue splits off a leading value, quoted or not.
func cutValue(s string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(s); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, strings.TrimPrefix(s[len(quoted):], " ")
		}
	}
	value, rest, _ = strings.Cut(s, " ")
	return value, rest
}

// Trace returns the lines that have id as the value of a field, oldest first. It may be
// the ID of a request, of an upstream's incarnation or any other value.
func Trace(lines []Line, id string) []Line {
	var found []Line
	for _, l := range lines {
		if slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Value == id }) {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found
}

// Count is the number of lines that share an event, its reason and where it occurred.
type Count struct {
	Event, Reason, Service, TargetZone, VM string
	N                                      int
}

// Summarize counts the events that report a problem, such as failed requests and
// upstreams, dropped lines and lost dependencies, the most frequent first. If byVM is
// set, it counts each VM separately.
func Summarize(lines []Line, byVM bool) []Count {
	counts := make(map[Count]int)
	for i := range lines {
		l := &lines[i]
		if l.Event == "RequestAnswered" || l.Get("level") == "info" && l.Get("Reason") == "" {
			continue
		}
		key := Count{Event: l.Event, Reason: l.Get("Reason"), Service: l.Get("Service"), TargetZone: l.Get("TargetZone")}
		if byVM {
			key.VM = l.Get("VM")
		}
		counts[key]++
	}
	list := make([]Count, 0, len(counts))
	for key, n := range counts {
		key.N = n
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Event, b.Event), cmp.Compare(a.Reason, b.Reason),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.TargetZone, b.TargetZone), cmp.Compare(a.VM, b.VM))
	})
	return list
}
