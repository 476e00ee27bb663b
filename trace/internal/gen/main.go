// Command gen generates the Go code of trace.proto; with -check it only reports whether the code is up to date. It
// compiles the schema itself, so that no protoc is needed.
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/bufbuild/protocompile"
	gengo "google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	check := flag.Bool("check", false, "only compare the generated code with the files")
	flag.Parse()
	if err := run("trace/tracepb", "trace.proto", *check); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// run compiles the schema dir/name and writes the generated code, or, with check, compares it with the existing files.
func run(dir, name string, check bool) error {
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{dir}}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{name}, Parameter: proto.String("paths=source_relative"),
		ProtoFile: []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(files[0])}}
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return err
	}
	for _, f := range plugin.Files {
		if f.Generate {
			gengo.GenerateFile(plugin, f)
		}
	}
	response := plugin.Response()
	if response.Error != nil {
		return fmt.Errorf("%s", *response.Error)
	}
	for _, f := range response.File {
		path := dir + "/" + f.GetName()
		if check {
			existing, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			if !bytes.Equal(existing, []byte(f.GetContent())) {
				return fmt.Errorf("%s does not match %s: run 'go run ./trace/internal/gen'", path, name)
			}
			continue
		}
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
