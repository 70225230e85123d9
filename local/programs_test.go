package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/credentials/insecure"

	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
	"oleandertally/local/emulator"
	"oleandertally/local/submitter"
	"oleandertally/replay/tracer"
)

const readyTimeout = 30 * time.Second

// siteSettings describes a site with one process of each role. The test runs the upstream itself.
const siteSettings = `Security: {Insecure: true}
Controllers:
  - {Name: controller-1, Zone: a, Rack: a, Addr: "%[1]s:7101", MetricsAddr: "%[1]s:7103", DataFolder: data}
Entries:
  - {Name: entry-1, Zone: a, Rack: a, StopWithin: 4s, HttpAddr: "%[1]s:7001", PeerAddr: "%[1]s:7002", MetricsAddr: "%[1]s:7003"}
Agents:
  - {Name: agent-1, Zone: a, Rack: a, StopWithin: 4s, Service: demo, AgentAddr: "%[1]s:7201", AnnounceAddr: "%[1]s:7202", MetricsAddr: "%[1]s:7203"}
`

// program is a running binary with its log.
type program struct {
	command *exec.Cmd
	mutex   sync.Mutex
	log     bytes.Buffer
}

// Write appends to the log.
func (p *program) Write(text []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.log.Write(text)
}

func (p *program) hasLogged(text string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return strings.Contains(p.log.String(), text)
}

// build builds the programs and returns the folder with their binaries.
func build(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	command := exec.Command("go", "build", "-o", folder+"/", "./entry", "./agent", "./controller")
	command.Dir = ".."
	output, err := command.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return folder
}

func launch(t *testing.T, path string, arguments ...string) *program {
	t.Helper()
	p := &program{command: exec.Command(path, arguments...)}
	p.command.Stderr = p
	must.NoError(t, p.command.Start())
	t.Cleanup(func() {
		if p.command.ProcessState == nil {
			_ = p.command.Process.Kill()
			_ = p.command.Wait()
		}
		if t.Failed() {
			t.Logf("%s:\n%s", filepath.Base(path), p.log.String())
		}
	})
	return p
}

func (p *program) signal(t *testing.T, sig os.Signal) {
	t.Helper()
	must.NoError(t, p.command.Process.Signal(sig))
}

// mustExit waits until the program exits and checks its exit code.
func (p *program) mustExit(t *testing.T, code int) {
	t.Helper()
	_ = p.command.Wait() // an exit code other than 0 is an error
	must.Eq(t, code, p.command.ProcessState.ExitCode())
}

func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func awaitTrue(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(readyTimeout), wait.Gap(20*time.Millisecond)), must.Sprint(what))
}

func mustMetric(t *testing.T, addr, name string, want string) {
	t.Helper()
	_, page := get("http://" + addr + "/metrics")
	for line := range strings.Lines(page) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			must.Eq(t, want, strings.TrimSpace(value), must.Sprint(name))
			return
		}
	}
	t.Fatalf("no metric %s", name)
}

// randomHost returns a random loopback address, so that concurrent tests don't collide. Its second byte is below 64,
// where the claims of package deployer begin.
func randomHost() netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(2 + rand.IntN(60)), byte(rand.IntN(250)), 1})
}

func writeSettings(t *testing.T, host netip.Addr) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.yaml")
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, siteSettings, host), 0o600))
	return path
}

// Guards against faults in how the programs assemble their parts: settings without effect, wrong health pages, empty
// metrics, events that can't be fetched, or a wrong exit code after a graceful shutdown.
func TestProgramsServeAndStop(t *testing.T) {
	binaries, host := build(t), randomHost()
	settings := writeSettings(t, host)
	hostAddr := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(host, port) }
	upstream := &emulator.Upstream{Worker: "agent-1", Addr: hostAddr(9000), AgentAddr: hostAddr(7202), Slots: 4, Starts: &emulator.StartLog{}}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return upstream.Run(ctx) })

	controller := launch(t, filepath.Join(binaries, "controller"), "-settings", settings, "-name", "controller-1", "-bootstrap")
	agent := launch(t, filepath.Join(binaries, "agent"), "-settings", settings, "-name", "agent-1")
	entry := launch(t, filepath.Join(binaries, "entry"), "-settings", settings, "-name", "entry-1")
	mustApply(t, hostAddr(7101))
	for _, addr := range []netip.AddrPort{hostAddr(7003), hostAddr(7103), hostAddr(7203)} {
		awaitTrue(t, "ready", func() bool { code, _ := get("http://" + addr.String() + "/readyz"); return code == http.StatusOK })
		code, _ := get("http://" + addr.String() + "/livez")
		must.Eq(t, http.StatusOK, code)
	}
	sender := &submitter.Submitter{Entries: []netip.AddrPort{hostAddr(7001)}, Client: http.DefaultClient}
	job := tracer.Job{Team: "web", Profile: "quote", TimeLeftMillis: 20_000, RunMillis: []int{5, 10, 15}}
	// The entry reports ready before it knows the agent's slots and before its stream to the agent is open. Until it
	// knows the slots it refuses the job; after that the job waits for the stream.
	var result submitter.Result
	attempt := 0
	awaitTrue(t, "the entry knows the agent", func() bool {
		attempt++
		result = sender.Submit(t.Context(), job, fmt.Sprintf("first-%d", attempt))
		return result.Response.Reason != specifier.NoWorker
	})
	must.NoError(t, result.Err)
	must.Eq(t, specifier.Complete, result.Response.Outcome, must.Sprint(result.Response))
	must.Len(t, 3, result.Response.Results)

	t.Run("metrics", func(t *testing.T) {
		mustMetric(t, hostAddr(7003).String(), `oleandertally_entry_requests_total{outcome="Complete",reason="None"}`, "1")
		mustMetric(t, hostAddr(7003).String(), "oleandertally_entry_in_time_total", "1")
		mustMetric(t, hostAddr(7003).String(), "oleandertally_entry_assignments_total", "3")
		mustMetric(t, hostAddr(7003).String(), `oleandertally_entry_response_over_ideal_ratio_count{class="Short"}`, "1")
		mustMetric(t, hostAddr(7003).String(), "oleandertally_entry_record_seconds_count", "1")
		mustMetric(t, hostAddr(7003).String(), `oleandertally_entry_queue_tasks{class="Short"}`, "0")
		mustMetric(t, hostAddr(7003).String(), "oleandertally_configuration_revision", "1")
		mustMetric(t, hostAddr(7203).String(), "oleandertally_configuration_revision", "1")
		mustMetric(t, hostAddr(7203).String(), "oleandertally_agent_starts_total", "3")
		mustMetric(t, hostAddr(7203).String(), "oleandertally_agent_slots", "4")
		mustMetric(t, hostAddr(7203).String(), `oleandertally_agent_run_seconds_count{class="Short"}`, "3")
	})
	t.Run("time line", func(t *testing.T) { mustGather(t, "entry-1", hostAddr(7002), "agent-1", hostAddr(7201)) })

	agent.signal(t, syscall.SIGTERM)
	agent.mustExit(t, 0)
	entry.signal(t, syscall.SIGTERM)
	entry.mustExit(t, 0)
	cancel()
	_ = group.Wait() // the error is that of the cancelled context
	controller.signal(t, syscall.SIGTERM)
	controller.mustExit(t, 0)
}

