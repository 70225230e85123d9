package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	holdMax     = time.Second // longest lease
	stopTime    = 20 * time.Millisecond
	maxWait     = 2 * time.Second
	maxFinished = 500
)

// work is the specification of the jobs in these cases: what each task does.
type work struct {
	Millis int
	Fails  bool `json:",omitempty"`
}

func (w work) encode() string {
	text, _ := json.Marshal(w) // can't fail with these fields
	return string(text)
}

// resources is an amount of a worker's resources.
type resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memoryRequestMb"`
	GPU    int `json:"gpu"`
}

// run is a run in progress.
type run struct {
	task     string
	number   uint64
	need     resources
	timer    *time.Timer
	stopping bool
}

// worker is a stand-in worker with the platform's protocol. It does not guard its capacity.
type worker struct {
	id       string
	app      string // address at which it takes calls
	agent    string // address of its status reports
	zone     string
	service  string
	labels   []string
	capacity resources
	record   *record
	needs    func(task string) resources // of the task's step, as its client has asked
	watch    *watch

	mutex    sync.Mutex
	server   *http.Server
	born     time.Time
	sequence int
	token    uint64
	leaseEnd time.Duration // on the worker's clock
	running  map[string]*run
	highest  map[string]uint64 // highest run of each task that was stopped or has ended
	finished [][]any
	lastEnd  uint64
	changed  chan struct{} // closed when a run ends
	stopped  chan struct{}
	reported bool // a status report was acknowledged
}

// boot starts the worker.
func (w *worker) boot() error {
	listener, err := net.Listen("tcp", w.app)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	w.mutex.Lock()
	w.server, w.born = &http.Server{Handler: mux}, time.Now()
	w.running, w.highest, w.finished = make(map[string]*run), make(map[string]uint64), [][]any{}
	w.changed, w.stopped = make(chan struct{}), make(chan struct{})
	server, stopped := w.server, w.stopped
	w.mutex.Unlock()
	go func() { _ = server.Serve(listener) }() // until the server is closed
	go w.report(stopped)
	return nil
}

// crash ends the worker and all that runs there, for good.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.server == nil {
		return
	}
	w.record.note("worker %s crashes", w.id)
	close(w.stopped)
	_ = w.server.Close()
	w.server = nil
	for _, each := range w.running {
		each.timer.Stop()
		w.watch.ended(each.task, "crashed")
	}
	w.running = make(map[string]*run)
}

