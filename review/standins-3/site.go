package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"
)

const (
	gracePeriod       = 6 * time.Second
	heartbeatInterval = 1500 * time.Millisecond
	ackTimeout        = 4 * time.Second
	// leadTime is from the start of the machines to the start of the traffic.
	leadTime   = 10 * time.Second
	finishTime = 14 * time.Second // finish_s
	service    = "huvo11a"
)

// The ports of the site, the same on all machines.
const (
	portApp = iota + 5
	portControlPlane
	portFrontend
	portReadiness
	portInternalFirst
	portInternalLast
)

// zoneShape is the machines of a zone.
type zoneShape struct {
	name   string
	fronts int // the first of them has a disk
	sides  int
	sizes  []int // capacity of each worker, in thousandths of a core
}

// shape is that of a small deployment: 7 frontend and 11 side machines in 3 zones, 3 workers a rack.
var shape = []zoneShape{
	{"alajuela", 3, 4, []int{16000, 16000, 24000, 16000}},
	{"heredia", 2, 4, []int{16000, 24000, 16000, 16000}},
	{"cartago", 2, 3, []int{24000, 16000, 16000}},
}

const rackSize = 3

// site is the project's programs on loopback, with stand-ins for the workers.
type site struct {
	record  *record
	watch   *watch
	folder  string
	network string // first two bytes of the machines' addresses; the third is that of the zone
	zone    int    // third byte of the first zone's addresses
	port    int    // the ports begin here
	seeds   []string

	controllers []string // addresses of the operator's interface
	entries     []string
	readiness   []string
	processes   []*process
	agents      map[string]*process // by the ID of the worker beside each
	workers     []*worker
}

// newSite starts the programs and the workers, sends the manifest and waits until all are ready.
func newSite(r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "standins")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, watch: newWatch(r), folder: folder, agents: make(map[string]*process)}
	if err := s.choosePorts(); err != nil {
		return s, err
	}
	for zone := range shape {
		s.seeds = append(s.seeds, s.addr(zone, 1, portControlPlane))
	}
	for zone, each := range shape {
		for front := range each.fronts {
			if err := s.addFront(zone, front); err != nil {
				return s, err
			}
		}
	}
	for zone, each := range shape {
		for side := range each.sides {
			if err := s.addSide(zone, side); err != nil {
				return s, err
			}
		}
	}
	s.watch.workers = s.workers
	return s, s.awaitReady()
}

// choosePorts chooses a part of the loopback network in which the ports are free.
func (s *site) choosePorts() error {
	for range 20 {
		s.network, s.zone, s.port = fmt.Sprintf("127.%d", 60+rand.IntN(60)), 1+len(shape)*rand.IntN(80), 10000+16*rand.IntN(1000)
		free := true
		for _, port := range append([]int{9101, 9102}, s.ports()...) {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(0, 1), port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close() // nothing was sent
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// ports returns the ports of a machine beside those of the metrics.
func (s *site) ports() []int {
	var list []int
	for port := portApp; port <= portInternalLast; port++ {
		list = append(list, s.port+port)
	}
	return list
}

func (s *site) ip(zone, machine int) string {
	return fmt.Sprintf("%s.%d.%d", s.network, s.zone+zone, machine)
}

func (s *site) addr(zone, machine, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(zone, machine), s.port+port)
}

// settings writes a settings file with the fields of a small deployment and returns its path.
func (s *site) settings(name string, zone int, ip string, own map[string]any) (string, error) {
	zones := make(map[string]string)
	for _, each := range shape {
		zones[each.name] = "cr-central"
	}
	fields := map[string]any{"nodeName": name, "ip": ip, "zone": shape[zone].name, "region": "cr-central", "zones": zones,
		"internalPortRange": []int{s.port + portInternalFirst, s.port + portInternalLast}, "seedNodes": s.seeds, "bootstrap": true,
		"discovery": "local", "entry": "virtual_ip", "heartbeatIntervalMs": heartbeatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxExtensionMs": 5000, "recoveryS": 12,
			"holdMaxMs": 1000, "stopGraceMs": 50, "gangWaitMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
			"status_s": 120, "remoteFactor": 1.5, "checkpointIntervalS": 1, "restoreMs": 250, "noticeMs": 4500, "migrationS": 1.5,
			"maintenanceS": 2, "fencingEnforced": true, "leaseMs": 3000, "thawSlackMs": 300, "pacingMs": 100, "impactMs": 4000, "resendMs": 1300},
		"config_mode": "highest", "controlMode": "invocation"}
	for field, value := range own {
		fields[field] = value
	}
	text, err := json.MarshalIndent(fields, "", "  ") // which is YAML too
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.folder, name+".yaml")
	return path, os.WriteFile(path, text, 0o600)
}

