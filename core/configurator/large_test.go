package configurator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// largeSite returns a deployment with the given number of workers.
func largeSite(workers int) string {
	var text strings.Builder
	text.WriteString(strings.Split(siteText, "Agents:")[0] + "Agents:\n")
	for i := range workers {
		addr := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
		fmt.Fprintf(&text, "  - Name: worker-%d\n    Zone: zone-%d\n    Rack: rack-%d\n    Service: reservas\n", i, i%5, i/3)
		fmt.Fprintf(&text, "    AgentAddr: %s:7201\n    AnnounceAddr: 127.0.0.1:7202\n    MetricsAddr: %s:7203\n", addr, addr)
	}
	return text.String()
}

func TestLargeSite(t *testing.T) {
	// Guards against size limits that reject a deployment of 940 workers, the size expected within two
	// years.
	text := largeSite(940)
	must.Less(t, maxFileBytes, len(text))
	site, err := Parse[DeploymentSettings]("f", []byte(text))
	must.NoError(t, err)
	must.Len(t, 940, site.Agents)
}

func BenchmarkLargeSite(b *testing.B) {
	text := []byte(largeSite(940))
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		_, err := Parse[DeploymentSettings]("f", text)
		must.NoError(b, err)
	}
}
