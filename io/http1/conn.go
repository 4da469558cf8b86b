package http1

import "net"

// Conn is a client's connection on which the head of the response to each request is checked
// before it is read. It is for clients that write a request completely before they read.
type Conn struct {
	net.Conn
	checker checker
	// began is set once part of the response has been read.
	began bool
	// err is why the response is not read any further; nil while it is.
	err error
}

// NewConn returns a connection that checks the heads of responses on another one.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write sends part of a request.
func (co *Conn) Write(buf []byte) (int, error) {
	if co.checker.isFinal() {
		co.checker = checker{}
		co.began = false
	}
	return co.Conn.Write(buf)
}

// Read reads part of a response. It fails with a HeadError. Of a response that is malformed in
// its first part it returns one byte before that: clients take an error instead of the first
// byte for a connection that the server has closed.
func (co *Conn) Read(buf []byte) (int, error) {
	if co.err != nil {
		return 0, co.err
	}
	n, err := co.Conn.Read(buf)
	if co.err = co.check(buf[:n]); co.err == nil {
		co.began = co.began || n > 0
		return n, err
	}
	if !co.began {
		co.began = true
		return 1, nil
	}
	return 0, co.err
}

// check checks the part of the data that belongs to heads.
func (co *Conn) check(data []byte) error {
	for len(data) > 0 && !co.checker.isFinal() {
		used, err := co.checker.feed(data)
		if err != nil {
			return err
		}
		data = data[used:]
		if !co.checker.done || co.checker.isFinal() {
			continue
		}
		if err := co.checker.next(); err != nil {
			return err
		}
	}
	return nil
}
