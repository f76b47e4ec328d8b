package main

import (
	_ "embed"
	"encoding/json"
)

// wireNames are the names of the users' platform that the stand-ins speak.
type wireNames struct {
	Headers struct{ RequestID, Deadline, Stamp, Expect, InstanceID string }
	Paths   struct{ Transact, Get, Feed, Instances, Readiness string }
	Fields  struct{ Version, HealthPath, ColdRate, ColdStart, HomeRegions, Target, Cold string }
}

//go:embed wire.json
var wireText []byte

var wire = readWire()

func readWire() wireNames {
	var names wireNames
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic(err)
	}
	return names
}
