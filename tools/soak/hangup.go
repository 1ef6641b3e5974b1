package main

import (
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
)

// hangupMu is held while SIGHUP is ignored: the disposition is the whole process's.
var hangupMu sync.Mutex

// startIgnoringHangup starts a command with SIGHUP ignored, as operators do with nohup: the
// disposition outlives exec, so a signal does not end the process before it asks for it.
func startIgnoringHangup(cmd *exec.Cmd) error {
	hangupMu.Lock()
	defer hangupMu.Unlock()
	signal.Ignore(syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	return cmd.Start()
}
