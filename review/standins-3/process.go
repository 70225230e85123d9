package main

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// process is one process of the project, started with a command of the deploy file.
type process struct {
	name     string
	command  string
	settings string // path of its settings file
	log      string // path of its output
	record   *record

	running *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// start starts the process in the present folder, the root of the repository.
func (p *process) start() error {
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	words := strings.Fields(p.command)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "OLEANDERTALLY_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.running, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the exit code is in ProcessState
		close(exited)
	}()
	return nil
}

func (p *process) signal(signal os.Signal) {
	p.record.note("signal %v to %s", signal, p.name)
	_ = p.running.Process.Signal(signal) // fails only if the process has ended
}

// awaitExit reports whether the process ends in time.
func (p *process) awaitExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// restart stops the process as the platform does, with SIGTERM and after the grace period with SIGKILL, and starts it again.
func (p *process) restart(pause time.Duration) error {
	p.signal(syscall.SIGTERM)
	if !p.awaitExit(gracePeriod) {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	p.record.note("%s has ended", p.name)
	time.Sleep(pause)
	p.record.note("%s is started again", p.name)
	return p.start()
}

// kill ends the process for good.
func (p *process) kill() {
	if p.running == nil {
		return
	}
	_ = p.running.Process.Kill() // fails only if the process has ended
	<-p.exited
}
