package node_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lynxfold/core/wire"
	"lynxfold/io/node"
)

// TestSurvey queries a peer that answers, and peers that close the connection, send a
// malformed or an oversized message, or stay silent.
func TestSurvey(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer func(nc net.Conn)
		// fails is a part of the expected error; empty when the query succeeds.
		fails string
	}{
		{
			name: "answer",
			answer: func(nc net.Conn) {
				node.ServeSurvey(&node.Conn{Conn: nc}, &wire.SurveyAnswer{Host: "press-hall-1", Version: 42})
			},
		},
		{name: "closed connection", answer: func(net.Conn) {}, fails: "EOF"},
		{name: "malformed", answer: func(nc net.Conn) { _, _ = nc.Write([]byte("\x00\x00\x00\x03\xff\xff\xff")) }, fails: "malformed"},
		{name: "too long", answer: func(nc net.Conn) { _, _ = nc.Write([]byte("\x7f\xff\xff\xff")) }, fails: "at most"},
		{name: "silence", answer: func(nc net.Conn) { _, _ = nc.Read(make([]byte, 64)); time.Sleep(time.Second) }, fails: "timeout"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = ln.Close() }()
			done := make(chan struct{})
			go func() {
				defer close(done)
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_, _ = nc.Read(make([]byte, 19)) // the preface
				tc.answer(nc)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			di := &node.Dialer{Timeout: time.Second}
			an, err := di.Survey(ctx, ln.Addr().String())
			<-done
			if tc.fails == "" {
				assert.NilError(t, err)
				assert.Equal(t, an.GetVersion(), uint64(42))
				return
			}
			assert.Assert(t, err != nil && strings.Contains(err.Error(), tc.fails), "%v", err)
		})
	}
}
