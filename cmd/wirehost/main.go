// Command wirehost hosts many isolated sentries and exchanges their events and actions over standard input and output.
package main

import (
	"fmt"
	"os"

	"dunegrade/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
