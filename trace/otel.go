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

// spansPerMessage is the number of spans after which an export writes a message, which bounds its memory.
const spansPerMessage = 4096

// ExportSpans writes runs as OpenTelemetry TracesData (opentelemetry-proto, trace/v1). Each txn becomes a root span, with
// the trace id that its client sent or the edge generated, a child span for each submission, and events for decisions.
// The output is a sequence of TracesData messages without length prefixes. Because protobuf concatenates repeated fields,
// it decodes as a single TracesData. ExportSpans returns the number of spans.
func ExportSpans(runs []*Run, clocks []Clock, w io.Writer, onDamage func(path string, d Damage)) (int, error) {
	out := bufio.NewWriterSize(w, 1<<20)
	written := 0
	for i, l := range runs {
		exporter := &spanExporter{run: l, out: out, open: map[uint64]*TxnHistory{}, toReference: func(at int64) int64 { return at }}
		if clocks != nil {
			exporter.toReference = clocks[i].ToReference
		}
		exporter.release, exporter.builds = &tracepb.News{}, map[string]int64{}
		err := l.Each(func(r *Record, names []string) bool { return exporter.addRecord(r, names) == nil }, onDamage)
		if err == nil {
			err = exporter.finish()
		}
		if err != nil {
			return written, fmt.Errorf("trace: export: %w", err)
		}
		written += exporter.written
	}
	return written, out.Flush()
}

// spanExporter exports the spans of one run.
type spanExporter struct {
	run         *Run
	out         *bufio.Writer
	open        map[uint64]*TxnHistory // txns that are not done, by id
	builds      map[string]int64       // by worker
	release     *tracepb.News          // latest release update
	spans       []*otlp.Span           // pending
	toReference func(int64) int64      // converts the run's wall clock to the reference clock, nanoseconds
	written     int                    // number of spans
	err         error
}

// addRecord adds a record to the history of its txn, and exports the txn's spans once the txn is done.
func (e *spanExporter) addRecord(r *Record, names []string) error {
	header := e.run.Headers[0]
	switch r.Kind {
	case tracepb.Kind_WORKER:
		e.builds[r.Text] = int64(r.Token)
		return e.err
	case tracepb.Kind_NEWS, tracepb.Kind_STANDING:
		e.release.Reset()
		proto.Unmarshal(r.Body, e.release) // if the body is malformed, no release is assumed
		return e.err
	case tracepb.Kind_TAKE:
		h := &TxnHistory{Edge: e.run.Edge, Sentry: e.run.Sentry, Serial: r.Serial, Key: r.Key, TraceID: r.TraceID, Taken: r.At, Expiry: r.At + int64(r.Patience),
			id: r.Txn, End: "cut"}
		if int(r.Product) < len(header.Products) {
			h.Product = header.Products[r.Product]
		}
		if h.TraceID == [2]uint64{} {
			h.TraceID = [2]uint64{e.run.ID, MixSerial(r.Serial)}
		}
		e.open[r.Txn] = h
	}
	h := e.open[r.Txn]
	if h == nil || r.Txn == 0 {
		return e.err
	}
	build := e.builds[names[r.Worker]]
	h.addRecord(r, names, build, build > e.release.Build || build == e.release.Build && logic.Phase(e.release.Phase) != logic.Released)
	if h.done {
		delete(e.open, r.Txn)
		e.addSpans(h)
	}
	return e.err
}

// wallTime converts a time of the sentry's clock to nanoseconds since 1970, by the reference clock if there is one.
func (e *spanExporter) wallTime(at int64) uint64 {
	header := e.run.Headers[0]
	return uint64(e.toReference(at + header.Wall - header.Start))
}

func stringAttribute(key, v string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: v}}}
}

func intAttribute(key string, v int64) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: v}}}
}

// spanID returns the id of span n of a txn: 0 is the root span, 1 that of submission 0, and so on.
func (e *spanExporter) spanID(h *TxnHistory, n uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, ((h.Serial<<4|n)*serialMultiplier^e.run.ID)|1)
}