func (s *site) run(name, command, settings string) (*process, error) {
	p := &process{name: name, command: command, settings: settings, log: filepath.Join(s.folder, name+".log"), record: s.record}
	s.processes = append(s.processes, p)
	return p, p.start()
}

// addFront starts a frontend machine, the first of a zone with a disk and a controller.
func (s *site) addFront(zone, front int) error {
	ip, name := s.ip(zone, front+1), fmt.Sprintf("frontend-%s-%d", shape[zone].name, front+1)
	limits := map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "fdLimit": 4100, "linkMbps": 1000.0, "diskMb": 0}
	fields := map[string]any{"role": "entry", "machineClass": "frontend", "serves": []string{"frontend"}, "failureCounted": false, "limits": limits,
		"listenAddresses": map[string]string{"frontendAddr": s.addr(zone, front+1, portFrontend), "readinessAddr": s.addr(zone, front+1, portReadiness)}}
	if front == 0 {
		limits["cpuShare"], limits["diskMb"] = 0.8, 128
		folder := filepath.Join(s.folder, name)
		if err := os.Mkdir(folder, 0o700); err != nil {
			return err
		}
		own := map[string]any{"role": "controller", "machineClass": "frontend", "serves": []string{"control_plane"}, "failureCounted": true, "limits": limits,
			"dataDirectory": folder, "listenAddresses": map[string]string{"controlPlane": s.addr(zone, 1, portControlPlane)}}
		path, err := s.settings(name+"-controller", zone, ip, own)
		if err != nil {
			return err
		}
		if _, err := s.run(name+"-controller", "target/oleandertally controller -metrics 9101", path); err != nil {
			return err
		}
		s.controllers = append(s.controllers, s.addr(zone, 1, portControlPlane))
	}
	path, err := s.settings(name+"-entry", zone, ip, fields)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, s.addr(zone, front+1, portFrontend))
	s.readiness = append(s.readiness, s.addr(zone, front+1, portReadiness))
	_, err = s.run(name+"-entry", "target/oleandertally entry -metrics 9102", path)
	return err
}

// addSide starts a worker and the agent on its machine.
func (s *site) addSide(zone, side int) error {
	machine := 101 + side
	ip, name := s.ip(zone, machine), fmt.Sprintf("side-%s-%d", shape[zone].name, side+1)
	app, agent := s.addr(zone, machine, portApp), s.addr(zone, machine, portControlPlane)
	path, err := s.settings(name, zone, ip, map[string]any{"role": "agent", "machineClass": "side", "serves": []string{"side"}, "failureCounted": false,
		"limits":          map[string]any{"cpuShare": 0.24, "cores": 1, "memoryMb": 152, "fdLimit": 4096, "linkMbps": 1000.0, "diskMb": 0},
		"listenAddresses": map[string]string{"controlPlane": agent}, "app": app, "service": service})
	if err != nil {
		return err
	}
	kind := "a"
	if shape[zone].sizes[side] > 16000 {
		kind = "b"
	}
	w := &worker{id: fmt.Sprintf("i-%08x", rand.Uint32()), app: app, agent: agent, zone: shape[zone].name, service: service,
		labels:   []string{kind, fmt.Sprintf("r%d-%d", zone+1, side/rackSize+1)},
		capacity: resources{CPU: shape[zone].sizes[side], Memory: 2 * shape[zone].sizes[side]}, record: s.record, needs: s.watch.need, watch: s.watch}
	if err := w.boot(); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	s.record.note("worker %s beside %s: %v, %d cores", w.id, name, w.labels, w.capacity.CPU/1000)
	s.agents[w.id], err = s.run(name, "target/oleandertally agent -metrics 9103", path)
	return err
}

