package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// startWithoutRoom starts a VM with an upstream that has room, until the returned function
// takes it away: then all requests for the service are refused at once.
func startWithoutRoom(t *testing.T, priorities int, change func(*settings.Entry)) (v *runningVM, close func()) {
	t.Helper()
	p := newPlatform()
	cfg := config(1)
	for i, rt := range cfg.Routes {
		rt.Priority = min(i, priorities-1)
	}
	p.set(entry.TableRules, "config", cfg)
	register(p, "u", startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
	v = startVM(t, "vm", p, change)
	ready(t, v)
	return v, func() {
		p.remove(entry.TableTargets, "u")
		eventually(t, "the VM has no upstream", func() bool {
			status, _ := v.get(t, "/get/", "probe", "Deadline-Ms: 3000")
			return status == http.StatusServiceUnavailable
		})
	}
}

// retryAfters returns the Retry-After of n requests that are refused.
func retryAfters(t *testing.T, v *runningVM, n int, deadline string) []time.Duration {
	t.Helper()
	var list []time.Duration
	for i := range n {
		status, h := v.get(t, "/get/", fmt.Sprint("refused", i), "Deadline-Ms: "+deadline)
		s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		if status != http.StatusServiceUnavailable || err != nil || h.Get("Auburnlatch-Verdict") != "NotRun" {
			t.Fatalf("%d, Retry-After %q, %s", status, h.Get("Retry-After"), h.Get("Auburnlatch-Verdict"))
		}
		list = append(list, time.Duration(s*float64(time.Second)))
	}
	return list
}

// Guards against callers who are refused together and told the same moment.
func TestRefusedCallersGetAppointments(t *testing.T) {
	v, closeRoom := startWithoutRoom(t, 3, nil)
	for i := range 40 {
		v.get(t, "/get/", fmt.Sprint("served", i), "Deadline-Ms: 3000")
	}
	closeRoom()
	list := retryAfters(t, v, 20, "3000")
	slices.Sort(list)
	if distinct := len(slices.Compact(slices.Clone(list))); distinct < 18 {
		t.Errorf("20 callers were told %d moments: %v", distinct, list)
	}
	if list[0] < 250*time.Millisecond || list[19] > time.Second {
		t.Errorf("told %v to %v, want 250 ms to 1 s", list[0], list[19])
	}
	if f := v.Figures(time.Now()); f.Appointments < 20 || f.AppointmentsKept == 0 || f.AppointmentsKept > f.Appointments {
		t.Errorf("appointments: %d, kept: %d", f.Appointments, f.AppointmentsKept)
	}
	var ms string
	eventually(t, "the refusal is logged", func() bool {
		lines := v.trace(t, "refused0")
		if len(lines) > 0 {
			ms = lines[len(lines)-1].Get("AppointmentMs")
		}
		return len(lines) > 0
	})
	if ms == "" {
		t.Error("no AppointmentMs in the log")
	}
}

// A caller whose time does not suffice for a return must not be told to come back.
func TestNoAppointmentWithoutTime(t *testing.T) {
	v, closeRoom := startWithoutRoom(t, 3, nil)
	closeRoom()
	if status, h := v.get(t, "/get/", "hurried", "Deadline-Ms: 400"); status != http.StatusServiceUnavailable || h.Get("Retry-After") != "" {
		t.Errorf("%d, Retry-After %q", status, h.Get("Retry-After"))
	}
}

// With two priorities, or where the settings say so, callers are told the fixed time as before.
func TestAppointmentsOff(t *testing.T) {
	for name, tc := range map[string]struct {
		priorities int
		change     func(*settings.Entry)
	}{
		"two priorities": {2, nil},
		"off":            {3, func(cfg *settings.Entry) { cfg.Load.Admission = settings.Off }},
	} {
		t.Run(name, func(t *testing.T) {
			v, closeRoom := startWithoutRoom(t, tc.priorities, tc.change)
			closeRoom()
			if list := slices.Compact(retryAfters(t, v, 5, "3000")); len(list) != 1 || list[0] != 250*time.Millisecond {
				t.Errorf("told %v, want 250 ms", list)
			}
			if f := v.Figures(time.Now()); f.Appointments+f.Returned != 0 {
				t.Errorf("appointments: %d, returned: %d", f.Appointments, f.Returned)
			}
		})
	}
}

// A caller that comes back has less time left than callers begin with: the VM must recognize it
// and count that it was served.
func TestReturnIsRecognized(t *testing.T) {
	v, _ := startWithoutRoom(t, 3, nil)
	for i := range 20 {
		v.get(t, "/get/", fmt.Sprint("new", i), "Deadline-Ms: 3000")
	}
	v.get(t, "/get/", "unhurried", "Deadline-Ms: 2600")
	v.get(t, "/get/", "back", "Deadline-Ms: 2100")
	returned := func(id string) (value string) {
		eventually(t, "the answer is logged", func() bool {
			lines := v.trace(t, id)
			if len(lines) > 0 {
				value = lines[0].Get("Returned")
			}
			return len(lines) > 0
		})
		return value
	}
	if a, b := returned("unhurried"), returned("back"); a != "" || b != "true" {
		t.Errorf("Returned: %q with 2600 of 3000 ms left, %q with 2100", a, b)
	}
	if f := v.Figures(time.Now()); f.Returned != 1 || f.ReturnedServed != 1 {
		t.Errorf("returned: %d, served: %d, want 1", f.Returned, f.ReturnedServed)
	}
}
