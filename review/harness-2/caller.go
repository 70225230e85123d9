package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// answer is what a caller got: the status, or 0 without an answer.
type answer struct {
	status int
	body   string
}

var callerClient = &http.Client{Timeout: 3 * time.Second}

// call makes one call with the host of a route. It is not repeated.
func (s *site) call(method, address, host, path, body string) answer {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Oleandertally-Deadline-Ms", "1500")
	response, err := callerClient.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, strings.TrimSpace(string(content))}
}

func (s *site) entry() string {
	return fmt.Sprintf("%s:%d", s.frontendIP(rand.IntN(frontends)), s.ports.frontend)
}

// client calls an entry, and calls another one after no answer, a 502 or a 504, as clients do.
func (s *site) client(method, host, path, body string) answer {
	var got answer
	for range 6 {
		got = s.call(method, s.entry(), host, path, body)
		if got.status != 0 && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.note("client %s %s%s -> %d %s", method, host, path, got.status, got.body)
	return got
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// state returns the state that a job is shown in.
func (s *site) state(host, path string) (string, answer) {
	got := s.client(http.MethodGet, host, path, "")
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(got.body), &body) // another body has no state
	return body.State, got
}

// route is a queue in a manifest.
type route struct{ name, host, prefix string }

func manifest(version int, routes ...route) string {
	var list []map[string]any
	for _, each := range routes {
		list = append(list, map[string]any{"name": each.name, "host": each.host, "pathPrefix": each.prefix, "kind": "non_idempotent", "timeoutMs": 1500,
			"targetDurationMs": 60, "priority": 0, "service": serviceName, "maxAttempts": 3, "stretchFactor": 1.6})
	}
	text, _ := json.Marshal(map[string]any{"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	return string(text)
}

// putManifest sends a manifest until it is acknowledged.
func (s *site) putManifest(text string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		address := fmt.Sprintf("%s:%d", s.frontendIP(rand.IntN(frontends)), s.ports.control)
		if got := s.call(http.MethodPut, address, address, "/-/config", text); got.status == http.StatusOK {
			s.note("operator PUT %.120s -> 200", text)
			return nil
		}
	}
	return errors.New("the manifest is not acknowledged")
}

// open sends the first manifest and waits until each worker runs tasks.
func (s *site) open(text, host, prefix string) error {
	if err := s.putManifest(text); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // traffic starts after the machines
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		body := fmt.Sprintf(`{"specification":"ms=50","bestEffort":true,"steps":[{"count":%d,"cpu":%d,"memoryRequestMb":64,"estimatedMs":50}]}`, 4*workers, s.size.cpu/4)
		s.client(http.MethodPost, host, prefix+newID(), body)
		ready := 0
		for _, each := range s.workers {
			each.mutex.Lock()
			if len(each.starts) > 0 {
				ready++
			}
			each.mutex.Unlock()
		}
		if ready == len(s.workers) {
			return nil
		}
	}
	return errors.New("not every worker runs tasks")
}

// callFor makes one call whose client waits for the given time.
func (s *site) callFor(wait time.Duration, method, address, host, path, body string) answer {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Oleandertally-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	client := &http.Client{Timeout: wait + time.Second}
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, strings.TrimSpace(string(content))}
}

// followerMachine returns a frontend whose controller does not lead, by the logs of the controllers.
func (s *site) followerMachine() (int, error) {
	for i, each := range s.controllers {
		log, err := os.ReadFile(each.log)
		if err != nil {
			return 0, err
		}
		if !strings.Contains(string(log), `"Event":"BecameLeader"`) {
			return i, nil
		}
	}
	return 0, errors.New("every controller has led")
}
