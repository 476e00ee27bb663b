// Package fleet is a model of workers, the builds they run and what goes wrong with them. It is pure: the clock is
// handed in, chance comes from one seeded source a machine, and nothing here opens a socket or starts a goroutine.
package fleet

import (
	"math"
	"math/rand"
)

// Nanos is a clock time or a span, in whole nanoseconds.
type Nanos int64

// Millisecond and Second read well in code.
const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

// Flaw is what is wrong with a build.
type Flaw string

// Flaws of builds.
const (
	NoFlaw     Flaw = "good"
	Errors     Flaw = "errors"    // fails a share (Strength) of all txns
	Slow       Flaw = "slow"      // needs Strength times the work
	OneProduct Flaw = "product"   // fails a share of one product's txns
	UnderLoad  Flaw = "load"      // slow by Strength, and fails a fifth, when its machine is over half busy
	LateFlaw   Flaw = "late"      // fails a share, from 6 s after its start on
	Wrong      Flaw = "wrong"     // a share of its answers is wrong, and looks like any other
	SlowsFleet Flaw = "slows-all" // slows all machines by up to Strength, in step with its share of the traffic
	FlawAfter       = 6 * Second  // when a LateFlaw shows
	FlawLoad        = 0.5         // busy share at which UnderLoad shows
	LoadFails       = 0.2         // share of txns that it then fails
)

// Build is a version of the workers' software.
type Build struct {
	Number   int
	Flaw     Flaw
	Strength float64
	Product  int     // the one that OneProduct hits
	Speed    float64 // of a good part of it; 1 is usual
}

// Kind is what a machine can do.
type Kind struct {
	Cores             int
	Slots             int // txns waiting or in work; beyond them it turns away unseen
	Speed             float64
	ColdStartCapacity float64
	WarmUp            Nanos
	OverloadMultiple  float64 // sent more than that many times its present capacity
	OverloadWindow    Nanos   // for so long, a cold machine falls over
	StopsOnCancel     bool    // work whose connection has gone stops
	BaseErrorRate     float64 // share of txns that any build fails
	ReportInterval    Nanos
	ReportNoise       float64
}

// Job is a txn as a machine sees it.
type Job struct {
	ID       uint64
	Product  int
	DedupKey uint64 // by which a repeat is known; 0: none
	Memory   Nanos  // for how long the mark is remembered
	Work     Nanos  // on a core of speed 1
	From     int    // the sentry it came through
}

// Admission is what a machine says to a job that arrives.
type Admission int

// Verdicts.
const (
	Accepted Admission = iota
	Refused
	MachineDown
)

// End is how a job ended.
type End int

// Ends of jobs.
const (
	Fine End = iota
	Failed
	WrongAnswer // looks fine
	Dropped     // a repeat, answered as what ran before
)

// CompletedJob is a job that has ended.
type CompletedJob struct {
	Job
	End     End
	Arrived Nanos
	Began   Nanos
	At      Nanos
}

// TookEffect tells whether the job's effect took place at this machine.
func (d CompletedJob) TookEffect() bool { return d.End != Dropped }

// MachineFault is what is wrong with a machine by itself. The zero value is a healthy one.
type MachineFault struct {
	Slow           float64 // takes so many times as long; 0 or 1: no
	NeighbourShare float64 // share of the machine that another program takes
	FailureRate    float64 // share of txns that it fails at once
	Hangs          bool    // takes txns and ends none
	ReportsIdle    bool    // reports to be idle, whatever it does
	ReportsStale   bool    // its reports stand still
}

// SharedState is what all machines of a fleet have in common: the marks of effects, and the drag of a build that slows all.
type SharedState struct {
	marks map[uint64]mark
	order []uint64
	// SlowdownFactor is how many times as long everything takes; the host sets it from the traffic that a build gets.
	SlowdownFactor float64
}

type mark struct {
	at, memory Nanos
}

// NewSharedState makes what the machines of one fleet share.
func NewSharedState() *SharedState { return &SharedState{marks: map[uint64]mark{}, SlowdownFactor: 1} }

