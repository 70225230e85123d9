package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const serviceName = "huvo11a"

// maxListedEnds is the number of ends that one answer holds.
const maxListedEnds = 500

// worker is a sound worker that does not guard its capacity. A task's specification says how long it runs ("ms=300").
type worker struct {
	site     *site
	index    int
	zone     string
	address  string
	registry string // of the agent on its machine
	labels   []string
	gpus     int
	// unhealthy makes it answer each start with 503; it has then done nothing.
	unhealthy atomic.Bool
	// draining is what its status reports say.
	draining atomic.Bool

	id       string
	born     time.Time
	server   *http.Server
	stopBeat chan struct{}
	mutex    sync.Mutex
	fence    uint64
	lease    time.Time // end of the lease of all that runs
	runs     map[string]*workerRun
	highest  map[string]uint64 // highest run of each task that was stopped or has ended
	ends     [][]any
	nextEnd  int
	ended    chan struct{} // closed and replaced when a run ends
	starts   []workerStart
	sequence int
}

type workerRun struct {
	task  string
	run   uint64
	timer *time.Timer
}

// workerStart is a task that the worker has begun.
type workerStart struct {
	task string
	at   time.Time
}

// boot begins a life of the worker, which knows nothing of an earlier one.
func (w *worker) boot() error {
	w.fence, w.lease, w.ends, w.nextEnd, w.sequence = 0, time.Time{}, nil, 0, 0
	w.id, w.born = fmt.Sprintf("i-%08x", time.Now().UnixNano()&0xffffff00+int64(w.index)), time.Now()
	w.runs, w.highest, w.ended, w.stopBeat = make(map[string]*workerRun), make(map[string]uint64), make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	routes := http.NewServeMux()
	routes.HandleFunc("POST /-/run-start", w.start)
	routes.HandleFunc("POST /-/run-stop", w.stop)
	routes.HandleFunc("POST /-/hold", w.hold)
	routes.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.server = &http.Server{Handler: routes}
	go w.server.Serve(listener)
	go w.beat(w.stopBeat)
	go w.watchLease(w.stopBeat)
	return nil
}

// replace lets the worker drain and leave, as planned, and begins its next life.
func (w *worker) replace() error {
	w.draining.Store(true)
	time.Sleep(2*beatInterval + drainTime)
	request, err := http.NewRequest(http.MethodDelete, w.registry+"/-/instances/"+w.id, nil)
	if err != nil {
		return err
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		response.Body.Close()
	}
	w.shut()
	w.draining.Store(false)
	return w.boot()
}

// shut ends the life of the worker without a word, as a crash does.
func (w *worker) shut() {
	if w.server == nil {
		return
	}
	close(w.stopBeat)
	w.server.Close()
	w.server = nil
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, run := range w.runs {
		run.timer.Stop()
	}
	w.runs = nil
}

// beat sends the status reports.
func (w *worker) beat(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.sequence++
		state := "ready"
		if w.draining.Load() {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
			"state": state, "coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.site.size.cpu, "memoryRequestMb": w.site.size.memory, "gpu": w.gpus}, "labels": w.labels,
			"clockMs": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli()})
		request, _ := http.NewRequest(http.MethodPut, w.registry+"/-/instances/"+w.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		pause := beatInterval
		if response, err := client.Do(request); err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
		} else {
			pause = beatInterval / 3 // not acknowledged
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// answer writes a body with the fields that each answer has. The caller may hold the mutex.
func (w *worker) answer(to http.ResponseWriter, code int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clockMs"], body["born"] = w.clock(), w.born.UnixMilli()
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(code)
	json.NewEncoder(to).Encode(body)
}

type workerCall struct {
	Task          string `json:"task"`
	RunID         uint64 `json:"runId"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	FencingToken  uint64 `json:"fencingToken"`
	LastSeen      int    `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
}

// decode reads a call and reports whether it is for this life of the worker.
func (w *worker) decode(to http.ResponseWriter, r *http.Request) (workerCall, bool) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.answer(to, http.StatusBadRequest, nil)
		return call, false
	}
	if expected := r.Header.Get("X-Oleandertally-Expected-Instance"); expected != "" && expected != w.id {
		w.answer(to, http.StatusMisdirectedRequest, nil)
		return call, false
	}
	return call, true
}

