package supervisor

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals returns the channel on which SIGTERM and SIGINT arrive, and a function that restores
// their usual effect.
func Signals() (<-chan os.Signal, func()) {
	// Room for the signal that starts the shutdown and the one that cuts it off.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals, func() { signal.Stop(signals) }
}
