package trace

import (
	"encoding/json"
	"fmt"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// WhatIfResult is what other settings would have decided on the same events.
type WhatIfResult struct {
	Txns     int
	Differ   int               // txns that were sent, declined or voided otherwise
	Sums     map[string][2]int // actions by kind: recorded, and under the other settings
	Examples []string          // the first of the txns that differ, by name
	First    int64             // the sentry's clock at the first action that differs; 0: none does
}

// txnDecision is what was decided on a txn, without by whom: workers are picked by chance, which goes its own way once
// anything differs.
type txnDecision struct {
	submissions      int
	declined, voided bool
}

// WhatIf runs the decisions on a life's events under other settings. The events stay as they were: what a submission
// that was never made would have come to, nobody knows. So it is an answer for what hangs on limits and rules, and the less
// the further the two ways have parted.
func WhatIf(l *Life, settings map[string]any) (*WhatIfResult, error) {
	if l.Headers[0].Level != 0 {
		return nil, ErrSampled
	}
	out := &WhatIfResult{Sums: map[string][2]int{}}
	run := func(settings map[string]any) (map[uint64]txnDecision, map[string]int, error) {
		fates, sums, serials := map[uint64]txnDecision{}, map[string]int{}, map[uint64]uint64{}
		p, r := &actionCollector{}, &Replayed{}
		var s *logic.Sentry
		var fault error
		err := l.Each(func(x *Record, names []string) bool {
			switch {
			case isAction(x.Kind), x.Kind == tracepb.Kind_WORKER, x.Kind == tracepb.Kind_END, x.Kind == tracepb.Kind_STANDING:
				return true
			case x.Kind == tracepb.Kind_GAP:
				fault = ErrGap
				return false
			case s == nil && x.Kind != tracepb.Kind_START:
				fault = ErrNoStart
				return false
			case x.Kind == tracepb.Kind_TAKE:
				serials[x.Txn] = x.Serial
			}
			p.actions = p.actions[:0]
			if fault = r.applyEvent(&s, logic.Nanos(x.At), x, names, settings, p); fault != nil {
				return false
			}
			for _, a := range p.actions {
				sums[a.kind.String()]++
				if a.txn == 0 {
					continue
				}
				f := fates[serials[a.txn]]
				switch a.kind {
				case tracepb.Kind_SUBMIT:
					f.submissions++
				case tracepb.Kind_DECLINE:
					f.declined = true
				case tracepb.Kind_VOID:
					f.voided = true
				}
				fates[serials[a.txn]] = f
			}
			return true
		}, nil)
		if err == nil {
			err = fault
		}
		return fates, sums, err
	}
	was := map[string]any{}
	if err := json.Unmarshal(l.Headers[0].Settings, &was); err != nil {
		return nil, fmt.Errorf("trace: the header's settings: %w", err)
	}
	before, sumsBefore, err := run(was)
	if err != nil {
		return nil, err
	}
	after, sumsAfter, err := run(settings)
	if err != nil {
		return nil, err
	}
	out.Txns = len(before)
	for kind := range tracepb.Kind_value {
		if sumsBefore[kind]+sumsAfter[kind] > 0 {
			out.Sums[kind] = [2]int{sumsBefore[kind], sumsAfter[kind]}
		}
	}
	for serial := uint64(1); len(before) > 0; serial++ {
		f, known := before[serial]
		if !known {
			if serial > 1<<40 {
				break
			}
			continue
		}
		delete(before, serial)
		if after[serial] != f {
			if out.Differ++; len(out.Examples) < 10 {
				out.Examples = append(out.Examples, fmt.Sprintf("s%d-%d: %v, now %v", l.Sentry, serial, f, after[serial]))
			}
		}
	}
	r, err := replay(l, settings)
	if err != nil {
		return nil, err
	}
	if r.Differs != "" {
		out.First = r.At
	}
	return out, nil
}

func (f txnDecision) String() string {
	s := fmt.Sprintf("%d sent", f.submissions)
	if f.declined {
		s += ", declined"
	}
	if f.voided {
		s += ", voided"
	}
	return s
}
