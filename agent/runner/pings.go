package runner

import "sync"

// pings maps the numbers of Pinged events to the goroutines that wait for their answers. The zero value is ready to use.
type pings struct {
	mutex sync.Mutex
	last  uint64
	open  map[uint64]chan struct{}
}

// start returns a new number and a channel that is closed by its answer.
func (p *pings) start() (uint64, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open == nil {
		p.open = make(map[uint64]chan struct{})
	}
	p.last++
	answered := make(chan struct{})
	p.open[p.last] = answered
	return p.last, answered
}

func (p *pings) answer(number uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if answered := p.open[number]; answered != nil {
		close(answered)
		delete(p.open, number)
	}
}

// cancel removes a ping whose answer is no longer waited for.
func (p *pings) cancel(number uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, number)
}