// maxAttempts is the number of runs of a task that may fail, as the manifest says.
const maxAttempts = 3

// route is a route of the manifest.
type route struct {
	Name             string  `json:"name"`
	Host             string  `json:"host"`
	PathPrefix       string  `json:"pathPrefix"`
	Kind             string  `json:"kind"`
	TimeoutMs        int     `json:"timeoutMs"`
	TargetDurationMs int     `json:"targetDurationMs"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service"`
	MaxAttempts      int     `json:"maxAttempts"`
	StretchFactor    float64 `json:"stretchFactor"`
}

// The prefixes of the queues, from the manifest that is sent at the start.
const (
	firstQueue  = "/lohu930/"
	secondQueue = "/pufi791/"
)

func manifest(version int) map[string]any {
	routes := []route{}
	for priority, prefix := range []string{firstQueue, secondQueue} {
		routes = append(routes, route{Name: fmt.Sprintf("r-%d", priority), Host: jobHost, PathPrefix: prefix, Kind: "non_idempotent", TimeoutMs: 20000,
			TargetDurationMs: 60, Priority: priority, Service: service, MaxAttempts: maxAttempts, StretchFactor: 1.6})
	}
	services := []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}}
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

// awaitReady sends the manifest until it is acknowledged, and waits until all entries are ready, all workers are known and the lead
// time has passed.
func (s *site) awaitReady() error {
	traffic := time.Now().Add(leadTime)
	deadline := traffic.Add(leadTime)
	await := func(what string, holds func() bool) error {
		for !holds() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: not in time", what)
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
	if err := await("the manifest", func() bool {
		code, _, err := exchange(http.MethodPut, "http://"+s.controllers[0]+"/-/config", "", manifest(1), time.Second)
		return err == nil && code == http.StatusOK
	}); err != nil {
		return err
	}
	s.record.note("operator: manifest 1 is acknowledged")
	for _, each := range s.readiness {
		if err := await("entry "+each, func() bool {
			code, _, err := exchange(http.MethodGet, "http://"+each+"/-/readiness", "", nil, time.Second)
			return err == nil && code == http.StatusOK
		}); err != nil {
			return err
		}
	}
	for _, each := range s.workers {
		if err := await("worker "+each.id, each.isReported); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(traffic))
	s.record.note("all entries are ready, all workers are known: the traffic starts")
	return nil
}

// process returns the process of that name.
func (s *site) process(name string) *process {
	for _, each := range s.processes {
		if each.name == name {
			return each
		}
	}
	return nil
}

// leader returns the controller that began to lead in the newest term, by the log of each, or nil.
func (s *site) leader() *process {
	var found *process
	newest := 0
	for _, each := range s.processes {
		content, err := os.ReadFile(each.log)
		if err != nil {
			continue
		}
		for _, match := range leaderLine.FindAllSubmatch(content, -1) {
			if term, err := strconv.Atoi(string(match[1])); err == nil && term > newest {
				newest, found = term, each
			}
		}
	}
	return found
}

// leaderLine is what a controller logs when it begins to lead.
var leaderLine = regexp.MustCompile(`"Event":"BecameLeader","Term":([0-9]+)`)

// withLabel returns the only worker that has a label.
func (s *site) withLabel(label string) *worker {
	for _, each := range s.workers {
		if contains(each.labels, label) {
			return each
		}
	}
	return nil
}

// close ends all processes and workers, and removes the folder unless keep is set.
func (s *site) close(keep bool) {
	for _, each := range s.processes {
		each.kill()
	}
	for _, each := range s.workers {
		each.crash()
	}
	if keep {
		fmt.Println("logs:", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder) // a temporary folder
}
