package config

import (
	"time"

	"dunegrade/api"
)

// WorkerList is the contents of a list file: the workers and the state of the newest release.
type WorkerList struct {
	Workers []api.Worker
	Release api.Release
}

// ParseWorkerList reads the text of a list file; file is the file name for error messages. The error is FileErrors if the
// text is invalid.
func ParseWorkerList(file, text string) (*WorkerList, error) {
	r, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readWorkerList(r)
}

// readWorkerList reads and validates the workers and the release.
func readWorkerList(r *Reader) (*WorkerList, error) {
	workerList := &WorkerList{}
	f := r.Root()
	// A file truncated between two forms would pass as complete, and its missing workers would count as gone. The release
	// has to be the last form, so that a truncated file lacks it.
	if n := len(f.items); n > 0 {
		if last := f.asForm(f.items[n-1]); last == nil || last.name != "release" {
			f.r.addError(f.items[n-1].Pos, f.items[n-1].String(), "(release ...) as the last form: without it the file is incomplete")
		}
	}
	seen := map[string]bool{}
	for _, worker := range f.Fields("worker") {
		id := worker.TakeName("a worker's id")
		if seen[id] {
			worker.AddError("a second worker "+id, "unique ids")
		}
		seen[id] = true
		workerList.Workers = append(workerList.Workers, api.Worker{ID: id, Address: worker.address("address", true),
			Zone: worker.Text("zone", ""), Kind: worker.Text("kind", ""), Cell: int(worker.Int("cell", 0, 0, 1<<30)),
			State:  worker.OneOf("state", api.WorkerUp, api.WorkerUp, api.WorkerDraining, api.WorkerGone),
			Weight: worker.Float("weight", 1, 0, 1e9), Build: int(worker.Int("build", 1, 0, api.MaxBuild)),
			StartedAt: worker.timestamp("started")})
		worker.RejectUnknown()
	}
	if len(workerList.Workers) == 0 {
		f.RequireField("worker")
	}
	release := f.Field("release")
	if release == nil { // its absence was reported above
		release = &Form{r: r, name: "release", requested: map[string]bool{}, placeholder: true}
	}
	workerList.Release = api.Release{Build: int(release.Int("build", 1, 0, api.MaxBuild)),
		Stage: int(release.Int("stage", 0, 0, api.MaxStage)),
		Phase: release.OneOf("phase", api.PhaseReleased, api.PhaseOnTrial, api.PhaseGoingBack, api.PhaseReleased, api.PhaseWithdrawn),
		Cap:   release.Float("cap", 1, 0, 1), Since: release.timestamp("since")}
	release.RejectUnknown()
	f.RejectUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return workerList, nil
}

// timestamp reads an RFC 3339 time as nanoseconds since the Unix epoch. It returns 0 if the field is missing or invalid.
func (f *Form) timestamp(name string) int64 {
	return readValue(f, name, 0, "a time such as 2026-12-01T16:40:00Z", func(s string) (int64, bool) {
		t, err := time.Parse(time.RFC3339Nano, s)
		return t.UnixNano(), err == nil
	})
}
