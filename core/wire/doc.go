// Package wire holds the protobuf messages that nodes exchange. wire.pb.go is
// generated from wire.proto and committed, so that the build needs no generator.
package wire
