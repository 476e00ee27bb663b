package api

import (
	"fmt"
	"net"
	"strconv"
)

// Fault is a value of an object that no platform can mean.
type Fault struct{ At, Found, Wanted string }

func (f *Fault) Error() string {
	return fmt.Sprintf("%s: found %s, wanted %s", f.At, f.Found, f.Wanted)
}

// maxBuild is the largest number of a build: messages between sentries hold it in two bytes.
const maxBuild = 65535

// Check gives a *Fault where a line of the list is one that no worker can have, nil where it is sound. A standing that is
// not known here is sound: a newer platform may have more.
func (w *Worker) Check() error {
	at := "worker " + strconv.Quote(w.ID) + ", "
	switch _, port, err := net.SplitHostPort(w.Address); {
	case w.ID == "":
		return &Fault{"a worker's id", `""`, "a text"}
	case w.State == "":
		return &Fault{at + "state", `""`, "a standing such as " + Up}
	case w.Build < 0 || w.Build > maxBuild:
		return &Fault{at + "build", strconv.Itoa(w.Build), fmt.Sprintf("a whole number from 0 to %d", maxBuild)}
	case w.Cell < 0:
		return &Fault{at + "cell", strconv.Itoa(w.Cell), "a whole number from 0 on"}
	case !(w.Weight >= 0):
		return &Fault{at + "weight", fmt.Sprint(w.Weight), "a number from 0 on"}
	case w.State == Up && (err != nil || !isPort(port)):
		return &Fault{at + "address", strconv.Quote(w.Address), "an address and port"}
	}
	return nil
}

// Check gives a *Fault where a release is one that no platform can mean, nil where it is sound.
func (r *Release) Check() error {
	at := fmt.Sprintf("release of build %d, ", r.Build)
	switch {
	case r.Build < 0 || r.Build > maxBuild:
		return &Fault{at + "build", strconv.Itoa(r.Build), fmt.Sprintf("a whole number from 0 to %d", maxBuild)}
	case r.Stage < 0 || r.Stage > 1000:
		return &Fault{at + "stage", strconv.Itoa(r.Stage), "a whole number from 0 to 1000"}
	case !(r.Cap >= 0 && r.Cap <= 1):
		return &Fault{at + "cap", fmt.Sprint(r.Cap), "a number from 0 to 1"}
	}
	switch r.Phase {
	case OnTrial, GoingBack, Released, Withdrawn:
		return nil
	}
	return &Fault{at + "phase", strconv.Quote(r.Phase), "one of on-trial, going-back, released, withdrawn"}
}

func isPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0
}
