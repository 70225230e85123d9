package supervisor

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals returns a channel that receives SIGTERM and SIGINT, and a function that restores their
// default effect.
func Signals() (<-chan os.Signal, func()) {
	// Buffers the signal that starts the shutdown and the one that aborts it.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals, func() { signal.Stop(signals) }
}
