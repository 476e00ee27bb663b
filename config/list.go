package config

import (
	"time"

	"dunegrade/api"
)

// WorkerList is what a list file tells: the workers and where the newest release stands.
type WorkerList struct {
	Workers []api.Worker
	Release api.Release
}

// ParseWorkerList reads a list file's text; file is the name that faults give. The error is Faults where the text is at fault.
func ParseWorkerList(file, text string) (*WorkerList, error) {
	r, err := Read(file, text)
	if err != nil {
		return nil, err
	}
	return readList(r)
}

func readList(r *Reader) (*WorkerList, error) {
	out := &WorkerList{}
	f := r.Root()
	// Danger: a file that is cut off between two forms reads as whole, and the workers that it lacks as gone. The release
	// ends the file, so what lacks it is no whole file.
	if n := len(f.items); n > 0 {
		if last := f.asForm(f.items[n-1]); last == nil || last.name != "release" {
			f.r.addError(f.items[n-1].Pos, f.items[n-1].String(), "(release ...) as the last form: without it the file is not whole")
		}
	}
	seen := map[string]bool{}
	for _, w := range f.Fields("worker") {
		id := w.TakeName("a worker's id")
		if seen[id] {
			w.AddError("a second worker "+id, "ids that differ")
		}
		seen[id] = true
		out.Workers = append(out.Workers, api.Worker{ID: id, Address: w.address("address", true), Zone: w.Text("zone", ""),
			Kind: w.Text("kind", ""), Cell: int(w.Int("cell", 0, 0, 1<<30)),
			State:  w.OneOf("state", api.Up, api.Up, api.Draining, api.Gone),
			Weight: w.Float("weight", 1, 0, 1e9), Build: int(w.Int("build", 1, 0, api.MaxBuild)),
			StartedAt: w.timestamp("started")})
		w.RejectUnknown()
	}
	if len(out.Workers) == 0 {
		f.RequireField("worker")
	}
	rel := f.Field("release")
	if rel == nil { // told above
		rel = &Form{r: r, name: "release", requested: map[string]bool{}, placeholder: true}
	}
	out.Release = api.Release{Build: int(rel.Int("build", 1, 0, api.MaxBuild)), Stage: int(rel.Int("stage", 0, 0, api.MaxStage)),
		Phase: rel.OneOf("phase", api.Released, api.OnTrial, api.GoingBack, api.Released, api.Withdrawn),
		Cap:   rel.Float("cap", 1, 0, 1), Since: rel.timestamp("since")}
	rel.RejectUnknown()
	f.RejectUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// timestamp reads a moment in RFC 3339, as nanoseconds since 1970; 0 where there is none.
func (f *Form) timestamp(name string) int64 {
	return readValue(f, name, 0, "a moment such as 2026-12-01T16:40:00Z", func(s string) (int64, bool) {
		t, err := time.Parse(time.RFC3339Nano, s)
		return t.UnixNano(), err == nil
	})
}
