package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The files of the deployment, relative to the repository.
const (
	daemonPath   = "target/auburnlatch-entry"
	templatePath = "platform/settings.jsonc.tmpl"
	settingsEnv  = "AUBURNLATCH_NODE_FILE"
)

// vm is one VM: a process of the daemon with an address of its own.
type vm struct {
	name, zone, region, ip string
	cfg                    *deployment
	settings               string
	cmd                    *exec.Cmd
	exited                 chan struct{}
	log                    *os.File
}

// deployment is what all VMs of a case have in common.
type deployment struct {
	dir       string // For settings and logs.
	regions   map[string]string
	storeAddr string
	seeds     []string
	bounds    map[string]any
	bootstrap bool
}

func (v *vm) front() string     { return v.ip + ":8381" }
func (v *vm) control() string   { return v.ip + ":8382" }
func (v *vm) directory() string { return v.ip + ":8383" }
func (v *vm) ready() string     { return v.ip + ":8388" }

// fields are the platform's settings of the process.
func (v *vm) fields() map[string]any {
	return map[string]any{
		"NodeName": v.name, "Zone": v.zone, "Region": v.region, "Ip": v.ip, "PortRange": []int{7200, 7215},
		"Seeds": v.cfg.seeds, "Bootstrap": v.cfg.bootstrap, "BeatInterval": "1500ms", "Zones": v.cfg.regions,
		"Listen":   map[string]any{"Front": v.front(), "Ready": v.ready(), "Control": v.control(), "Directory": v.directory()},
		"Limits":   map[string]any{"CpuShare": 0.32, "Cores": 1, "RamMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Bounds":   v.cfg.bounds,
		"Platform": map[string]any{"Addr": v.cfg.storeAddr},
	}
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// lookUp returns the value of a dotted name.
func lookUp(fields any, name string) any {
	for _, part := range strings.Split(name, ".") {
		switch x := fields.(type) {
		case map[string]any:
			fields = x[part]
		case []int:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(x) {
				return nil
			}
			fields = x[i]
		default:
			return nil
		}
	}
	return fields
}

// render fills in the template of the deploy file as the platform does.
func render(template string, fields map[string]any) (string, error) {
	text := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	var failed error
	text = placeholderPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholderPattern.FindStringSubmatch(s)
		value := lookUp(fields, m[1])
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(data)
	})
	return text, failed
}

// start starts the process by the command of the deploy file.
func (v *vm) start() error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	text, err := render(string(template), v.fields())
	if err != nil {
		return err
	}
	v.settings = filepath.Join(v.cfg.dir, v.name+".jsonc")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.cfg.dir, v.name+".log")); err != nil {
			return err
		}
	}
	v.cmd = exec.Command(daemonPath)
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsEnv + "=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// running reports whether the process runs.
func (v *vm) running() bool {
	if v.cmd == nil {
		return false
	}
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vm) signal(s syscall.Signal) {
	if v.running() {
		_ = v.cmd.Process.Signal(s)
	}
}

// end kills the process and waits for its end.
func (v *vm) end() {
	if v.cmd == nil {
		return
	}
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// awaitReady waits until the VM is ready.
func (v *vm) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready() + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", v.name)
}
