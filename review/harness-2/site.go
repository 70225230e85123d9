package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The size of a small deployment: three machines with a disk, which run a controller and an entry, and eleven workers.
const (
	frontends = 3
	workers   = 11
)

// The bounds of the small deployments that the cases use.
const (
	configApply   = 2 * time.Second         // configApplyMs
	cancelBound   = 3 * time.Second         // cancel_ms
	visibleBound  = 3 * time.Second         // visible_ms
	finishBound   = 14 * time.Second        // finish_s
	holdMax       = 1000 * time.Millisecond // holdMaxMs
	drainTime     = 2 * time.Second         // drainMs
	beatInterval  = 1500 * time.Millisecond // heartbeatIntervalMs
	idleJobsBound = 3 * time.Second         // of the rule LOST: nothing runs although there is room
	freezeTime    = 5 * time.Second         // of node_freeze in the site files
)

var zones = []string{"alajuela", "heredia", "cartago"}

// workerSize is the capacity of each worker.
type workerSize struct{ cpu, memory int } // thousandths of a core, MB

// The sizes of the sheets of alisio-tally and eslabon-prod.
var (
	smallWorkers = workerSize{16000, 32768}
	largeWorkers = workerSize{64000, 262144}
)

// site is the system and its stand-ins.
type site struct {
	size        workerSize
	folder      string
	record      *bufio.Writer
	recordFile  *os.File
	mutex       sync.Mutex // guards record and closed
	closed      bool
	began       time.Time
	ports       ports
	network     string // first two bytes of the machines' addresses
	controllers []*process
	entries     []*process
	agents      []*process
	workers     []*worker
}

// ports are the same on all machines.
type ports struct {
	frontend, readiness, control, app, internal, metrics int
}

func newSite(recordPath string, size workerSize) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	recordFile, err := os.Create(recordPath)
	if err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	s := &site{size: size, folder: folder, recordFile: recordFile, record: bufio.NewWriter(recordFile), began: time.Now()}
	if err := s.choosePorts(); err != nil {
		return s, err
	}
	return s, s.start()
}

