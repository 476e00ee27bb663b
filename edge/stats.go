package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"dunegrade/logic"
)

// stats holds a loop's counters and gauges. Only the loop writes them; publishStats copies them for readers on other
// goroutines at every housekeeping tick.
type stats struct {
	clientsAccepted uint64 // client connections, including those returned by a streamRelay
	admitted        uint64 // txns passed to the module
	settled         uint64
	declined        uint64
	voided          uint64
	clientLeft      uint64 // txns whose client left before the answer

	refused       uint64 // requests refused as malformed, too slow or otherwise invalid
	noRoute       uint64
	overLimit     uint64 // requests declined because too many txns were open, or too late in a drain
	slowReaders   uint64 // client connections ended because answers were not read
	overHeldBytes uint64 // client connections that lost their input because all together held too much
	shed          uint64 // idle client connections ended to stay within the connection limit

	sent             uint64 // submissions written to a worker
	dials            uint64
	dialsFailed      uint64
	malformedAnswers uint64 // malformed answers and unsolicited bytes from workers
	hostVoided       uint64 // txns voided by expireCall; any is a defect
	bytesToWorkers   uint64
	idleClosed       uint64 // worker connections closed at their idle timeout
	stale            uint64 // idle worker connections that had ended or had unsolicited bytes on reuse

	streamed       uint64                // answers passed to a streamRelay
	streaming      int64                 // answers that streamRelays are forwarding now
	endings        [16]uint64            // ended submissions by logic.Ending
	repliesByClass [6]uint64             // the edge's own HTTP replies by the status's first digit
	clientEnds     [numEndReasons]uint64 // ended client connections by reason
	owedAtEnd      [numEndReasons]uint64 // requests unanswered when their connection ended, by its end reason

	callbacks durationHistogram // durations of the event loop's callbacks, during which all other clients wait

	// Gauges, filled in by publishStats.
	openClients     int64
	openTxns        int64
	openWorkerConns int64
	held            heldBytes
	poolsHeld       int64 // pools for which a limit leaves no room for the connections that submissions wait for
}

// endingNames holds the values of the ending label.
var endingNames = map[logic.Ending]string{logic.OK: "ok", logic.Cancelled: "cancelled", logic.TimedOut: "timed-out",
	logic.Rejected: "full", logic.Skipped: "moot", logic.Disconnected: "broken", logic.ErrorResponse: "erred",
	logic.ConnectFailed: "connect-failed", logic.MalformedResponse: "spoilt"}

// publishStats fills in the gauges and publishes a copy of the stats.
func (l *loop) publishStats() {
	s := l.stats
	s.openClients, s.openTxns, s.openWorkerConns = l.clientCount.Load(), int64(l.calls.inUse()), int64(l.workerConns.inUse())
	s.held = l.held
	s.poolsHeld = int64(len(l.dialQueue))
	l.statsSnapshot.Store(&s)
}

// collector exports the loops' published stats to Prometheus.
type collector struct{ p *Process }

// desc describes a metric with the label sentry and the given further labels.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dunegrade_edge_"+name, help, append([]string{"sentry"}, labels...), nil)
}

var (
	descTxns             = desc("txns_total", "Txns by how they ended.", "outcome")
	descAdmitted         = desc("txns_taken_total", "Txns handed to the sentry.")
	descEndings          = desc("submissions_ended_total", "Submissions by how they ended.", "ending")
	descSent             = desc("submissions_sent_total", "Submissions written to a worker.")
	descRefused          = desc("requests_refused_total", "Requests that were never taken.", "why")
	descDials            = desc("dials_total", "Connections asked of workers.", "ok")
	descMalformedAnswers = desc("worker_garbage_total", "Answers that made no sense.")
	descClientEnds       = desc("client_connections_ended_total", "Connections of clients by why they ended.", "reason")
	descOwedAtEnd        = desc("requests_owed_at_end_total", "Requests unanswered when this process ended their connection; any is a defect, but for slow readers.", "reason")
	descGauge            = desc("now", "Things held at this moment.", "what")
	descHeldBytes        = desc("held_bytes", "Memory held for clients by purpose.", "purpose")
	descCallbacks        = desc("callback_seconds", "Time that the event loop spends in one callback, while all other clients wait.")
	descHostVoided       = desc("unanswered_total", "Txns that the host had to void at their expiry; any is a defect.")
)

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descTxns, descAdmitted, descEndings, descSent, descRefused, descDials, descMalformedAnswers,
		descClientEnds, descOwedAtEnd, descGauge, descHeldBytes, descCallbacks, descHostVoided} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, l := range c.p.loops {
		s := l.statsSnapshot.Load()
		if s == nil {
			continue
		}
		sentry := itoa(l.sentryIndex)
		count := func(d *prometheus.Desc, v uint64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), append([]string{sentry}, labels...)...)
		}
		gauge := func(kind string, v int64) {
			ch <- prometheus.MustNewConstMetric(descGauge, prometheus.GaugeValue, float64(v), sentry, kind)
		}
		count(descTxns, s.settled, "settled")
		count(descTxns, s.declined, "declined")
		count(descTxns, s.voided, "voided")
		count(descTxns, s.clientLeft, "left")
		count(descAdmitted, s.admitted)
		for ending, name := range endingNames {
			count(descEndings, s.endings[ending], name)
		}
		count(descSent, s.sent)
		for reason, name := range endReasonNames {
			count(descClientEnds, s.clientEnds[reason], name)
			count(descOwedAtEnd, s.owedAtEnd[reason], name)
		}
		count(descRefused, s.refused, "malformed")
		count(descRefused, s.noRoute, "no-route")
		count(descRefused, s.overLimit, "open-limit")
		count(descRefused, s.slowReaders, "slow-reader")
		count(descRefused, s.overHeldBytes, "held-bytes")
		count(descDials, s.dials-s.dialsFailed, "true")
		count(descDials, s.dialsFailed, "false")
		count(descMalformedAnswers, s.malformedAnswers)
		count(descHostVoided, s.hostVoided)
		for purpose, size := range map[string]int{"input": s.held.input, "requests": s.held.requests, "answers": s.held.answers, "unsent": s.held.unsent} {
			ch <- prometheus.MustNewConstMetric(descHeldBytes, prometheus.GaugeValue, float64(size), sentry, purpose)
		}
		ch <- s.callbacks.metric(sentry)
		gauge("client-connections", s.openClients)
		gauge("worker-connections", s.openWorkerConns)
		gauge("workers-without-room", s.poolsHeld)
		gauge("txns", s.openTxns)
		gauge("streams", s.streaming)
	}
}
