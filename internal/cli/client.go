package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/tlsconf"
)

const (
	tokenEnvVar          = envPrefix + "_TOKEN"
	keyEnvVar            = envPrefix + "_KEY"
	callTimeout          = 30 * time.Second
	maxResponseBytes     = 64 << 20
	operatorsAddressHelp = "the operators' address of any instance (instance.operators in its settings)"
)

// client calls the operators' or the callers' HTTP interface of an instance and
// prints the results. The pointers are values of command-line flags.
type client struct {
	std              stdio
	addr, secretFile *string
	jsonOutput       *bool
	// caFile is a PEM file of certificate authorities; empty for an interface
	// without TLS.
	caFile *string
	// secretEnvVar is the environment variable with the credential, read if
	// secretFile is empty.
	secretEnvVar string
}

// newOperatorClient returns a client of the operators' interface and adds its flags
// to fs.
func newOperatorClient(std stdio, fs *flag.FlagSet) client {
	return client{
		std: std, secretEnvVar: tokenEnvVar,
		addr:       fs.String("addr", "127.0.0.1:8081", "`IP:port`, "+operatorsAddressHelp),
		caFile:     fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		secretFile: fs.String("token-file", "", "`file` with the operator token; else the token is taken from "+tokenEnvVar),
		jsonOutput: fs.Bool("json", false, "print JSON for programs"),
	}
}

// newCallerClient returns a client of the callers' interface and adds its flags to
// fs.
func newCallerClient(std stdio, fs *flag.FlagSet) client {
	return client{
		std: std, secretEnvVar: keyEnvVar,
		addr:       fs.String("addr", "127.0.0.1:8080", "`IP:port`, the callers' address of any instance"),
		caFile:     fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		secretFile: fs.String("key-file", "", "`file` with the API key; else the key is taken from "+keyEnvVar),
		jsonOutput: fs.Bool("json", false, "print JSON for programs"),
	}
}

// secret returns the credential from the file or the environment variable.
func (c client) secret() (string, error) {
	if *c.secretFile != "" {
		return readSecret(*c.secretFile)
	}
	if secret := strings.TrimSpace(os.Getenv(c.secretEnvVar)); secret != "" {
		return secret, nil
	}
	return "", usagef("a credential is missing: name its file by flag, or set %s", c.secretEnvVar)
}

// responseError is a response whose status is not 2xx.
type responseError struct {
	status int
	body   []byte
}

// errorDetails is the part of an error response that is printed.
type errorDetails struct {
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	ID       string    `json:"id"`
	Findings []finding `json:"findings"`
	Result   *struct {
		Lost []valueRow `json:"lost"`
	} `json:"result"`
}

// finding is one invalid value of a rejected change.
type finding struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

// details decodes the error response. All fields are empty if it is not JSON of
// that form.
func (e responseError) details() errorDetails {
	var body struct {
		Error errorDetails `json:"error"`
	}
	_ = json.Unmarshal(e.body, &body)
	return body.Error
}

// Error returns the instance's error message, followed by one line for each
// finding and each value that another change has set in the meantime.
func (e responseError) Error() string {
	details := e.details()
	if details.Code == "" {
		return fmt.Sprintf("the instance responded with status %d: %s", e.status, bytes.TrimSpace(e.body))
	}
	lines := []string{fmt.Sprintf("refused (%s): %s", details.Code, details.Message)}
	for _, f := range details.Findings {
		lines = append(lines, f.Path+": "+f.Problem)
	}
	if details.Result != nil {
		for _, v := range details.Result.Lost {
			lines = append(lines, v.Path+": "+v.describeCurrentValue())
		}
	}
	if details.ID != "" {
		lines = append(lines, "The identity is "+details.ID+"; give it with -id when you retry.")
	}
	return strings.Join(lines, "\n")
}

// call sends a request with body as JSON, if not nil, and decodes the JSON response
// into out, if not nil. It returns a responseError if the status is not 2xx.
func (c client) call(ctx context.Context, method, path string, body, out any) error {
	secret, err := c.secret()
	if err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(*c.addr); err != nil {
		return usagef("the address is %q; allowed: IP:port", *c.addr)
	}
	scheme, httpClient, err := c.httpClient()
	if err != nil {
		return err
	}
	data, err := send(ctx, httpClient, method, scheme+"://"+*c.addr+path, secret, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrap(err, "the instance's response could not be decoded")
	}
	return nil
}

// httpClient returns the URL scheme and the HTTP client for the address: https if
// certificate authorities are given, else http.
func (c client) httpClient() (string, *http.Client, error) {
	if *c.caFile == "" {
		return "http", http.DefaultClient, nil
	}
	source, err := tlsconf.New(tlsconf.Files{CA: *c.caFile}, func(error) {})
	if err != nil {
		return "", nil, err
	}
	return "https", &http.Client{Transport: &http.Transport{DialTLSContext: source.Dial}}, nil
}

// send sends a request within callTimeout and returns the body of a 2xx response,
// up to maxResponseBytes.
func send(ctx context.Context, httpClient *http.Client, method, url, secret string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode the request")
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "no response from the instance; it may have executed the request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "the instance's response ended early")
	}
	if resp.StatusCode/100 != 2 {
		return nil, responseError{status: resp.StatusCode, body: data}
	}
	return data, nil
}

// print prints rows as JSON if -json is set. Otherwise it prints a table with a
// tab-separated header; table calls add once for each row.
func (c client) print(rows any, header string, table func(add func(cells ...any))) error {
	if *c.jsonOutput {
		enc := json.NewEncoder(c.std.out)
		enc.SetIndent("", "  ")
		return enc.Encode(rows)
	}
	w := tabwriter.NewWriter(c.std.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	table(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

// hasErrorCode reports whether err is a responseError with this code.
func hasErrorCode(err error, code string) bool {
	var r responseError
	return errors.As(err, &r) && r.details().Code == code
}
