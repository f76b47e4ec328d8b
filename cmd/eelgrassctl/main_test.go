package main

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"eelgrassctl": main})
}

// TestScripts runs the command lines of testdata.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestManPage looks for every verb and for the options of changes.
func TestManPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/eelgrassctl.1")
	assert.NilError(t, err)
	text := strings.ReplaceAll(string(page), `\-`, "-")
	for _, v := range verbs {
		assert.Assert(t, strings.Contains(text, "\n.B "+v.name), v.name)
	}
}
