package upstream

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// TestParseSlowdown checks that only the fourth number of a load header is used, and only
// if it can be one.
func TestParseSlowdown(t *testing.T) {
	for text, want := range map[string]host.Slowdown{
		"":                           0,
		"3,0,9":                      0,
		"3,0,9,":                     0,
		"3,0,9,100":                  100,
		" 3, 0, 9, 250 ":             250,
		"9,9,9,0":                    0,
		"9,9,9,-250":                 0,
		"9,9,9,1":                    40,
		"9,9,9,9999":                 500,
		"9,9,9,10001":                0,
		"9,9,9,1e9":                  0,
		"9,9,9,99999999999999999999": 0,
		"x,y,z,250,7":                250,
	} {
		assert.Equal(t, ParseSlowdown([]byte(text)), want, "%q", text)
	}
}

// TestLoadOnTheWire checks that a load arrives as it was sent, and that its size is within
// 2 % of a call of 1,000 bytes.
func TestLoadOnTheWire(t *testing.T) {
	an := host.Announcement{Slots: 9}
	for _, lo := range []host.Load{
		{Slots: 9},
		{
			Running:     7,
			Slots:       9,
			ServiceTime: 160 * time.Millisecond,
		},
		{
			Running:     9,
			Queued:      12,
			Slots:       9,
			Wait:        231 * time.Millisecond,
			Slowdown:    250,
			ServiceTime: 1160 * time.Millisecond,
		},
		{
			Running: 3,
			Slots:   4,
		},
	} {
		re := &wire.Response{Load: loadToWire(lo, an)}
		got, ok := LoadFromWire(re.GetLoad(), an.Slots)
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, lo)
		size := proto.Size(re)
		t.Logf("%+v: %d bytes", lo, size)
		assert.Assert(t, size <= 20)
	}
	_, ok := LoadFromWire(nil, 9)
	assert.Assert(t, !ok)
}
