package main

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"os/user"
	"time"
)

// environment provides the commands with input, output, time and ids. Tests replace it.
type environment struct {
	stdout, stderr io.Writer
	getenv         func(string) string
	userName       func() string // empty when unknown
	readFile       func(name string) ([]byte, error)
	writeFile      func(name string, data []byte) error
	clock          func() time.Time
	pause          func(ctx context.Context, d time.Duration) error
	newID          func() string
}

func newEnvironment() *environment {
	return &environment{
		stdout:    os.Stdout,
		stderr:    os.Stderr,
		getenv:    os.Getenv,
		userName:  userName,
		readFile:  readFile,
		writeFile: func(name string, data []byte) error { return os.WriteFile(name, data, 0o644) },
		clock:     time.Now,
		pause:     pause,
		newID:     rand.Text,
	}
}

// maxFileBytes limits the size of a settings file. 1024 profiles need less than 512 KiB.
const maxFileBytes = 1 << 20

// readFile returns at most maxFileBytes+1 bytes, so that the parser can reject a file that is too long.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxFileBytes+1))
}

// userName returns $USER or, when it is not set, the name of the user that runs the command.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// pause waits for d, or returns the cause when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
