// Package fleet simulates workers, the builds that they run and their failures. It is deterministic: callers pass in the
// clock, each machine has its own seeded random source, and the package opens no sockets and starts no goroutines.
package fleet

import (
	"math"
	"math/rand"
)

// Nanos is a clock time or a duration, in nanoseconds.
type Nanos int64

// Common durations.
const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

// Flaw is the kind of defect of a build.
type Flaw string

// Flaws of builds. Strength and Product are fields of Build.
const (
	NoFlaw        Flaw = "good"      // works as a normal build
	Errors        Flaw = "errors"    // fails a share of Strength of all txns
	Slow          Flaw = "slow"      // takes Strength times the work
	OneProduct    Flaw = "product"   // fails a share of Strength of the txns of Product
	UnderLoad     Flaw = "load"      // on a busy machine, takes Strength times the work and fails UnderLoadErrorRate of txns
	DelayedErrors Flaw = "late"      // fails a share of Strength of all txns, from DelayedErrorsAfter on
	WrongAnswers  Flaw = "wrong"     // gives wrong answers, which look like correct ones, to a share of Strength of all txns
	SlowsFleet    Flaw = "slows-all" // slows all machines by up to Strength, in proportion to its share of the traffic
)

const (
	// DelayedErrorsAfter is the time from a machine's start to the first failures of DelayedErrors.
	DelayedErrorsAfter = 6 * Second
	// UnderLoadThreshold is the share of busy cores above which UnderLoad takes effect.
	UnderLoadThreshold = 0.5
	// UnderLoadErrorRate is the share of txns that UnderLoad fails.
	UnderLoadErrorRate = 0.2
)

// Build is a version of the worker software.
type Build struct {
	Number   int
	Flaw     Flaw
	Strength float64 // failure rate, wrong-answer rate or slowdown factor, depending on Flaw
	Product  int     // index of the product that OneProduct fails
	Speed    float64 // relative to a normal build; NewMachine replaces 0 with 1
}

// MachineSpec describes the capacity and failure behavior of a machine.
type MachineSpec struct {
	Cores int
	// Slots limits the queued and running txns. Further txns are refused without being processed.
	Slots int
	// Speed is relative to a normal machine.
	Speed float64
	// ColdStartCapacity is the share of its full capacity that a machine has at its start. The share rises linearly to 1
	// over WarmUp.
	ColdStartCapacity float64
	WarmUp            Nanos
	// OverloadMultiple limits the work submitted to a machine within OverloadWindow while it warms up, as a multiple of its
	// current capacity. Above the limit the machine fails; 0 means no limit.
	OverloadMultiple float64
	OverloadWindow   Nanos
	StopsOnCancel    bool    // whether a machine stops work whose connection was closed
	BaseErrorRate    float64 // share of txns that fail with any build
	ReportInterval   Nanos   // time between updates of the load report
	ReportNoise      float64 // relative standard deviation of the reported utilization
}

// Job is a txn as submitted to a machine.
type Job struct {
	ID          uint64
	Product     int
	DedupKey    uint64 // key that identifies duplicates; 0 means none
	DedupWindow Nanos  // time for which DedupKey is remembered
	Work        Nanos  // run time on a core of speed 1
	Sentry      int    // index of the sentry that submitted the job
}

// Admission is a machine's response to a submitted job.
type Admission int

// Admissions.
const (
	Accepted    Admission = iota
	Refused               // all slots are taken
	MachineDown           // the machine has failed
)

// Result is how a job ended.
type Result int

// Job results.
const (
	Succeeded Result = iota
	Failed
	WrongAnswer  // reported as a success
	Deduplicated // a duplicate, answered with the result of the first execution
)

// CompletedJob is a job with its result and times.
type CompletedJob struct {
	Job
	Result   Result
	Arrived  Nanos
	Started  Nanos
	Finished Nanos
}

// Executed reports whether this machine executed the job instead of answering it as a duplicate.
func (d CompletedJob) Executed() bool { return d.Result != Deduplicated }

// MachineFault is a fault injected into one machine, whatever its build. The zero value means no fault.
type MachineFault struct {
	SlowdownFactor float64 // factor on run times; 0 and 1 mean no slowdown
	NeighbourShare float64 // share of the machine's capacity that another program on it uses
	FailureRate    float64 // share of txns that fail immediately
	Hangs          bool    // accepts txns and completes none
	ReportsIdle    bool    // always reports zero load
	ReportsStale   bool    // its load reports are no longer updated
}

// SharedState is the state that all machines of a fleet share: the dedup keys of executed jobs, and the slowdown caused by
// a build with the flaw SlowsFleet.
type SharedState struct {
	seen           map[uint64]dedupEntry
	insertionOrder []uint64
	// SlowdownFactor multiplies all run times. The caller sets it from the share of traffic that a SlowsFleet build gets.
	SlowdownFactor float64
}

// dedupEntry records when a dedup key was first seen and for how long it is remembered.
type dedupEntry struct {
	seenAt, window Nanos
}

