package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"lynxfold/io/http1"
	"lynxfold/io/operator"
)

const (
	// apiTimeout bounds one request to a node's API.
	apiTimeout = 20 * time.Second
	// maxAnswerBytes bounds the body of an answer of a node.
	maxAnswerBytes = 256 << 20
	// tokenEnv is the environment variable with the operator's token.
	tokenEnv    = "LYNXFOLD_TOKEN"
	defaultNode = "http://127.0.0.1:7403"
)

// ProblemError reports a request that a node did not carry out.
type ProblemError struct {
	Status  int
	Problem operator.Problem
}

func (er *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s", er.Problem.Reason, er.Problem.Detail)
}

// TokenFileError reports a file that holds no token.
type TokenFileError struct {
	File string
}

func (er *TokenFileError) Error() string { return er.File + " holds no token" }

// CAFileError reports a file that holds no certificate.
type CAFileError struct {
	File string
}

func (er *CAFileError) Error() string { return er.File + " holds no certificate" }

// client sends requests to the API of one node.
type client struct {
	node      string
	tokenFile string
	caFile    string
	json      bool

	http  *fasthttp.Client
	token string
}

// registerFlags registers the flags of every command that sends requests to a node.
func (cl *client) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&cl.node, "node", defaultNode, "`URL` of a node's console")
	fs.StringVar(&cl.tokenFile, "token-file", "", "`file` with the operator's token; "+tokenEnv+" when empty")
	fs.StringVar(&cl.caFile, "ca-file", "", "`file` with the certificates that sign the console's, PEM")
	fs.BoolVar(&cl.json, "json", false, "print JSON")
}

// configure reads the token and the certificates and creates the HTTP client.
func (cl *client) configure() error {
	cl.node = strings.TrimRight(cl.node, "/")
	cl.token = strings.TrimSpace(os.Getenv(tokenEnv))
	if cl.tokenFile != "" {
		data, err := os.ReadFile(cl.tokenFile)
		if err != nil {
			return err
		}
		if cl.token = strings.TrimSpace(string(data)); cl.token == "" {
			return &TokenFileError{File: cl.tokenFile}
		}
	}
	cl.http = &fasthttp.Client{
		ReadTimeout:               apiTimeout,
		WriteTimeout:              apiTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
	}
	config, err := cl.tlsConfig()
	if err != nil {
		return err
	}
	cl.http.Dial = func(addr string) (net.Conn, error) { return dialNode(addr, config) }
	return nil
}

// tlsConfig returns how the console's certificate is checked; nil if the node's URL is not of
// https.
func (cl *client) tlsConfig() (*tls.Config, error) {
	encrypted := strings.HasPrefix(cl.node, "https://")
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	switch {
	case cl.caFile == "" && encrypted:
		return config, nil
	case cl.caFile == "":
		return nil, nil
	}
	data, err := os.ReadFile(cl.caFile)
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, &CAFileError{File: cl.caFile}
	}
	if !encrypted {
		return nil, nil
	}
	return config, nil
}

// nodeConn is a connection to a node's console, encrypted if that is served over TLS.
type nodeConn struct {
	*http1.Conn
}

// Handshake tells the HTTP client that the connection is encrypted already.
func (nodeConn) Handshake() error { return nil }

// dialNode opens a connection to a node's console; config is nil if it is not encrypted.
func dialNode(addr string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		nc, err := fasthttp.DialTimeout(addr, apiTimeout)
		if err != nil {
			return nil, err
		}
		return nodeConn{Conn: http1.NewConn(nc)}, nil
	}
	nc, err := tls.DialWithDialer(&net.Dialer{Timeout: apiTimeout}, "tcp", addr, config)
	if err != nil {
		return nil, err
	}
	return nodeConn{Conn: http1.NewConn(nc)}, nil
}

// request sends one request; answer may be nil. It returns a ProblemError when the
// node did not carry the request out.
func (cl *client) request(method, path string, body, answer any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(cl.node + path)
	if cl.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+cl.token)
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(data)
	}
	if err := cl.http.Do(req, resp); err != nil {
		return errors.Wrapf(err, "ask %s", cl.node)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return problemError(resp)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), answer), "read answer")
}

func problemError(resp *fasthttp.Response) error {
	pe := &ProblemError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &pe.Problem); err != nil {
		pe.Problem.Detail = string(resp.Body())
	}
	return pe
}

// exitStatus returns the exit code for an error.
func exitStatus(err error) subcommands.ExitStatus {
	var pe *ProblemError
	if !errors.As(err, &pe) {
		return exitFailure
	}
	switch pe.Problem.Reason {
	case operator.ReasonConflict:
		return exitConflict
	case operator.ReasonInDoubt:
		return exitInDoubt
	}
	return exitRefused
}

// fail prints an error, as JSON with --json, and returns its exit code.
func (cl *client) fail(st streams, err error) subcommands.ExitStatus {
	var pe *ProblemError
	if cl.json && errors.As(err, &pe) {
		printJSON(st.out, pe.Problem)
		return exitStatus(err)
	}
	_, _ = fmt.Fprintln(st.err, err)
	if errors.As(err, &pe) {
		printProblem(st.err, pe.Problem)
	}
	return exitStatus(err)
}
