package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"dunegrade/logic"
)

// stats are a loop's plain counts. The loop writes them; others get a copy once a beat.
type stats struct {
	clientsAccepted, admitted, settled, declined, voided, clientLeft uint64
	refused, noRoute, overLimit, slowReaders                         uint64
	sent, dials, dialsFailed, malformedAnswers, hostVoided           uint64
	streamed, bytesToWorkers, shed, idleClosed, stale, overHeldBytes uint64
	streaming                                                        int64
	endings                                                          [16]uint64
	repliesByClass                                                   [6]uint64
	clientEnds, owedAtEnd                                            [numEndReasons]uint64 // of clients' connections, and requests unanswered then
	// As it is now.
	openClients, openTxns, openWorkerConns int64
}

var endingNames = map[logic.Ending]string{logic.OK: "ok", logic.Cancelled: "cancelled", logic.TimedOut: "timed-out",
	logic.Rejected: "full", logic.Skipped: "moot", logic.Disconnected: "broken", logic.ErrorResponse: "erred",
	logic.ConnectFailed: "connect-failed", logic.MalformedResponse: "spoilt"}

// publishStats copies the counts for whoever asks.
func (l *loop) publishStats() {
	s := l.stats
	s.openClients, s.openTxns, s.openWorkerConns = l.clientCount.Load(), int64(l.calls.inUse()), int64(l.workerConns.inUse())
	l.statsSnapshot.Store(&s)
}

// collector gives the loops' counts to Prometheus, which asks when it likes.
type collector struct{ p *Process }

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
	descHostVoided       = desc("unanswered_total", "Txns that the host had to void at their expiry; any is a defect.")
)

func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descTxns, descAdmitted, descEndings, descSent, descRefused, descDials, descMalformedAnswers,
		descClientEnds, descOwedAtEnd, descGauge, descHostVoided} {
		ch <- d
	}
}

func (c collector) Collect(ch chan<- prometheus.Metric) {
	for _, l := range c.p.loops {
		s := l.statsSnapshot.Load()
		if s == nil {
			continue
		}
		name := itoa(l.sentryIndex)
		count := func(d *prometheus.Desc, v uint64, labels ...string) {
			ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), append([]string{name}, labels...)...)
		}
		gauge := func(what string, v int64) {
			ch <- prometheus.MustNewConstMetric(descGauge, prometheus.GaugeValue, float64(v), name, what)
		}
		count(descTxns, s.settled, "settled")
		count(descTxns, s.declined, "declined")
		count(descTxns, s.voided, "voided")
		count(descTxns, s.clientLeft, "left")
		count(descAdmitted, s.admitted)
		for e, text := range endingNames {
			count(descEndings, s.endings[e], text)
		}
		count(descSent, s.sent)
		for why, name := range endReasonNames {
			count(descClientEnds, s.clientEnds[why], name)
			count(descOwedAtEnd, s.owedAtEnd[why], name)
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
		gauge("client-connections", s.openClients)
		gauge("worker-connections", s.openWorkerConns)
		gauge("txns", s.openTxns)
		gauge("streams", s.streaming)
	}
}
