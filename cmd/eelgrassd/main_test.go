package main

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"eelgrasspoint/state/loader"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"eelgrassd": main})
}

// TestScripts runs the scripts in testdata/script, which check the output and whether the command fails.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// TestOperatingPageListsEverySetting fails if OPERATING.md has no table row for a setting.
func TestOperatingPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATING.md")
	assert.NilError(t, err)
	settings := reflect.TypeFor[loader.Settings]()
	for i := range settings.NumField() {
		name := settings.Field(i).Name
		assert.Assert(t, strings.Contains(string(page), "\n| "+name+" | "), name)
	}
}
