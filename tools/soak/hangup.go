package main

import (
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// hangupMu is held while SIGHUP is ignored, since the disposition applies to the whole
// process.
var hangupMu sync.Mutex

// startIgnoringHangup starts a command with SIGHUP ignored, as nohup does. The disposition is
// inherited through exec, so that a SIGHUP does not kill the process before it installs its
// handler.
func startIgnoringHangup(cmd *exec.Cmd) error {
	hangupMu.Lock()
	defer hangupMu.Unlock()
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	return cmd.Start()
}
