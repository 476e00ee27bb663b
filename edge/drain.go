package edge

import (
	"time"

	"dunegrade/logic"
)

// sum asks each loop in turn and adds up what they say.
func (p *Process) sum(ask func(l *loop) int64) int64 {
	sum := int64(0)
	for _, l := range p.loops {
		got := make(chan int64, 1)
		l.post(func() { got <- ask(l) })
		sum += <-got
	}
	return sum
}

// census counts the connections of all loops by how they stand.
func (p *Process) census() census {
	var n census
	p.sum(func(l *loop) int64 { n = n.plus(l.census()); return 0 })
	return n
}

// owed counts the requests that ended unanswered with their connections. The loops have ended.
func (p *Process) owed() uint64 {
	n := uint64(0)
	for _, l := range p.loops {
		for _, one := range l.stats.owed {
			n += one
		}
	}
	return n
}

// drain has every loop answer what it holds, and gives how much was left when the time was up.
func (p *Process) drain() int64 {
	held := p.sum((*loop).beginDrain)
	until := time.Now().Add(p.plan.DrainWithin)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for held > 0 && time.Now().Before(until) {
		<-tick.C
		held = p.sum((*loop).held)
	}
	return held
}

// linger is how long an idle connection stays open once a drain has begun. Danger: a request that was on its way when
// its connection closed is lost without an answer; those that arrive within this time still get theirs.
const linger = 100 * logic.Millisecond

// beginDrain has every answer from now on be its connection's last, and what stays idle close.
func (l *loop) beginDrain() int64 {
	l.draining, l.drainAt = true, l.now
	for _, cc := range l.doors.items {
		if !cc.closed && cc.c != nil && cc.state == reading && cc.says.fresh() {
			l.armClient(cc, l.now+linger)
		}
	}
	return l.held()
}

// held counts the txns and streams that still owe their client something, answers not sent yet, and idle connections
// that linger.
func (l *loop) held() int64 {
	n := l.stats.carrying
	for _, cc := range l.doors.items {
		if !cc.closed && cc.c != nil && (cc.call != nil && cc.call.taken || cc.state == onlyOut || l.now < l.drainAt+linger) {
			n++
		}
	}
	return n
}
