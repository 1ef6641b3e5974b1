package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"auburnlatch/io/entry"
	"auburnlatch/io/settings"
)

// An upstream fails the requests of one VM. The other VM must hear of it, and of nothing where
// outcomes are not shared.
func TestFailedRequestsAreToldToOtherVMs(t *testing.T) {
	for _, sharing := range []settings.Switch{settings.On, settings.Off, settings.Auto} {
		p := newPlatform()
		p.set(entry.TableRules, "config", config(1))
		bad := startUpstream(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		register(p, "bad", bad.addr())
		for i := range 3 {
			register(p, fmt.Sprint("good", i), startUpstream(t, func(http.ResponseWriter, *http.Request) {}).addr())
		}
		var vms []*runningVM
		var seeds []string
		for _, name := range []string{"a", "b"} {
			v := startVM(t, name, p, func(cfg *settings.Entry) { cfg.Seeds, cfg.Load.SharedOutcomes = seeds, sharing })
			seeds = append(seeds, v.cfg.PeerAddr)
			vms = append(vms, v)
		}
		for _, v := range vms {
			ready(t, v)
			eventually(t, "the VMs know each other", func() bool { return v.Figures(time.Now()).LiveVMs == 2 })
		}
		for i := range 60 {
			vms[0].request(t, http.MethodGet, fmt.Sprint("/post/", i), fmt.Sprint("a/", i), "")
		}
		if sharing == settings.On {
			eventually(t, "the other VM hears of the failed requests", func() bool { return vms[1].Figures(time.Now()).EvidenceHeard > 0 })
			continue
		}
		time.Sleep(500 * time.Millisecond)
		if told := vms[0].Figures(time.Now()).EvidenceTold; told > 0 {
			t.Errorf("switch %v, and no upstream reports its pace: told of %d failed requests", sharing, told)
		}
	}
}
