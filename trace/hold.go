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

// step is one record of a txn, as small as it can be held.
type step struct {
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
	id     uint64 // 0: none
	serial uint64
	txn    logic.Txn
	trace  [2]uint64
	at     int64
	steps  []step // reused
	bad    bool
	well   bool // the client has its answer
}

// holder keeps the records of txns in hand until their end, which decides whether they are written.
type holder struct {
	level uint32
	oneIn uint32
	slab  []heldTxn // by the lower bits of a txn's id, which are its place at the host
	left  uint64    // txns left out since that was last told
	told  int64
}

// Places of txns in hand: the lower 20 bits of their ids, as the host gives them.
const placeMask = 1<<20 - 1

func newHolder(level, oneIn uint32) *holder { return &holder{level: level, oneIn: oneIn} }

func (h *holder) of(t logic.TxnID) *heldTxn {
	at := int(t & placeMask)
	if at >= len(h.slab) || h.slab[at].id != uint64(t) {
		return nil
	}
	return &h.slab[at]
}

func (h *holder) take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) {
	at := int(t.ID & placeMask)
	for at >= len(h.slab) {
		h.slab = append(h.slab, heldTxn{steps: make([]step, 0, 4)})
	}
	x := &h.slab[at]
	*x = heldTxn{id: uint64(t.ID), serial: serial, txn: *t, trace: [2]uint64{high, low}, at: int64(now), steps: x.steps[:0]}
}

func (h *holder) submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if x := h.of(t); x != nil {
		x.steps = append(x.steps, step{at: int64(now), kind: tracepb.Kind_SUBMIT, worker: w, span: int64(timeout)})
	}
}

func (h *holder) outcome(now logic.Nanos, o *logic.Outcome, status int) {
	x := h.of(o.Txn)
	if x == nil {
		return
	}
	if o.Final && status > 0 {
		x.well = status < 500
		x.bad = x.bad || status >= 500
	}
	if h.level == LevelDecisions {
		return
	}
	s := step{at: int64(now), kind: tracepb.Kind_OUTCOME, number: uint16(o.Number), ending: uint8(o.Ending), over: o.Final, span: int64(o.Elapsed),
		token: uint32(status)}
	if o.Load != nil {
		s.load, s.loaded = *o.Load, true
	}
	x.steps = append(x.steps, s)
}

// event takes what is no more than numbers, and tells whether it is written at once.
func (h *holder) event(now logic.Nanos, kind Kind, t logic.TxnID, number int, token, span uint64) bool {
	switch kind {
	case tracepb.Kind_TIMER, tracepb.Kind_REMIND:
		return false // only a replay needs them
	}
	if t == 0 {
		return true
	}
	x := h.of(t)
	if x == nil {
		return false
	}
	switch kind {
	case tracepb.Kind_DECLINE, tracepb.Kind_VOID, tracepb.Kind_LEFT:
		x.bad = true
	case tracepb.Kind_STREAMING:
		x.well = true
	}
	x.steps = append(x.steps, step{at: int64(now), kind: kind, number: uint16(number), span: int64(span), token: uint32(token)})
	return false
}

// done decides on a txn.
func (h *holder) done(k *Recorder, now logic.Nanos, t logic.TxnID) {
	x := h.of(t)
	if x == nil {
		return
	}
	x.id = 0
	key := uint64(x.txn.Key)
	if key == 0 {
		key = x.serial
	}
	if h.level == LevelSampled && !x.bad && x.well && !InSample(key, h.oneIn) {
		h.left++
		return
	}
	h.write(k, now, x, uint64(t))
}

// write puts a whole txn down, and says how far back it begins.
func (h *holder) write(k *Recorder, now logic.Nanos, x *heldTxn, id uint64) {
	if k.freeBuffers() < reservedBuffers || !k.ready(now) {
		if k.skipped == 0 && k.since == 0 {
			k.since = int64(now)
		}
		k.skipped++
		k.Skipped.Add(1)
		return
	}
	if back := k.last - x.at; back > 0 {
		k.rec = Record{Kind: tracepb.Kind_BACK, At: k.last, Span: uint64(back)}
		k.put()
		k.last = x.at
		if x.at < k.cur.info.First && (k.cur.info.Earliest == 0 || x.at < k.cur.info.Earliest) {
			k.cur.info.Earliest = x.at
		}
	}
	k.rec = Record{Kind: tracepb.Kind_TAKE, At: x.at, Txn: id, Serial: x.serial, Product: uint32(x.txn.Product), Customer: uint32(x.txn.Customer),
		Key: uint64(x.txn.Key), Cost: uint64(x.txn.Cost), Repeat: x.txn.Repeat, Patience: uint64(int64(x.txn.Expiry) - x.at), TraceID: x.trace}
	k.put()
	k.cur.noteTake(x.serial, uint64(x.txn.Key), x.trace, uint64(x.txn.Product))
	for i := range x.steps {
		s := &x.steps[i]
		n := uint32(0)
		if s.worker != "" {
			n = k.worker(logic.Nanos(s.at), s.worker)
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
		k.put()
	}
}

// tell writes, once a second, how many txns were left out, so that sums can be told.
func (h *holder) tell(k *Recorder, now logic.Nanos) {
	if h.left == 0 || int64(now)-h.told < flushAge || !k.ready(now) {
		return
	}
	h.told = int64(now)
	k.rec = Record{Kind: tracepb.Kind_LEFT_OUT, At: int64(now), Token: h.left}
	k.put()
	h.left = 0
}

// flush writes what is still in hand at the end, without its end.
func (h *holder) flush(k *Recorder, now logic.Nanos) {
	for i := range h.slab {
		if x := &h.slab[i]; x.id != 0 {
			id := x.id
			x.id = 0
			h.write(k, now, x, id)
		}
	}
	h.told = 0
	h.tell(k, now)
}