// repeat notes an effect's mark, and tells whether it is known already.
func (s *SharedState) repeat(now Nanos, j Job) bool {
	if j.DedupKey == 0 || j.Memory <= 0 {
		return false
	}
	for len(s.order) > 0 {
		m, known := s.marks[s.order[0]]
		if known && now-m.at < m.memory {
			break
		}
		delete(s.marks, s.order[0])
		s.order = s.order[1:]
	}
	if m, known := s.marks[j.DedupKey]; known && now-m.at < m.memory {
		return true
	}
	s.marks[j.DedupKey] = mark{now, j.Memory}
	s.order = append(s.order, j.DedupKey)
	return false
}

type running struct {
	CompletedJob
	ends Nanos
	gone bool // its client went away, and the machine stops for that
}

type arrival struct {
	at   Nanos
	work Nanos
	from int
}

// Machine is one worker process. Methods take the clock, which never goes back.
type Machine struct {
	Kind    Kind
	Build   Build
	Started Nanos // 0: long past
	Fault   MachineFault
	shared  *SharedState
	rng     *rand.Rand
	queue   []running
	work    []running
	down    bool

	arrivals []arrival // of the last FallAfter, while cold
	busy     float64   // smoothed share of cores busy
	busyAt   Nanos
	settled  float64 // txns a second, smoothed
	report   LoadReport
	reported Nanos
}

// NewMachine starts a machine. seed gives it its own chance.
func NewMachine(kind Kind, build Build, started Nanos, shared *SharedState, seed int64) *Machine {
	if build.Speed == 0 {
		build.Speed = 1
	}
	return &Machine{Kind: kind, Build: build, Started: started, shared: shared, rng: rand.New(rand.NewSource(seed)),
		busyAt: started}
}

// Ramp is the share of its capacity that the machine has by now.
func (m *Machine) Ramp(now Nanos) float64 {
	if m.Started == 0 || m.Kind.WarmUp <= 0 || now-m.Started >= m.Kind.WarmUp {
		return 1
	}
	return m.Kind.ColdStartCapacity + (1-m.Kind.ColdStartCapacity)*float64(now-m.Started)/float64(m.Kind.WarmUp)
}

// Fell tells whether the machine has fallen over.
func (m *Machine) Fell() bool { return m.down }

// InHand is how many jobs wait or are in work.
func (m *Machine) InHand() int { return len(m.queue) + len(m.work) }

// Submit takes a job. Work that is turned away counts towards falling over as well.
func (m *Machine) Submit(now Nanos, j Job) Admission {
	if m.down {
		return MachineDown
	}
	m.press(now, j)
	if m.down {
		return MachineDown
	}
	if m.InHand() >= m.Kind.Slots {
		return Refused
	}
	m.queue = append(m.queue, running{CompletedJob: CompletedJob{Job: j, Arrived: now}})
	m.begin(now)
	return Accepted
}

// press notes what a cold machine is sent. It falls over once that is more, over FallAfter, than the multiple of
// what it can do; two txns of slack are left for chance.
func (m *Machine) press(now Nanos, j Job) {
	if m.Ramp(now) >= 1 || m.Kind.OverloadMultiple <= 0 {
		m.arrivals = m.arrivals[:0]
		return
	}
	m.arrivals = append(m.arrivals, arrival{now, j.Work, j.From})
	sum, from := Nanos(0), 0
	for i, a := range m.arrivals {
		if now-a.at > m.Kind.OverloadWindow {
			from = i + 1
		} else {
			sum += a.work
		}
	}
	m.arrivals = append(m.arrivals[:0], m.arrivals[from:]...)
	can := float64(m.Kind.Cores) * m.Kind.Speed * m.Ramp(now) * float64(m.Kind.OverloadWindow)
	if float64(sum) > m.Kind.OverloadMultiple*can+2*float64(sum)/float64(len(m.arrivals)) {
		m.down = true
	}
}

// RecentWork lists how much work came from which sentry over the last FallAfter.
func (m *Machine) RecentWork() map[int]Nanos {
	sum := map[int]Nanos{}
	for _, a := range m.arrivals {
		sum[a.from] += a.work
	}
	return sum
}

