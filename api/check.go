package api

import (
	"fmt"
	"net"
	"strconv"
)

// ValidationError reports a field of an API object with an invalid value.
type ValidationError struct{ Field, Found, Wanted string }

func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", e.Field, e.Found, e.Wanted)
}

const (
	// MaxBuild is the largest build number: messages between sentries encode it in two bytes.
	MaxBuild = 65535
	// MaxStage is the largest stage number of a release.
	MaxStage = 1000
)

// Validate returns a *ValidationError for the first invalid field of the worker, or nil. It accepts an unknown state,
// because a newer platform may define more states.
func (w *Worker) Validate() error {
	prefix := "worker " + strconv.Quote(w.ID) + ", "
	switch _, port, err := net.SplitHostPort(w.Address); {
	case w.ID == "":
		return &ValidationError{"a worker's id", `""`, "a non-empty string"}
	case w.State == "":
		return &ValidationError{prefix + "state", `""`, "a state such as " + WorkerUp}
	case w.Build < 0 || w.Build > MaxBuild:
		return &ValidationError{prefix + "build", strconv.Itoa(w.Build), fmt.Sprintf("an integer from 0 to %d", MaxBuild)}
	case w.Cell < 0:
		return &ValidationError{prefix + "cell", strconv.Itoa(w.Cell), "an integer of at least 0"}
	case !(w.Weight >= 0):
		return &ValidationError{prefix + "weight", fmt.Sprint(w.Weight), "a number of at least 0"}
	case w.State == WorkerUp && (err != nil || ParsePort(port) <= 0):
		return &ValidationError{prefix + "address", strconv.Quote(w.Address), "an address and port"}
	}
	return nil
}

// Validate returns a *ValidationError for the first invalid field of the release, or nil.
func (r *Release) Validate() error {
	prefix := fmt.Sprintf("release of build %d, ", r.Build)
	switch {
	case r.Build < 0 || r.Build > MaxBuild:
		return &ValidationError{prefix + "build", strconv.Itoa(r.Build), fmt.Sprintf("an integer from 0 to %d", MaxBuild)}
	case r.Stage < 0 || r.Stage > MaxStage:
		return &ValidationError{prefix + "stage", strconv.Itoa(r.Stage), fmt.Sprintf("an integer from 0 to %d", MaxStage)}
	case !(r.Cap >= 0 && r.Cap <= 1):
		return &ValidationError{prefix + "cap", fmt.Sprint(r.Cap), "a number from 0 to 1"}
	}
	switch r.Phase {
	case PhaseOnTrial, PhaseGoingBack, PhaseReleased, PhaseWithdrawn:
		return nil
	}
	return &ValidationError{prefix + "phase", strconv.Quote(r.Phase), "one of on-trial, going-back, released, withdrawn"}
}

// ParsePort parses a TCP port number. It returns -1 if s is not a port number.
func ParsePort(s string) int {
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return -1
	}
	return int(n)
}
