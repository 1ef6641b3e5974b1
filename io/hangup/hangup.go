// Package hangup receives SIGHUP, on which a process reloads its settings.
//
// SIGHUP terminates a process that has not called signal.Notify, and some milliseconds pass
// between exec and the first Go code that can call it. To protect a process in that time,
// its parent ignores SIGHUP before exec, as nohup does. The signal then stays ignored until
// this package is initialized and calls signal.Notify. An ignored signal needs no reload, as
// the settings are read after it.
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

// signals buffers one signal: a single reload covers all signals that arrived before it.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel of received signals, including one that arrived before the
// call.
func Signals() <-chan os.Signal { return signals }
