// Command dunegrade-edge hosts sentries: it routes txns to workers and votes new builds on or back.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"dunegrade/edge"
	"dunegrade/platform"
)

func main() {
	var args struct {
		Serve struct {
			Settings string `arg:"" help:"The edge's settings file (S-expressions)." type:"path"`
		} `cmd:"" default:"withargs" help:"Serve HTTP by a settings file."`
		Live struct{} `cmd:"" help:"Serve as one sentry of a platform, by the start document that ROUTER_CONFIG names."`
	}
	command := kong.Parse(&args, kong.Name("dunegrade-edge"), kong.Description("Routes txns to workers and votes builds on or back."))
	if command.Command() == "live" {
		os.Exit(platform.Serve())
	}
	os.Exit(edge.Serve(args.Serve.Settings))
}