// NewSharedState returns the shared state of a new fleet.
func NewSharedState() *SharedState {
	return &SharedState{seen: map[uint64]dedupEntry{}, SlowdownFactor: 1}
}

// isDuplicate reports whether a job's dedup key is remembered, and records the key if it is not.
func (s *SharedState) isDuplicate(now Nanos, j Job) bool {
	if j.DedupKey == 0 || j.DedupWindow <= 0 {
		return false
	}
	for len(s.insertionOrder) > 0 {
		e, known := s.seen[s.insertionOrder[0]]
		if known && now-e.seenAt < e.window {
			break
		}
		delete(s.seen, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
	if e, known := s.seen[j.DedupKey]; known && now-e.seenAt < e.window {
		return true
	}
	s.seen[j.DedupKey] = dedupEntry{now, j.DedupWindow}
	s.insertionOrder = append(s.insertionOrder, j.DedupKey)
	return false
}

// pendingJob is a queued or running job.
type pendingJob struct {
	CompletedJob
	endsAt Nanos
	gone   bool // unused
}

// arrival records the work of a job that was submitted to a machine.
type arrival struct {
	arrivedAt Nanos
	work      Nanos
	sentry    int // index of the sentry that submitted the job
}

// Machine is one worker process. The clock passed to its methods must never go back.
type Machine struct {
	Spec    MachineSpec
	Build   Build
	Started Nanos // 0 means long ago, so that the machine is warm
	Fault   MachineFault
	shared  *SharedState
	rng     *rand.Rand
	queue   []pendingJob
	running []pendingJob
	down    bool

	recentArrivals []arrival // within OverloadWindow, recorded while the machine warms up
	busyShare      float64   // exponential moving average of the share of busy cores
	busyUpdatedAt  Nanos
	completed      float64 // number of completed jobs
	lastReport     LoadReport
	lastReportAt   Nanos
}

// NewMachine starts a machine. seed initializes its random source.
func NewMachine(spec MachineSpec, build Build, started Nanos, shared *SharedState, seed int64) *Machine {
	if build.Speed == 0 {
		build.Speed = 1
	}
	return &Machine{Spec: spec, Build: build, Started: started, shared: shared, rng: rand.New(rand.NewSource(seed)),
		busyUpdatedAt: started}
}

// CapacityShare returns the share of its full capacity that the machine has at now.
func (m *Machine) CapacityShare(now Nanos) float64 {
	if m.Started == 0 || m.Spec.WarmUp <= 0 || now-m.Started >= m.Spec.WarmUp {
		return 1
	}
	return m.Spec.ColdStartCapacity + (1-m.Spec.ColdStartCapacity)*float64(now-m.Started)/float64(m.Spec.WarmUp)
}

// IsDown reports whether the machine has failed from overload.
func (m *Machine) IsDown() bool { return m.down }

// JobCount returns the number of queued and running jobs.
func (m *Machine) JobCount() int { return len(m.queue) + len(m.running) }

// Submit submits a job to the machine. A refused job counts towards the overload limit too.
func (m *Machine) Submit(now Nanos, j Job) Admission {
	if m.down {
		return MachineDown
	}
	m.checkOverload(now, j)
	if m.down {
		return MachineDown
	}
	if m.JobCount() >= m.Spec.Slots {
		return Refused
	}
	m.queue = append(m.queue, pendingJob{CompletedJob: CompletedJob{Job: j, Arrived: now}})
	m.startQueued(now)
	return Accepted
}

// checkOverload records the work submitted to a machine that warms up. The machine fails once the work within
// OverloadWindow exceeds OverloadMultiple times its capacity by more than two average jobs, a margin for random bursts.
func (m *Machine) checkOverload(now Nanos, j Job) {
	if m.CapacityShare(now) >= 1 || m.Spec.OverloadMultiple <= 0 {
		m.recentArrivals = m.recentArrivals[:0]
		return
	}
	m.recentArrivals = append(m.recentArrivals, arrival{now, j.Work, j.Sentry})
	recent, firstKept := Nanos(0), 0
	for i, a := range m.recentArrivals {
		if now-a.arrivedAt > m.Spec.OverloadWindow {
			firstKept = i + 1
		} else {
			recent += a.work
		}
	}
	m.recentArrivals = append(m.recentArrivals[:0], m.recentArrivals[firstKept:]...)
	capacity := float64(m.Spec.Cores) * m.Spec.Speed * m.CapacityShare(now) * float64(m.Spec.OverloadWindow)
	if float64(recent) > m.Spec.OverloadMultiple*capacity+2*float64(recent)/float64(len(m.recentArrivals)) {
		m.down = true
	}
}

// RecentWork returns the work submitted within OverloadWindow, by sentry.
func (m *Machine) RecentWork() map[int]Nanos {
	bySentry := map[int]Nanos{}
	for _, a := range m.recentArrivals {
		bySentry[a.sentry] += a.work
	}
	return bySentry
}

// startQueued starts queued jobs on free cores.
func (m *Machine) startQueued(now Nanos) {
	for len(m.running) < m.Spec.Cores && len(m.queue) > 0 {
		job := m.queue[0]
		m.queue = m.queue[1:]
		m.updateBusyShare(now)
		job.Started = now
		duration, result := m.execute(now, job.Job)
		job.Result, job.endsAt = result, now+duration
		if m.Fault.Hangs {
			job.endsAt = math.MaxInt64
		}
		m.running = append(m.running, job)
	}
}

// execute returns the run time of a job and its result.
func (m *Machine) execute(now Nanos, j Job) (Nanos, Result) {
	if m.shared.isDuplicate(now, j) {
		return Millisecond, Deduplicated
	}
	if m.Fault.FailureRate > 0 && m.rng.Float64() < m.Fault.FailureRate {
		return Millisecond, Failed
	}
	slowdown, failureRate, wrongRate := 1.0, m.Spec.BaseErrorRate, 0.0
	b := m.Build
	switch b.Flaw {
	case Errors:
		failureRate += b.Strength
	case Slow:
		slowdown *= b.Strength
	case OneProduct:
		if j.Product == b.Product {
			failureRate += b.Strength
		}
	case UnderLoad:
		if m.busyShare > UnderLoadThreshold {
			slowdown *= b.Strength
			failureRate += UnderLoadErrorRate
		}
	case DelayedErrors:
		if now-m.Started > DelayedErrorsAfter {
			failureRate += b.Strength
		}
	case WrongAnswers:
		wrongRate = b.Strength
	}
	if m.Fault.SlowdownFactor > 1 {
		slowdown *= m.Fault.SlowdownFactor
	}
	speed := m.Spec.Speed * b.Speed * m.CapacityShare(now) * (1 - m.Fault.NeighbourShare) / max(1, m.shared.SlowdownFactor)
	duration := Nanos(float64(j.Work) * slowdown / max(speed, 0.001))
	switch draw := m.rng.Float64(); {
	case draw < failureRate:
		return duration, Failed
	case draw < failureRate+wrongRate:
		return duration, WrongAnswer
	}
	return duration, Succeeded
}

// Advance completes the jobs that end by now, and returns them in the order of completion.
func (m *Machine) Advance(now Nanos) []CompletedJob {
	var done []CompletedJob
	for {
		earliest := -1
		for i := range m.running {
			if m.running[i].endsAt <= now && (earliest < 0 || m.running[i].endsAt < m.running[earliest].endsAt) {
				earliest = i
			}
		}
		if earliest < 0 {
			return done
		}
		job := m.running[earliest]
		m.updateBusyShare(job.endsAt)
		m.running = append(m.running[:earliest], m.running[earliest+1:]...)
		job.Finished = job.endsAt
		m.completed++
		done = append(done, job.CompletedJob)
		m.startQueued(job.endsAt)
	}
}

// NextCompletion returns when the next job ends, or math.MaxInt64 if no running job ends.
func (m *Machine) NextCompletion() Nanos {
	next := Nanos(math.MaxInt64)
	for i := range m.running {
		next = min(next, m.running[i].endsAt)
	}
	return next
}

// Cancel removes a job whose connection was closed, if StopsOnCancel is set. It reports whether the job was removed, and
// whether it had started.
func (m *Machine) Cancel(now Nanos, id uint64) (started, found bool) {
	if !m.Spec.StopsOnCancel {
		return false, false
	}
	for i := range m.queue {
		if m.queue[i].ID == id {
			m.queue = append(m.queue[:i], m.queue[i+1:]...)
			return false, true
		}
	}
	for i := range m.running {
		if m.running[i].ID == id {
			m.updateBusyShare(now)
			m.running = append(m.running[:i], m.running[i+1:]...)
			m.startQueued(now)
			return true, true
		}
	}
	return false, false
}

// updateBusyShare updates the moving average of the share of busy cores, with a time constant of one second.
func (m *Machine) updateBusyShare(now Nanos) {
	dt := float64(now-m.busyUpdatedAt) / float64(Second)
	if dt <= 0 {
		return
	}
	m.busyUpdatedAt = now
	decay := math.Exp(-dt)
	m.busyShare = m.busyShare*decay + (1-decay)*float64(len(m.running))/float64(m.Spec.Cores)
}

// LoadReport is the load that a machine reports.
type LoadReport struct {
	Util  float64 // share of busy cores
	Queue float64 // number of queued jobs
	Busy  float64 // number of queued and running jobs
}

// Load returns the machine's latest load report. The report is renewed every ReportInterval, and Util has random noise.
func (m *Machine) Load(now Nanos) LoadReport {
	if now-m.lastReportAt >= m.Spec.ReportInterval && !m.Fault.ReportsStale {
		m.lastReportAt = now
		m.updateBusyShare(now)
		noise := 1 + m.Spec.ReportNoise*m.rng.NormFloat64()
		m.lastReport = LoadReport{Util: max(0, m.busyShare*noise), Queue: float64(len(m.queue)), Busy: float64(m.JobCount())}
	}
	if m.Fault.ReportsIdle {
		return LoadReport{}
	}
	return m.lastReport
}
