// Command wirehost hosts many isolated sentries on one pair of pipes.
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