// accepts checks the fence number. The mutex is held.
func (w *worker) accepts(to http.ResponseWriter, call workerCall) bool {
	if call.FencingToken < w.fence {
		w.answer(to, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	w.fence = call.FencingToken
	return true
}

// extend prolongs the lease of all that runs. The mutex is held.
func (w *worker) extend(deadlineMs int64) {
	if deadlineMs <= 0 {
		return
	}
	until, latest := w.born.Add(time.Duration(deadlineMs)*time.Millisecond), time.Now().Add(holdMax)
	if until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

var durationPattern = regexp.MustCompile(`ms=(\d+)`)

func (w *worker) start(to http.ResponseWriter, r *http.Request) {
	call, ok := w.decode(to, r)
	if !ok {
		return
	}
	if w.unhealthy.Load() {
		w.site.note("worker %d refuses %s run %d with 503", w.index, call.Task, call.RunID)
		w.answer(to, http.StatusServiceUnavailable, nil)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.accepts(to, call) {
		return
	}
	if run := w.runs[call.Task]; run != nil && run.run == call.RunID {
		w.answer(to, http.StatusOK, nil)
		return
	}
	if call.RunID <= w.highest[call.Task] || w.runs[call.Task] != nil {
		w.answer(to, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if call.DeadlineMs <= w.clock() {
		w.answer(to, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(call.DeadlineMs)
	duration := 100
	if match := durationPattern.FindStringSubmatch(call.Specification); match != nil {
		duration, _ = strconv.Atoi(match[1])
	}
	run := &workerRun{task: call.Task, run: call.RunID}
	run.timer = time.AfterFunc(time.Duration(duration)*time.Millisecond, func() { w.finish(run, "done") })
	w.runs[call.Task] = run
	w.starts = append(w.starts, workerStart{task: call.Task, at: time.Now()})
	w.site.note("worker %d starts %s run %d", w.index, call.Task, call.RunID)
	w.answer(to, http.StatusOK, nil)
}

func (w *worker) finish(run *workerRun, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.end(run, how)
}

// end lists the end of a run. The mutex is held.
func (w *worker) end(run *workerRun, how string) {
	if w.runs[run.task] != run {
		return
	}
	run.timer.Stop()
	delete(w.runs, run.task)
	w.highest[run.task] = max(w.highest[run.task], run.run)
	w.nextEnd++
	w.ends = append(w.ends, []any{w.nextEnd, run.task, run.run, how, ""})
	close(w.ended)
	w.ended = make(chan struct{})
	w.site.note("worker %d ends %s run %d %s", w.index, run.task, run.run, how)
}

func (w *worker) stop(to http.ResponseWriter, r *http.Request) {
	call, ok := w.decode(to, r)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.accepts(to, call) {
		return
	}
	w.highest[call.Task] = max(w.highest[call.Task], call.RunID)
	if run := w.runs[call.Task]; run != nil && run.run <= call.RunID {
		w.end(run, "stopped")
	}
	w.answer(to, http.StatusOK, nil)
}

func (w *worker) hold(to http.ResponseWriter, r *http.Request) {
	call, ok := w.decode(to, r)
	if !ok {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.accepts(to, call) {
		return
	}
	w.extend(call.DeadlineMs)
	for len(w.ends) > 0 && w.ends[0][0].(int) <= call.LastSeen {
		w.ends = w.ends[1:]
	}
	if call.WaitMs > 0 && len(w.ends) == 0 {
		ended := w.ended
		w.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(call.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mutex.Lock()
	}
	running := [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.run, "", 0, 0})
	}
	finished := append([][]any{}, w.ends[:min(len(w.ends), maxListedEnds)]...)
	w.answer(to, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

// watchLease ends everything that runs when the lease expires.
func (w *worker) watchLease(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		w.mutex.Lock()
		if time.Now().After(w.lease) {
			for _, run := range w.runs {
				w.end(run, "lapsed")
			}
		}
		w.mutex.Unlock()
	}
}

// idle reports whether nothing runs at the worker.
func (w *worker) idle() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.runs) == 0
}

// startsOf returns when tasks of a job were begun at the worker.
func (w *worker) startsOf(job string) []workerStart {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []workerStart
	for _, each := range w.starts {
		if len(each.task) > len(job) && each.task[:len(job)] == job {
			list = append(list, each)
		}
	}
	return list
}
