package lab

import (
	"embed"
	"fmt"
	"sort"
	"strings"
)

//go:embed days/*.sexp
var embeddedDays embed.FS

// Embedded gives a day that comes with the program, by its name.
func Embedded(name string) (*Day, error) {
	text, err := embeddedDays.ReadFile("days/" + name + ".sexp")
	if err != nil {
		return nil, fmt.Errorf("no day %q comes with the program; there are %s", name, strings.Join(EmbeddedNames(), ", "))
	}
	return ParseDay(name+".sexp", string(text))
}

// EmbeddedNames lists the days that come with the program.
func EmbeddedNames() []string {
	list, _ := embeddedDays.ReadDir("days")
	var out []string
	for _, e := range list {
		out = append(out, strings.TrimSuffix(e.Name(), ".sexp"))
	}
	sort.Strings(out)
	return out
}
