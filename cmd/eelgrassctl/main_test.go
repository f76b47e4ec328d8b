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

// TestScripts runs the scripts in testdata/script, which check the output and whether the command fails.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestManPageListsEveryVerb fails if the manual page has no entry for a verb.
func TestManPageListsEveryVerb(t *testing.T) {
	page, err := os.ReadFile("../../docs/eelgrassctl.1")
	assert.NilError(t, err)
	text := strings.ReplaceAll(string(page), `\-`, "-")
	for _, v := range verbs {
		assert.Assert(t, strings.Contains(text, "\n.B "+v.name), v.name)
	}
}
