package main

import "sync"

// machine is what a worker can do: so many queries run at once, so many wait, further ones are turned away.
type machine struct {
	mu      sync.Mutex
	running int
	slots   int
	queue   []chan struct{}
	longest int // of the queue
}

// enter waits for a slot. It returns full if the queue is full, and neither if the sentry gave up meanwhile.
func (m *machine) enter(gone chan struct{}) (entered, full bool) {
	m.mu.Lock()
	if m.running < m.slots {
		m.running++
		m.mu.Unlock()
		return true, false
	}
	if len(m.queue) >= m.longest {
		m.mu.Unlock()
		return false, true
	}
	turn := make(chan struct{})
	m.queue = append(m.queue, turn)
	m.mu.Unlock()
	select {
	case <-turn:
		return true, false
	case <-gone:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, other := range m.queue {
		if other == turn {
			m.queue = append(m.queue[:i:i], m.queue[i+1:]...)
			return false, false
		}
	}
	m.release()
	return false, false
}

// leave frees a slot.
func (m *machine) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release()
}

// release passes a slot on to the query that waits longest, or frees it.
func (m *machine) release() {
	if len(m.queue) > 0 {
		close(m.queue[0])
		m.queue = m.queue[1:]
		return
	}
	m.running--
}
