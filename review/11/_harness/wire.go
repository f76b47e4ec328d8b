package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

//go:embed wire.json
var wireJSON []byte

// wire holds the names on the wire of the platform.
var wire = func() (names struct {
	RequestID, Deadline, ServerStamp, ExpectInstance, InstanceID, InstanceLoad, NotExecuted, StoreEra string
	ReadinessPath, InstancesPath, TransactionPath, ReadPath, FeedPath                                 string
	RowVersion                                                                                        string
},
) {
	if err := json.Unmarshal(wireJSON, &names); err != nil {
		panic(err)
	}
	return names
}()

//go:embed report.json
var reportJSON string

//go:embed state.json
var stateJSON string

// Templates of the bodies that instances and the operator write.
var (
	reportTemplate = template.Must(template.New("report").Parse(reportJSON))
	stateTemplate  = template.Must(template.New("state").Parse(stateJSON))
)

// fill returns the body that a template gives with the data.
func fill(t *template.Template, data any) []byte {
	var body bytes.Buffer
	if err := t.Execute(&body, data); err != nil {
		panic(err)
	}
	return body.Bytes()
}
