package relayer

import "sync"

// slots counts what is in use and bounds its number.
type slots struct {
	max int

	mutex  sync.Mutex
	used   int
	closed bool
	idle   chan struct{} // closed when nothing is in use after close; nil before
}

// take occupies a slot. It returns false if there is none, or after close.
func (s *slots) take() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.used >= s.max {
		return false
	}
	s.used++
	return true
}

func (s *slots) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used--
	if s.closed && s.used == 0 {
		close(s.idle)
	}
}

// close refuses further use and returns a channel that is closed once nothing is in use. It must be called once.
func (s *slots) close() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed, s.idle = true, make(chan struct{})
	if s.used == 0 {
		close(s.idle)
	}
	return s.idle
}
