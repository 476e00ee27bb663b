package trace

import (
	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Levels of a file. Only whole ones can be replayed.
const (
	LevelWhole     = 0
	LevelPart      = 1 // txns that were cut out of another file
	LevelSampled   = 2 // txns that ended badly, and one in so many of the others, by key
	LevelDecisions = 3 // what was decided, not what came of it
)

// InSample tells whether a sample of one in n holds the txns of a key. All sentries keep the same keys.
func InSample(key uint64, n uint32) bool {
	// The hash is mixed once more: keys have their lowest bit set.
	return n <= 1 || (key*mixer)>>32%uint64(n) == 0
}

// heldRecord is one record of a txn, as small as it can be held.
type heldRecord struct {
	at, span     int64
	worker       logic.WorkerID
	load         logic.Load
	token        uint32
	kind         Kind
	number       uint16
	ending       uint8
	over, loaded bool
}

// heldTxn is a txn whose end is awaited.
type heldTxn struct {
	id       uint64 // 0: none
	serial   uint64
	txn      logic.Txn
	traceID  [2]uint64
	at       int64
	records  []heldRecord // reused
	failed   bool
	answered bool // the client has its answer
}

// sampler keeps the records of txns in hand until their end, which decides whether they are written.
type sampler struct {
	level      uint32
	oneIn      uint32
	txns       []heldTxn // by the lower bits of a txn's id, which are its place at the host
	omitted    uint64    // txns left out since that was last told
	reportedAt int64
}

// Places of txns in hand: the lower 20 bits of their ids, as the host gives them.
const slotMask = 1<<20 - 1

func newSampler(level, oneIn uint32) *sampler { return &sampler{level: level, oneIn: oneIn} }

func (h *sampler) lookup(t logic.TxnID) *heldTxn {
	at := int(t & slotMask)
	if at >= len(h.txns) || h.txns[at].id != uint64(t) {
		return nil
	}
	return &h.txns[at]
}

func (h *sampler) take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) {
	at := int(t.ID & slotMask)
	for at >= len(h.txns) {
		h.txns = append(h.txns, heldTxn{records: make([]heldRecord, 0, 4)})
	}
	x := &h.txns[at]
	*x = heldTxn{id: uint64(t.ID), serial: serial, txn: *t, traceID: [2]uint64{high, low}, at: int64(now), records: x.records[:0]}
}

func (h *sampler) submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if x := h.lookup(t); x != nil {
		x.records = append(x.records, heldRecord{at: int64(now), kind: tracepb.Kind_SUBMIT, worker: w, span: int64(timeout)})
	}
}

func (h *sampler) outcome(now logic.Nanos, o *logic.Outcome, status int) {
	x := h.lookup(o.Txn)
	if x == nil {
		return
	}
	if o.Final && status > 0 {
		x.answered = status < 500
		x.failed = x.failed || status >= 500
	}
	if h.level == LevelDecisions {
		return
	}
	s := heldRecord{at: int64(now), kind: tracepb.Kind_OUTCOME, number: uint16(o.Number), ending: uint8(o.Ending), over: o.Final, span: int64(o.Elapsed),
		token: uint32(status)}
	if o.Load != nil {
		s.load, s.loaded = *o.Load, true
	}
	x.records = append(x.records, s)
}

// event takes what is no more than numbers, and tells whether it is written at once.
func (h *sampler) event(now logic.Nanos, kind Kind, t logic.TxnID, number int, token, span uint64) bool {
	switch kind {
	case tracepb.Kind_TIMER, tracepb.Kind_REMIND:
		return false // only a replay needs them
	}
	if t == 0 {
		return true
	}
	x := h.lookup(t)
	if x == nil {
		return false
	}
	switch kind {
	case tracepb.Kind_DECLINE, tracepb.Kind_VOID, tracepb.Kind_LEFT:
		x.failed = true
	case tracepb.Kind_STREAMING:
		x.answered = true
	}
	x.records = append(x.records, heldRecord{at: int64(now), kind: kind, number: uint16(number), span: int64(span), token: uint32(token)})
	return false
}

// done decides on a txn.
func (h *sampler) done(k *Recorder, now logic.Nanos, t logic.TxnID) {
	x := h.lookup(t)
	if x == nil {
		return
	}
	x.id = 0
	key := uint64(x.txn.Key)
	if key == 0 {
		key = x.serial
	}
	if h.level == LevelSampled && !x.failed && x.answered && !InSample(key, h.oneIn) {
		h.omitted++
		return
	}
	h.write(k, now, x, uint64(t))
}

// write puts a whole txn down, and says how far back it begins.
func (h *sampler) write(k *Recorder, now logic.Nanos, x *heldTxn, id uint64) {
	if k.freeBuffers() < reservedBuffers || !k.prepare(now) {
		if k.skippedTxns == 0 && k.skippedSince == 0 {
			k.skippedSince = int64(now)
		}
		k.skippedTxns++
		k.TotalSkipped.Add(1)
		return
	}
	if back := k.lastAt - x.at; back > 0 {
		k.rec = Record{Kind: tracepb.Kind_BACK, At: k.lastAt, Span: uint64(back)}
		k.putRecord()
		k.lastAt = x.at
		if x.at < k.cur.info.First && (k.cur.info.Earliest == 0 || x.at < k.cur.info.Earliest) {
			k.cur.info.Earliest = x.at
		}
	}
	k.rec = Record{Kind: tracepb.Kind_TAKE, At: x.at, Txn: id, Serial: x.serial, Product: uint32(x.txn.Product), Customer: uint32(x.txn.Customer),
		Key: uint64(x.txn.Key), Cost: uint64(x.txn.Cost), Repeat: x.txn.Repeat, Patience: uint64(int64(x.txn.Expiry) - x.at), TraceID: x.traceID}
	k.putRecord()
	k.cur.addTake(x.serial, uint64(x.txn.Key), x.traceID, uint64(x.txn.Product))
	for i := range x.records {
		s := &x.records[i]
		n := uint32(0)
		if s.worker != "" {
			n = k.workerNumber(logic.Nanos(s.at), s.worker)
		}
		k.rec = Record{Kind: s.kind, At: s.at, Txn: id, Worker: n, Number: uint32(s.number), Ending: uint32(s.ending), Over: s.over, Token: uint64(s.token)}
		if s.kind == tracepb.Kind_OUTCOME {
			k.rec.Elapsed = uint64(s.span)
		} else {
			k.rec.Span = uint64(s.span)
		}
		if s.loaded {
			k.rec.Loaded, k.rec.Util, k.rec.Queue, k.rec.Busy = true, s.load.Util, s.load.Queue, s.load.Busy
		}
		k.putRecord()
	}
}

// putOmitted writes, once a second, how many txns were left out, so that sums can be told.
func (h *sampler) putOmitted(k *Recorder, now logic.Nanos) {
	if h.omitted == 0 || int64(now)-h.reportedAt < flushAgeNanos || !k.prepare(now) {
		return
	}
	h.reportedAt = int64(now)
	k.rec = Record{Kind: tracepb.Kind_LEFT_OUT, At: int64(now), Token: h.omitted}
	k.putRecord()
	h.omitted = 0
}

// flush writes what is still in hand at the end, without its end.
func (h *sampler) flush(k *Recorder, now logic.Nanos) {
	for i := range h.txns {
		if x := &h.txns[i]; x.id != 0 {
			id := x.id
			x.id = 0
			h.write(k, now, x, id)
		}
	}
	h.reportedAt = 0
	h.putOmitted(k, now)
}
