package main

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one role on one machine, run with the command of the deploy file.
type process struct {
	name     string
	command  string // as in the deploy file
	settings string // path
	log      string // path
	mutex    sync.Mutex
	running  *exec.Cmd
	ended    chan struct{}
}

func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	words := strings.Fields(p.command)
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "OLEANDERTALLY_NODE_FILE=" + p.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.running, p.ended = command, ended
	go func() {
		_ = command.Wait() // a process that was killed ends with an error
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process by its ID.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running != nil {
		_ = p.running.Process.Signal(signal) // it may have ended
	}
}

// wait returns whether the process ended within the limit.
func (p *process) wait(limit time.Duration) bool {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process, also one that is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}