// addSpans adds the spans of a txn that is done or, at the end of the run, still open.
func (e *spanExporter) addSpans(h *TxnHistory) {
	traceID := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, h.TraceID[0]), h.TraceID[1])
	end := h.Steps[len(h.Steps)-1].At
	root := &otlp.Span{TraceId: traceID, SpanId: e.spanID(h, 0), Name: h.Product, Kind: otlp.Span_SPAN_KIND_SERVER, StartTimeUnixNano: e.wallTime(h.Taken),
		EndTimeUnixNano: e.wallTime(end), Attributes: []*common.KeyValue{stringAttribute("dunegrade.txn", h.Name()), stringAttribute("dunegrade.outcome", h.End)},
		Status: &otlp.Status{}}
	switch h.End {
	case "declined", "voided", "cut":
		root.Status = &otlp.Status{Code: otlp.Status_STATUS_CODE_ERROR, Message: h.End}
	}
	var submissions []*otlp.Span
	for i := range h.Steps {
		step := &h.Steps[i]
		switch step.Kind {
		case tracepb.Kind_SUBMIT:
			submissions = append(submissions, &otlp.Span{TraceId: traceID, SpanId: e.spanID(h, uint64(len(submissions))+1), ParentSpanId: root.SpanId,
				Name: "submission to " + step.Worker, Kind: otlp.Span_SPAN_KIND_CLIENT,
				StartTimeUnixNano: e.wallTime(step.At), EndTimeUnixNano: e.wallTime(end), Attributes: []*common.KeyValue{
					stringAttribute("dunegrade.worker", step.Worker), intAttribute("dunegrade.build", step.Build), stringAttribute("dunegrade.why", step.Why)},
				Status: &otlp.Status{}})
			continue
		case tracepb.Kind_OUTCOME:
			if int(step.Number) < len(submissions) {
				span := submissions[step.Number]
				span.EndTimeUnixNano = e.wallTime(step.At)
				span.Attributes = append(span.Attributes, stringAttribute("dunegrade.ending", endingTexts[step.Ending]))
				if step.Ending != logic.OK && step.Ending != logic.Cancelled {
					span.Status = &otlp.Status{Code: otlp.Status_STATUS_CODE_ERROR, Message: endingTexts[step.Ending]}
				}
			}
			if step.Token > 0 {
				root.Attributes = append(root.Attributes, intAttribute("http.response.status_code", int64(step.Token)))
			}
		}
		root.Events = append(root.Events, &otlp.Span_Event{TimeUnixNano: e.wallTime(step.At), Name: step.What,
			Attributes: []*common.KeyValue{stringAttribute("dunegrade.why", step.Why)}})
	}
	e.spans = append(append(e.spans, root), submissions...)
	if len(e.spans) >= spansPerMessage {
		e.err = e.flush()
	}
}

// flush writes the pending spans as one message.
func (e *spanExporter) flush() error {
	if len(e.spans) == 0 {
		return nil
	}
	data, err := proto.Marshal(&otlp.TracesData{ResourceSpans: []*otlp.ResourceSpans{{
		Resource: &resource.Resource{Attributes: []*common.KeyValue{stringAttribute("service.name", "dunegrade-edge"),
			stringAttribute("service.instance.id", e.run.Edge), intAttribute("dunegrade.sentry", int64(e.run.Sentry))}},
		ScopeSpans: []*otlp.ScopeSpans{{Scope: &common.InstrumentationScope{Name: "dunegrade/trace"}, Spans: e.spans}},
	}}})
	if err != nil {
		return err
	}
	e.written += len(e.spans)
	e.spans = e.spans[:0]
	_, err = e.out.Write(data)
	return err
}

// finish adds the spans of the txns that are still open, in the order of their serials, and flushes.
func (e *spanExporter) finish() error {
	var unended []*TxnHistory
	for _, h := range e.open {
		unended = append(unended, h)
	}
	sort.Slice(unended, func(i, j int) bool { return unended[i].Serial < unended[j].Serial })
	for _, h := range unended {
		e.addSpans(h)
	}
	if e.err != nil {
		return e.err
	}
	return e.flush()
}