// report sends the worker's status reports until it ends.
func (w *worker) report(stopped chan struct{}) {
	for {
		ok := w.put(w.id, w.status())
		w.mutex.Lock()
		w.reported = w.reported || ok
		w.mutex.Unlock()
		select {
		case <-stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// status returns the next status report.
func (w *worker) status() map[string]any {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	return map[string]any{"service": w.service, "address": w.app, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": w.capacity, "labels": w.labels, "clockMs": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli()}
}

// put sends a status report to the agent on the worker's machine, and reports whether it was acknowledged.
func (w *worker) put(id string, status map[string]any) bool {
	code, _, err := exchange(http.MethodPut, "http://"+w.agent+"/-/instances/"+id, "", status, time.Second)
	return err == nil && code/100 == 2
}

func (w *worker) isReported() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.reported
}

// isUp reports whether the worker is up.
func (w *worker) isUp() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.server != nil
}

// used returns the resources in use.
func (w *worker) used() resources {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var total resources
	for _, each := range w.running {
		total.CPU, total.Memory, total.GPU = total.CPU+each.need.CPU, total.Memory+each.need.Memory, total.GPU+each.need.GPU
	}
	return total
}

func (w *worker) clock() time.Duration { return time.Second + time.Since(w.born) }

// call is the body of each call to a worker.
type call struct {
	Task          string `json:"task"`
	RunID         uint64 `json:"runId"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	FencingToken  uint64 `json:"fencingToken"`
	LastSeen      uint64 `json:"lastSeen"`
	WaitMs        int64  `json:"waitMs"`
}

func (w *worker) answer(to http.ResponseWriter, code int, fields map[string]any) {
	fields["clockMs"], fields["born"] = w.clock().Milliseconds(), w.born.UnixMilli()
	to.Header().Set("Content-Type", "application/json")
	to.WriteHeader(code)
	_ = json.NewEncoder(to).Encode(fields) // fails only if the caller has left
}

// accept reads a call and checks the lifetime and the fence number. It holds the mutex when it returns true.
func (w *worker) accept(to http.ResponseWriter, from *http.Request, into *call) bool {
	if json.NewDecoder(from.Body).Decode(into) != nil {
		to.WriteHeader(http.StatusBadRequest)
		return false
	}
	w.mutex.Lock()
	if expected := from.Header.Get("X-Oleandertally-Expected-Instance"); expected != "" && expected != w.id {
		w.answer(to, http.StatusMisdirectedRequest, map[string]any{})
		w.mutex.Unlock()
		return false
	}
	if into.FencingToken < w.token {
		w.answer(to, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mutex.Unlock()
		return false
	}
	w.token = into.FencingToken
	return true
}

func (w *worker) start(to http.ResponseWriter, from *http.Request) {
	var c call
	if !w.accept(to, from, &c) {
		return
	}
	defer w.mutex.Unlock()
	deadline := time.Duration(c.DeadlineMs) * time.Millisecond
	if deadline <= w.clock() {
		w.answer(to, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(deadline)
	present := w.running[c.Task]
	switch {
	case present != nil && present.number == c.RunID:
		w.answer(to, http.StatusOK, map[string]any{})
		return
	case present != nil || c.RunID <= w.highest[c.Task]:
		w.answer(to, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	var does work
	if json.Unmarshal([]byte(c.Specification), &does) != nil {
		w.answer(to, http.StatusBadRequest, map[string]any{})
		return
	}
	began := &run{task: c.Task, number: c.RunID, need: w.needs(c.Task)}
	w.running[c.Task] = began
	w.record.note("worker %s starts %s run %d", w.id, c.Task, c.RunID)
	w.watch.started(c.Task, w.id)
	how := "done"
	if does.Fails {
		how = "failed"
	}
	began.timer = time.AfterFunc(time.Duration(does.Millis)*time.Millisecond, func() { w.end(began, how) })
	w.answer(to, http.StatusOK, map[string]any{})
}

func (w *worker) stop(to http.ResponseWriter, from *http.Request) {
	var c call
	if !w.accept(to, from, &c) {
		return
	}
	defer w.mutex.Unlock()
	w.highest[c.Task] = max(w.highest[c.Task], c.RunID)
	if present := w.running[c.Task]; present != nil && present.number <= c.RunID && !present.stopping {
		w.record.note("worker %s is told to stop %s run %d", w.id, c.Task, c.RunID)
		present.stopping = true
		time.AfterFunc(stopTime, func() { w.end(present, "stopped") })
	}
	w.answer(to, http.StatusOK, map[string]any{})
}

// end ends a run, unless it has ended.
func (w *worker) end(ending *run, how string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endLocked(ending, how)
}

func (w *worker) endLocked(ending *run, how string) {
	if w.running[ending.task] != ending {
		return
	}
	ending.timer.Stop()
	delete(w.running, ending.task)
	w.highest[ending.task] = max(w.highest[ending.task], ending.number)
	w.lastEnd++
	w.finished = append(w.finished, []any{w.lastEnd, ending.task, ending.number, how, ""})
	w.record.note("worker %s: %s run %d ends as %s", w.id, ending.task, ending.number, how)
	w.watch.ended(ending.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend moves the end of the lease. When it passes, everything that runs ends.
func (w *worker) extend(deadline time.Duration) {
	deadline = min(deadline, w.clock()+holdMax)
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	time.AfterFunc(deadline-w.clock()+time.Millisecond, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.clock() < w.leaseEnd {
			return
		}
		for _, each := range w.running {
			w.endLocked(each, "lapsed")
		}
	})
}

func (w *worker) hold(to http.ResponseWriter, from *http.Request) {
	var c call
	if !w.accept(to, from, &c) {
		return
	}
	defer w.mutex.Unlock()
	w.extend(time.Duration(c.DeadlineMs) * time.Millisecond)
	until := time.After(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
	for w.forget(c.LastSeen); len(w.finished) == 0 && c.WaitMs > 0; {
		changed := w.changed
		w.mutex.Unlock()
		expired := false
		select {
		case <-changed:
		case <-until:
			expired = true
		}
		w.mutex.Lock()
		if expired {
			break
		}
	}
	listed := [][]any{}
	for _, each := range w.running {
		listed = append(listed, []any{each.task, each.number, "", 100, 0})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i][0].(string) < listed[j][0].(string) })
	w.answer(to, http.StatusOK, map[string]any{"running": listed, "finished": w.finished[:min(len(w.finished), maxFinished)]})
}

// forget drops the ends up to a number.
func (w *worker) forget(seen uint64) {
	for len(w.finished) > 0 && w.finished[0][0].(uint64) <= seen {
		w.finished = w.finished[1:]
	}
}

// exchange sends one request with a JSON body and returns the status and the body of the answer.
func exchange(method, url, host string, body any, timeout time.Duration, headers ...string) (int, []byte, error) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, content)
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		request.Host = host
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	for at := 0; at+1 < len(headers); at += 2 {
		request.Header.Set(headers[at], headers[at+1])
	}
	client := &http.Client{Timeout: timeout, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return fmt.Errorf("redirected %d times", len(via))
		}
		return nil
	}, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
