// Package hangup tells of SIGHUP, by which operators have a process read its settings again.
//
// A process that has asked for nothing ends by that signal, also where it is about to start.
// So this package asks when it is initialized: it depends on little, and that is before the
// packages that take milliseconds for it. A signal from before then still ends the process.
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
