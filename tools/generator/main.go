// Command generator compiles a schema file and runs protoc plugins on it, so that the generated code can be made and
// checked with Go modules only.
//
//	generator [-out DIR] [-module NAME] FILE PLUGIN...
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	out := flag.String("out", ".", "folder of the generated files")
	module := flag.String("module", "", "module whose path is left out of the names of the generated files")
	flag.Parse()
	if flag.NArg() < 2 {
		fmt.Fprintln(os.Stderr, "usage: generator [-out DIR] [-module NAME] FILE PLUGIN...")
		os.Exit(2)
	}
	if err := generate(flag.Arg(0), flag.Args()[1:], *module, *out); err != nil {
		fmt.Fprintln(os.Stderr, "generator:", err)
		os.Exit(1)
	}
}

func generate(file string, plugins []string, module, out string) error {
	files, err := compile(file)
	if err != nil {
		return err
	}
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file}, Parameter: proto.String("module=" + module), ProtoFile: files,
	})
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := run(plugin, request, out); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// compile returns the descriptors of a schema file and of the files that it imports, each after its own imports.
func compile(file string) ([]*descriptorpb.FileDescriptorProto, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return nil, err
	}
	var files []*descriptorpb.FileDescriptorProto
	seen := make(map[string]bool)
	var add func(f protoreflect.FileDescriptor)
	add = func(f protoreflect.FileDescriptor) {
		if seen[f.Path()] {
			return
		}
		seen[f.Path()] = true
		for i := range f.Imports().Len() {
			add(f.Imports().Get(i).FileDescriptor)
		}
		files = append(files, protodesc.ToFileDescriptorProto(f))
	}
	add(compiled[0])
	return files, nil
}

// run passes the request to a plugin and writes the files of its response.
func run(plugin string, request []byte, out string) error {
	command := exec.Command(plugin)
	command.Stdin = bytes.NewReader(request)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return errors.New(response.GetError())
	}
	for _, f := range response.GetFile() {
		if err := write(filepath.Join(out, f.GetName()), f.GetContent()); err != nil {
			return err
		}
	}
	return nil
}

func write(path, content string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(content), 0o644)
}
