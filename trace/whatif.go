package trace

import (
	"encoding/json"
	"fmt"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// WhatIfResult compares the decisions under other settings with those under the recorded settings, on the same events.
type WhatIfResult struct {
	Txns     int               // number of txns decided on
	Differ   int               // number of txns with another number of submissions, or declined or voided in one case only
	Sums     map[string][2]int // number of actions by kind: under the recorded settings, and under the other ones
	Examples []string          // names of the first txns that differ, with both decisions
	First    int64             // sentry clock at the first action that differs; 0: all are equal
}

const (
	// maxExamples limits WhatIfResult.Examples.
	maxExamples = 10

	// maxSerial is the largest serial considered when txns are compared in the order of their serials.
	maxSerial = 1 << 40
)

// txnDecision holds the decisions on a txn, except for the choice of workers: that is random, and the two cases use the
// random sequence differently after their first difference.
type txnDecision struct {
	submissions      int
	declined, voided bool
}

// WhatIf runs the decision module on the recorded events of a run under other settings. The events stay as recorded,
// because the outcome of a submission that was never made is unknown. The result is therefore meaningful for limits and
// rules, and becomes less so as the decisions diverge.
func WhatIf(l *Run, settings map[string]any) (*WhatIfResult, error) {
	if l.Headers[0].Level != 0 {
		return nil, ErrSampled
	}
	res := &WhatIfResult{Sums: map[string][2]int{}}
	decide := func(settings map[string]any) (map[uint64]txnDecision, map[string]int, error) {
		decisions, counts, serials := map[uint64]txnDecision{}, map[string]int{}, map[uint64]uint64{}
		sink, replayed := &actionCollector{}, &ReplayResult{}
		var sentry *logic.Sentry
		var replayErr error
		err := l.Each(func(r *Record, names []string) bool {
			switch {
			case isAction(r.Kind), r.Kind == tracepb.Kind_WORKER, r.Kind == tracepb.Kind_END, r.Kind == tracepb.Kind_STANDING:
				return true
			case r.Kind == tracepb.Kind_GAP:
				replayErr = ErrGap
				return false
			case sentry == nil && r.Kind != tracepb.Kind_START:
				replayErr = ErrNoStart
				return false
			case r.Kind == tracepb.Kind_TAKE:
				serials[r.Txn] = r.Serial
			}
			sink.actions = sink.actions[:0]
			if replayErr = replayed.applyEvent(&sentry, logic.Nanos(r.At), r, names, settings, sink); replayErr != nil {
				return false
			}
			for _, a := range sink.actions {
				counts[a.kind.String()]++
				if a.txn == 0 {
					continue
				}
				d := decisions[serials[a.txn]]
				switch a.kind {
				case tracepb.Kind_SUBMIT:
					d.submissions++
				case tracepb.Kind_DECLINE:
					d.declined = true
				case tracepb.Kind_VOID:
					d.voided = true
				}
				decisions[serials[a.txn]] = d
			}
			return true
		}, nil)
		if err == nil {
			err = replayErr
		}
		return decisions, counts, err
	}
	recordedSettings := map[string]any{}
	if err := json.Unmarshal(l.Headers[0].Settings, &recordedSettings); err != nil {
		return nil, fmt.Errorf("trace: decoding the header's settings: %w", err)
	}
	before, countsBefore, err := decide(recordedSettings)
	if err != nil {
		return nil, err
	}
	after, countsAfter, err := decide(settings)
	if err != nil {
		return nil, err
	}
	res.Txns = len(before)
	for kind := range tracepb.Kind_value {
		if countsBefore[kind]+countsAfter[kind] > 0 {
			res.Sums[kind] = [2]int{countsBefore[kind], countsAfter[kind]}
		}
	}
	for serial := uint64(1); len(before) > 0; serial++ {
		d, known := before[serial]
		if !known {
			if serial > maxSerial {
				break
			}
			continue
		}
		delete(before, serial)
		if after[serial] != d {
			if res.Differ++; len(res.Examples) < maxExamples {
				res.Examples = append(res.Examples, fmt.Sprintf("s%d-%d: %v, now %v", l.Sentry, serial, d, after[serial]))
			}
		}
	}
	replayed, err := replay(l, settings)
	if err != nil {
		return nil, err
	}
	if replayed.Differs != "" {
		res.First = replayed.At
	}
	return res, nil
}

// String describes the decision in the examples of a WhatIfResult.
func (d txnDecision) String() string {
	s := fmt.Sprintf("%d sent", d.submissions)
	if d.declined {
		s += ", declined"
	}
	if d.voided {
		s += ", voided"
	}
	return s
}
