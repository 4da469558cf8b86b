package node

import (
	"google.golang.org/protobuf/encoding/protowire"

	"lynxfold/core/wire"
)

// Field numbers of wire.Frame and wire.Body.
const (
	frameBodyField   protowire.Number = 2
	bodyDataField    protowire.Number = 1
	bodyLastField    protowire.Number = 2
	bodyAbortedField protowire.Number = 3
)

// borrowBody decodes a frame that holds a body without copying its data. It returns false for
// any other frame, and for one that it does not know all fields of.
func borrowBody(message []byte) (*wire.Frame, bool) {
	number, kind, n := protowire.ConsumeTag(message)
	if n < 0 || number != frameBodyField || kind != protowire.BytesType {
		return nil, false
	}
	fields, m := protowire.ConsumeBytes(message[n:])
	if m < 0 || n+m != len(message) {
		return nil, false
	}
	bo := &wire.Body{}
	for len(fields) > 0 {
		number, kind, n := protowire.ConsumeTag(fields)
		if n < 0 {
			return nil, false
		}
		fields = fields[n:]
		switch {
		case number == bodyDataField && kind == protowire.BytesType:
			bo.Data, n = protowire.ConsumeBytes(fields)
		case (number == bodyLastField || number == bodyAbortedField) && kind == protowire.VarintType:
			var flag uint64
			flag, n = protowire.ConsumeVarint(fields)
			if number == bodyLastField {
				bo.Last = flag != 0
			} else {
				bo.Aborted = flag != 0
			}
		default:
			return nil, false
		}
		if n < 0 {
			return nil, false
		}
		fields = fields[n:]
	}
	return &wire.Frame{Kind: &wire.Frame_Body{Body: bo}}, true
}