// choosePorts takes a random loopback network and random ports that are free.
func (s *site) choosePorts() error {
	for range 50 {
		s.network = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + rand.IntN(10000)
		s.ports = ports{frontend: base, readiness: base + 1, control: base + 2, app: base + 3, metrics: base + 4, internal: base + 10}
		free := true
		for _, port := range []int{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 10, base + 11} {
			for _, address := range []string{s.frontendIP(0), s.sideIP(0)} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
				if err != nil {
					free = false
					break
				}
				listener.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (s *site) frontendIP(i int) string { return fmt.Sprintf("%s.1.%d", s.network, 11+i) }
func (s *site) sideIP(i int) string     { return fmt.Sprintf("%s.2.%d", s.network, 11+i) }

// start starts all processes and workers.
func (s *site) start() error {
	for i := range frontends {
		settings, err := s.writeSettings(fmt.Sprintf("frontend-%s-1", zones[i]), s.frontendSettings(i))
		if err != nil {
			return err
		}
		s.controllers = append(s.controllers, s.process(fmt.Sprintf("controller-%d", i), "controller", s.ports.metrics, settings))
		s.entries = append(s.entries, s.process(fmt.Sprintf("entry-%d", i), "entry", s.ports.metrics+1, settings))
	}
	for i := range workers {
		settings, err := s.writeSettings(fmt.Sprintf("side-%d", i), s.sideSettings(i))
		if err != nil {
			return err
		}
		s.agents = append(s.agents, s.process(fmt.Sprintf("agent-%d", i), "agent", s.ports.metrics+2, settings))
		kind := "a"
		if i == workers-1 {
			kind = rareKind
		}
		s.workers = append(s.workers, &worker{site: s, index: i, zone: zones[i%len(zones)], address: fmt.Sprintf("%s:%d", s.sideIP(i), s.ports.app),
			registry: fmt.Sprintf("http://%s:%d", s.sideIP(i), s.ports.control), labels: []string{kind, fmt.Sprintf("r1-%d", i/3)}})
		if i == 0 {
			s.workers[0].gpus = gpus
		}
	}
	for _, each := range s.processes() {
		if err := each.start(); err != nil {
			return err
		}
	}
	time.Sleep(startTime)
	for _, each := range s.workers {
		if err := each.boot(); err != nil {
			return err
		}
		time.Sleep(bootInterval)
	}
	return nil
}

const (
	// startTime is enough for the processes to find each other.
	startTime = 1500 * time.Millisecond
	// bootInterval lets the workers join in the order of their numbers.
	bootInterval = 100 * time.Millisecond
)

// gpus is the number of GPUs of the first worker; the others have none.
const gpus = 4

// rareKind is the kind of the last worker; the others are of kind "a".
const rareKind = "b"

func (s *site) process(name, role string, metrics int, settings string) *process {
	return &process{name: name, command: fmt.Sprintf("target/oleandertally %s -metrics %d", role, metrics), settings: settings,
		log: filepath.Join(s.folder, name+".log")}
}

func (s *site) processes() []*process {
	var all []*process
	all = append(all, s.controllers...)
	all = append(all, s.entries...)
	return append(all, s.agents...)
}

func (s *site) writeSettings(name, text string) (string, error) {
	path := filepath.Join(s.folder, name+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// commonSettings are the fields that all machines share, with the values of the small deployments.
func (s *site) commonSettings() string {
	var seeds strings.Builder
	for i := range frontends {
		fmt.Fprintf(&seeds, "  - \"%s:%d\"\n", s.frontendIP(i), s.ports.control)
	}
	return fmt.Sprintf(`region: "cr-central"
zones:
  alajuela: "cr-central"
  heredia: "cr-central"
  cartago: "cr-central"
internalPortRange:
  - %d
  - %d
seedNodes:
%sbootstrap: true
discovery: "local"
entry: "virtual_ip"
heartbeatIntervalMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
faultTolerance:
  machines: 1
  zones: 0
  regions: 0
bounds: {seedLagS: 3, addressReuseS: 2, contactMs: 3000, ackTimeoutMs: 4000, catchUpS: 4, drainMs: 2000, gracePeriodS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxExtensionMs: 5000, recoveryS: 12, holdMaxMs: 1000, stopGraceMs: 50, gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 1.5, checkpointIntervalS: 1, restoreMs: 250, noticeMs: 4500, migrationS: 1.5, maintenanceS: 2, fencingEnforced: true, leaseMs: 3000, thawSlackMs: 300, pacingMs: 100, impactMs: 4000, resendMs: 1300}
config_mode: "highest"
controlMode: "invocation"
`, s.ports.internal, s.ports.internal+15, seeds.String())
}

func (s *site) frontendSettings(i int) string {
	ip := s.frontendIP(i)
	return fmt.Sprintf(`nodeName: "frontend-%[1]s-1"
machineClass: "frontend"
serves: ["frontend", "control_plane"]
ip: "%[2]s"
zone: "%[1]s"
listenAddresses:
  frontendAddr: "%[2]s:%[3]d"
  readinessAddr: "%[2]s:%[4]d"
  controlPlane: "%[2]s:%[5]d"
failureCounted: true
limits: {cpuShare: 0.8, cores: 1, memoryMb: 284, fdLimit: 4100, linkMbps: 1000.0, diskMb: 128}
dataDirectory: "%[6]s"
`, zones[i], ip, s.ports.frontend, s.ports.readiness, s.ports.control, filepath.Join(s.folder, fmt.Sprintf("data-%d", i))) + s.commonSettings()
}

func (s *site) sideSettings(i int) string {
	ip := s.sideIP(i)
	return fmt.Sprintf(`nodeName: "side-%d"
machineClass: "side"
serves: ["side"]
ip: "%[2]s"
zone: "%[3]s"
listenAddresses:
  controlPlane: "%[2]s:%[4]d"
failureCounted: false
limits: {cpuShare: 0.24, cores: 1, memoryMb: 152, fdLimit: 4096, linkMbps: 1000.0, diskMb: 0}
dataDirectory: null
app: "%[2]s:%[5]d"
service: "%[6]s"
`, i, ip, zones[i%len(zones)], s.ports.control, s.ports.app, serviceName) + s.commonSettings()
}

// note writes a line with the time since the start of the case.
func (s *site) note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the case started and removes its folder.
func (s *site) close() {
	for _, each := range s.workers {
		each.shut()
	}
	var waiting sync.WaitGroup
	for _, each := range s.processes() {
		waiting.Go(each.kill)
	}
	waiting.Wait()
	s.mutex.Lock()
	s.closed = true
	s.record.Flush()
	s.recordFile.Close()
	s.mutex.Unlock()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept", s.folder)
	}
}