// begin puts waiting jobs on free cores.
func (m *Machine) begin(now Nanos) {
	for len(m.work) < m.Kind.Cores && len(m.queue) > 0 {
		r := m.queue[0]
		m.queue = m.queue[1:]
		m.fade(now)
		r.Began = now
		span, end := m.how(now, r.Job)
		r.End, r.ends = end, now+span
		if m.Fault.Hangs {
			r.ends = math.MaxInt64
		}
		m.work = append(m.work, r)
	}
}

// how works out how long a job takes and how it ends.
func (m *Machine) how(now Nanos, j Job) (Nanos, End) {
	if m.shared.repeat(now, j) {
		return Millisecond, Dropped
	}
	if m.Fault.FailureRate > 0 && m.rng.Float64() < m.Fault.FailureRate {
		return Millisecond, Failed
	}
	times, fails, wrong := 1.0, m.Kind.BaseErrorRate, 0.0
	b := m.Build
	switch b.Flaw {
	case Errors:
		fails += b.Strength
	case Slow:
		times *= b.Strength
	case OneProduct:
		if j.Product == b.Product {
			fails += b.Strength
		}
	case UnderLoad:
		if m.busy > FlawLoad {
			times *= b.Strength
			fails += LoadFails
		}
	case LateFlaw:
		if now-m.Started > FlawAfter {
			fails += b.Strength
		}
	case Wrong:
		wrong = b.Strength
	}
	if m.Fault.Slow > 1 {
		times *= m.Fault.Slow
	}
	speed := m.Kind.Speed * b.Speed * m.Ramp(now) * (1 - m.Fault.NeighbourShare) / max(1, m.shared.SlowdownFactor)
	span := Nanos(float64(j.Work) * times / max(speed, 0.001))
	switch x := m.rng.Float64(); {
	case x < fails:
		return span, Failed
	case x < fails+wrong:
		return span, WrongAnswer
	}
	return span, Fine
}

// Advance ends what is through by now, in order of time.
func (m *Machine) Advance(now Nanos) []CompletedJob {
	var out []CompletedJob
	for {
		best := -1
		for i := range m.work {
			if m.work[i].ends <= now && (best < 0 || m.work[i].ends < m.work[best].ends) {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		r := m.work[best]
		m.fade(r.ends)
		m.work = append(m.work[:best], m.work[best+1:]...)
		r.At = r.ends
		m.settled++
		out = append(out, r.CompletedJob)
		m.begin(r.ends)
	}
}

// NextCompletion is when the next job ends, or the end of time.
func (m *Machine) NextCompletion() Nanos {
	next := Nanos(math.MaxInt64)
	for i := range m.work {
		next = min(next, m.work[i].ends)
	}
	return next
}

// Cancel stops a job whose connection has gone, where the machine does that. It tells whether it had begun.
func (m *Machine) Cancel(now Nanos, id uint64) (began, found bool) {
	if !m.Kind.StopsOnCancel {
		return false, false
	}
	for i := range m.queue {
		if m.queue[i].ID == id {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return false, true
		}
	}
	for i := range m.work {
		if m.work[i].ID == id {
			m.fade(now)
			m.work = append(m.work[:i], m.work[i+1:]...)
			m.begin(now)
			return true, true
		}
	}
	return false, false
}

// fade keeps the smoothed busy share, over a second.
func (m *Machine) fade(now Nanos) {
	dt := float64(now-m.busyAt) / float64(Second)
	if dt <= 0 {
		return
	}
	m.busyAt = now
	keep := math.Exp(-dt)
	m.busy = m.busy*keep + (1-keep)*float64(len(m.work))/float64(m.Kind.Cores)
}

// LoadReport is what a machine says of its load.
type LoadReport struct {
	Util  float64
	Queue float64
	Busy  float64
}

// Load gives the machine's report, which it renews now and then only, with some noise.
func (m *Machine) Load(now Nanos) LoadReport {
	if now-m.reported >= m.Kind.ReportInterval && !m.Fault.ReportsStale {
		m.reported = now
		m.fade(now)
		noise := 1 + m.Kind.ReportNoise*m.rng.NormFloat64()
		m.report = LoadReport{Util: max(0, m.busy*noise), Queue: float64(len(m.queue)), Busy: float64(m.InHand())}
	}
	if m.Fault.ReportsIdle {
		return LoadReport{}
	}
	return m.report
}
