package main

import (
	"context"
	"crypto/rand"
	"io"
	"os"
	"os/user"
	"time"
)

// environment is what commands use of their surroundings. Tests replace it.
type environment struct {
	stdout, stderr io.Writer
	getenv         func(string) string
	userName       func() string // empty when it is not known
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

// maxFile bounds a settings file, in bytes: 1024 profiles need less than 512 KiB.
const maxFile = 1 << 20

// readFile returns at most maxFile+1 bytes, so that the reader can refuse a longer file.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxFile+1))
}

// userName returns $USER or, where that is not set, the name of the user that runs the command.
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
