package supervisor

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that leak after a shutdown.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
