// Package hangup tells of SIGHUP, by which operators have a process read its settings again.
//
// A process that has asked for nothing ends by that signal, and between exec and the first
// code that can ask there are milliseconds. That time is the starter's: one that ignores
// SIGHUP before exec, as nohup does, has it ignored until this package asks, which is when
// it is initialized, and no signal ends the process. Settings that are read afterwards are
// newer than a signal that was ignored.
//
// # Usage
//
//	for range hangup.Signals() { ... }
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one signal: settings are read once for all that came meanwhile.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which signals arrive, also those from before the call.
func Signals() <-chan os.Signal { return signals }
