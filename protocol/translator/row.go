package translator

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// ParseRow parses the value of a row of the table service. Fields of a later version of the program are left out, as they are
// in messages between nodes.
func ParseRow(value []byte, message proto.Message) error {
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(value, message)
}