// newClient returns a client that retries for as long as the programs may take to start.
func newClient(controller netip.AddrPort) *operator.Client {
	return &operator.Client{Controllers: []netip.AddrPort{controller}, Credentials: insecure.NewCredentials(), AttemptTimeout: readyTimeout,
		MaxRounds: 200, RoundInterval: 100 * time.Millisecond, Clock: time.Now, Pause: pause}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mustApply proposes a profile and checks that it is applied.
func mustApply(t *testing.T, controller netip.AddrPort) {
	t.Helper()
	change := specifier.ChangeConfiguration{RequestID: "first", Operator: "test", Profiles: []specifier.Profile{{Name: "quote", Service: "demo"}}}
	decision, err := newClient(controller).Change(t.Context(), "first", "test", change)
	must.NoError(t, err)
	must.Eq(t, specifier.Applied, decision.Verdict, must.Sprint(decision))
}

// mustGather fetches the events of the entry and of the agent, and checks that each process returns only its own.
func mustGather(t *testing.T, entry string, entryAddr netip.AddrPort, agent string, agentAddr netip.AddrPort) {
	t.Helper()
	client := newClient(entryAddr)
	for name, addr := range map[string]netip.AddrPort{entry: entryAddr, agent: agentAddr} {
		log, err := client.Gather(t.Context(), addr, recorder.Filter{})
		must.NoError(t, err)
		must.SliceNotEmpty(t, log.Events)
		for _, event := range log.Events {
			must.StrHasPrefix(t, name+"/", event.Process)
		}
	}
}

// Guards against exit codes that hide from the process supervisor why a program ended.
func TestExitCodes(t *testing.T) {
	binaries, host := build(t), randomHost()
	settings := writeSettings(t, host)
	for _, name := range []string{"entry", "agent"} {
		path := filepath.Join(binaries, name)
		arguments := []string{"-settings", settings, "-name", name + "-1"}
		t.Run(name+" without settings", func(t *testing.T) { launch(t, path).mustExit(t, 2) })
		t.Run(name+" with a missing file", func(t *testing.T) { launch(t, path, "-settings", settings+"x").mustExit(t, 2) })
		t.Run(name+" with an unknown name", func(t *testing.T) {
			launch(t, path, "-settings", settings, "-name", "x").mustExit(t, 2)
		})
		t.Run(name+" cut off by a second signal", func(t *testing.T) {
			// No controller answers, so the shutdown step Leave can't finish.
			first := launch(t, path, arguments...)
			awaitTrue(t, "started", func() bool { return first.hasLogged("ProcessStarted") })
			launch(t, path, arguments...).mustExit(t, 2) // the addresses are in use
			first.signal(t, syscall.SIGTERM)
			awaitTrue(t, "leaves", func() bool { return first.hasLogged(`"Step":"Leave"`) })
			first.signal(t, syscall.SIGINT)
			first.mustExit(t, 3)
			must.True(t, first.hasLogged("a second signal arrived"))
			must.SliceNotEmpty(t, cutOffLines(first))
		})
		t.Run(name+" cut off by StopWithin", func(t *testing.T) {
			late := launch(t, path, arguments...)
			awaitTrue(t, "started", func() bool { return late.hasLogged("ProcessStarted") })
			late.signal(t, syscall.SIGTERM)
			late.mustExit(t, 3)
			must.SliceNotEmpty(t, cutOffLines(late))
		})
	}
}

// cutOffLines returns the log lines that report that the step Leave was cut off.
func cutOffLines(p *program) []string {
	var found []string
	for lines := bufio.NewScanner(&p.log); lines.Scan(); {
		if strings.Contains(lines.Text(), "ShutdownCutOff") && strings.Contains(lines.Text(), `"Steps":["Leave"]`) {
			found = append(found, lines.Text())
		}
	}
	return found
}
