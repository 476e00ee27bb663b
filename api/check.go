package api

import (
	"fmt"
	"net"
	"strconv"
)

// ValidationError is a value of an object that no platform can mean.
type ValidationError struct{ Field, Found, Wanted string }

func (f *ValidationError) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", f.Field, f.Found, f.Wanted)
}

// MaxBuild is the largest number of a build: messages between sentries hold it in two bytes. MaxStage is the last stage
// that any release has.
const (
	MaxBuild = 65535
	MaxStage = 1000
)

// Validate gives a *Fault where a line of the list is one that no worker can have, nil where it is sound. A standing that is
// not known here is sound: a newer platform may have more.
func (w *Worker) Validate() error {
	at := "worker " + strconv.Quote(w.ID) + ", "
	switch _, port, err := net.SplitHostPort(w.Address); {
	case w.ID == "":
		return &ValidationError{"a worker's id", `""`, "a text"}
	case w.State == "":
		return &ValidationError{at + "state", `""`, "a standing such as " + Up}
	case w.Build < 0 || w.Build > MaxBuild:
		return &ValidationError{at + "build", strconv.Itoa(w.Build), fmt.Sprintf("a whole number from 0 to %d", MaxBuild)}
	case w.Cell < 0:
		return &ValidationError{at + "cell", strconv.Itoa(w.Cell), "a whole number from 0 on"}
	case !(w.Weight >= 0):
		return &ValidationError{at + "weight", fmt.Sprint(w.Weight), "a number from 0 on"}
	case w.State == Up && (err != nil || ParsePort(port) <= 0):
		return &ValidationError{at + "address", strconv.Quote(w.Address), "an address and port"}
	}
	return nil
}

// Validate gives a *Fault where a release is one that no platform can mean, nil where it is sound.
func (r *Release) Validate() error {
	at := fmt.Sprintf("release of build %d, ", r.Build)
	switch {
	case r.Build < 0 || r.Build > MaxBuild:
		return &ValidationError{at + "build", strconv.Itoa(r.Build), fmt.Sprintf("a whole number from 0 to %d", MaxBuild)}
	case r.Stage < 0 || r.Stage > MaxStage:
		return &ValidationError{at + "stage", strconv.Itoa(r.Stage), fmt.Sprintf("a whole number from 0 to %d", MaxStage)}
	case !(r.Cap >= 0 && r.Cap <= 1):
		return &ValidationError{at + "cap", fmt.Sprint(r.Cap), "a number from 0 to 1"}
	}
	switch r.Phase {
	case OnTrial, GoingBack, Released, Withdrawn:
		return nil
	}
	return &ValidationError{at + "phase", strconv.Quote(r.Phase), "one of on-trial, going-back, released, withdrawn"}
}

// ParsePort reads a port of an address; -1 where it is none.
func ParsePort(s string) int {
	n, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return -1
	}
	return int(n)
}
