package trace

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sort"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	otlp "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// spansAtOnce is how many spans stand in one message of an export: it bounds the memory.
const spansAtOnce = 4096

// ExportSpans writes lives as OpenTelemetry's TracesData (opentelemetry-proto, trace/v1): a span a txn, of the trace id
// that its client sent or that the edge gave, with a span below it for each submission, and events for what was decided.
// The file is a run of TracesData messages without lengths between them, which is one TracesData by protobuf's own
// rule for repeated fields. It gives the number of spans.
func ExportSpans(lives []*Life, clocks []Clock, w io.Writer, hurt func(path string, d Damage)) (int, error) {
	out := bufio.NewWriterSize(w, 1<<20)
	n := 0
	for i, l := range lives {
		e := &spanner{life: l, out: out, open: map[uint64]*TxnHistory{}, shift: func(at int64) int64 { return at }}
		if clocks != nil {
			e.shift = clocks[i].ToReference
		}
		e.news, e.builds = &tracepb.News{}, map[string]int64{}
		err := l.Each(func(r *Record, names []string) bool { return e.record(r, names) == nil }, hurt)
		if err == nil {
			err = e.finish()
		}
		if err != nil {
			return n, fmt.Errorf("trace: export: %w", err)
		}
		n += e.n
	}
	return n, out.Flush()
}

// spanner makes one life's spans.
type spanner struct {
	life   *Life
	out    *bufio.Writer
	open   map[uint64]*TxnHistory
	builds map[string]int64
	news   *tracepb.News
	spans  []*otlp.Span
	shift  func(int64) int64
	n      int
	fault  error
}

func (e *spanner) record(r *Record, names []string) error {
	h := e.life.Headers[0]
	switch r.Kind {
	case tracepb.Kind_WORKER:
		e.builds[r.Text] = int64(r.Token)
		return e.fault
	case tracepb.Kind_NEWS, tracepb.Kind_STANDING:
		e.news.Reset()
		proto.Unmarshal(r.Body, e.news) // what cannot be read tells nothing
		return e.fault
	case tracepb.Kind_TAKE:
		s := &TxnHistory{Edge: e.life.Edge, Sentry: e.life.Sentry, Serial: r.Serial, Key: r.Key, TraceID: r.TraceID, Taken: r.At, Expiry: r.At + int64(r.Patience),
			id: r.Txn, End: "cut"}
		if int(r.Product) < len(h.Products) {
			s.Product = h.Products[r.Product]
		}
		if s.TraceID == [2]uint64{} {
			s.TraceID = [2]uint64{e.life.ID, MixSerial(r.Serial)}
		}
		e.open[r.Txn] = s
	}
	s := e.open[r.Txn]
	if s == nil || r.Txn == 0 {
		return e.fault
	}
	build := e.builds[names[r.Worker]]
	s.addRecord(r, names, build, build > e.news.Build || build == e.news.Build && logic.Phase(e.news.Phase) != logic.Released)
	if s.done {
		delete(e.open, r.Txn)
		e.put(s)
	}
	return e.fault
}

// wall turns the sentry's clock into nanoseconds since 1970.
func (e *spanner) wall(at int64) uint64 {
	h := e.life.Headers[0]
	return uint64(e.shift(at + h.Wall - h.Start))
}

func text(key, v string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: v}}}
}

func number(key string, v int64) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: v}}}
}

// spanID names a span of a txn: 0 is the txn's own, n+1 its submission n.
func (e *spanner) spanID(s *TxnHistory, n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, ((s.Serial<<4|n)*mixer^e.life.ID)|1)
}

// put makes the spans of a txn that has ended, or that the file ends in.
func (e *spanner) put(s *TxnHistory) {
	id := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.TraceID[0]), s.TraceID[1])
	last := s.Steps[len(s.Steps)-1].At
	root := &otlp.Span{TraceId: id, SpanId: e.spanID(s, 0), Name: s.Product, Kind: otlp.Span_SPAN_KIND_SERVER, StartTimeUnixNano: e.wall(s.Taken),
		EndTimeUnixNano: e.wall(last), Attributes: []*common.KeyValue{text("dunegrade.txn", s.Name()), text("dunegrade.outcome", s.End)},
		Status: &otlp.Status{}}
	switch s.End {
	case "declined", "voided", "cut":
		root.Status = &otlp.Status{Code: otlp.Status_STATUS_CODE_ERROR, Message: s.End}
	}
	var subs []*otlp.Span
	for i := range s.Steps {
		x := &s.Steps[i]
		switch x.Kind {
		case tracepb.Kind_SUBMIT:
			subs = append(subs, &otlp.Span{TraceId: id, SpanId: e.spanID(s, uint64(len(subs))+1), ParentSpanId: root.SpanId, Name: "submission to " + x.Worker,
				Kind: otlp.Span_SPAN_KIND_CLIENT, StartTimeUnixNano: e.wall(x.At), EndTimeUnixNano: e.wall(last), Attributes: []*common.KeyValue{
					text("dunegrade.worker", x.Worker), number("dunegrade.build", x.Build), text("dunegrade.why", x.Why)},
				Status: &otlp.Status{}})
			continue
		case tracepb.Kind_OUTCOME:
			if int(x.Number) < len(subs) {
				b := subs[x.Number]
				b.EndTimeUnixNano = e.wall(x.At)
				b.Attributes = append(b.Attributes, text("dunegrade.ending", endingTexts[x.Ending]))
				if x.Ending != logic.OK && x.Ending != logic.Cancelled {
					b.Status = &otlp.Status{Code: otlp.Status_STATUS_CODE_ERROR, Message: endingTexts[x.Ending]}
				}
			}
			if x.Token > 0 {
				root.Attributes = append(root.Attributes, number("http.response.status_code", int64(x.Token)))
			}
		}
		root.Events = append(root.Events, &otlp.Span_Event{TimeUnixNano: e.wall(x.At), Name: x.What, Attributes: []*common.KeyValue{text("dunegrade.why", x.Why)}})
	}
	e.spans = append(append(e.spans, root), subs...)
	if len(e.spans) >= spansAtOnce {
		e.fault = e.flush()
	}
}

func (e *spanner) flush() error {
	if len(e.spans) == 0 {
		return nil
	}
	data, err := proto.Marshal(&otlp.TracesData{ResourceSpans: []*otlp.ResourceSpans{{
		Resource: &resource.Resource{Attributes: []*common.KeyValue{text("service.name", "dunegrade-edge"), text("service.instance.id", e.life.Edge),
			number("dunegrade.sentry", int64(e.life.Sentry))}},
		ScopeSpans: []*otlp.ScopeSpans{{Scope: &common.InstrumentationScope{Name: "dunegrade/trace"}, Spans: e.spans}},
	}}})
	if err != nil {
		return err
	}
	e.n += len(e.spans)
	e.spans = e.spans[:0]
	_, err = e.out.Write(data)
	return err
}

// finish writes what has no end in the file, in the order of taking.
func (e *spanner) finish() error {
	var left []*TxnHistory
	for _, s := range e.open {
		left = append(left, s)
	}
	sort.Slice(left, func(i, j int) bool { return left[i].Serial < left[j].Serial })
	for _, s := range left {
		e.put(s)
	}
	if e.fault != nil {
		return e.fault
	}
	return e.flush()
}
