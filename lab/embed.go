package lab

import (
	"embed"
	"fmt"
	"sort"
	"strings"
)

// embeddedDays holds the files of the days that are built into the program.
//
//go:embed days/*.sexp
var embeddedDays embed.FS

// EmbeddedDay returns an embedded day by its name.
func EmbeddedDay(name string) (*Day, error) {
	text, err := embeddedDays.ReadFile("days/" + name + ".sexp")
	if err != nil {
		return nil, fmt.Errorf("no embedded day is named %q; available are %s", name, strings.Join(EmbeddedDayNames(), ", "))
	}
	return ParseDay(name+".sexp", string(text))
}

// EmbeddedDayNames returns the sorted names of the embedded days.
func EmbeddedDayNames() []string {
	entries, _ := embeddedDays.ReadDir("days")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".sexp"))
	}
	sort.Strings(names)
	return names
}
