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

// client calls the operators' or the callers' interface of an instance.
type client struct {
	std              stdio
	addr, secretFile *string
	jsonOutput       *bool
	// caFile names the authorities' file; empty for an interface without TLS.
	caFile *string
	// secretEnvVar is where the secret stands if no file is named.
	secretEnvVar string
}

// newOperatorClient adds the flags that every command for operators has.
func newOperatorClient(std stdio, fs *flag.FlagSet) client {
	return client{
		std: std, secretEnvVar: tokenEnvVar,
		addr:       fs.String("addr", "127.0.0.1:8081", "`IP:port`, "+operatorsAddressHelp),
		caFile:     fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		secretFile: fs.String("token-file", "", "`file` with the operator token; else the token is taken from "+tokenEnvVar),
		jsonOutput: fs.Bool("json", false, "print JSON for programs"),
	}
}

// newCallerClient adds the flags that every command for callers has.
func newCallerClient(std stdio, fs *flag.FlagSet) client {
	return client{
		std: std, secretEnvVar: keyEnvVar,
		addr:       fs.String("addr", "127.0.0.1:8080", "`IP:port`, the callers' address of any instance"),
		caFile:     fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		secretFile: fs.String("key-file", "", "`file` with the API key; else the key is taken from "+keyEnvVar),
		jsonOutput: fs.Bool("json", false, "print JSON for programs"),
	}
}

func (c client) secret() (string, error) {
	if *c.secretFile != "" {
		return readSecret(*c.secretFile)
	}
	if secret := strings.TrimSpace(os.Getenv(c.secretEnvVar)); secret != "" {
		return secret, nil
	}
	return "", usagef("a credential is missing: name its file by flag, or set %s", c.secretEnvVar)
}

// responseError is an answer that is not 2xx.
type responseError struct {
	status int
	body   []byte
}

// errorDetails is the part of a refusal that is told to people.
type errorDetails struct {
	Code     string    `json:"code"`
	Message  string    `json:"message"`
	ID       string    `json:"id"`
	Findings []finding `json:"findings"`
	Result   *struct {
		Lost []valueRow `json:"lost"`
	} `json:"result"`
}

type finding struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
}

func (e responseError) details() errorDetails {
	var body struct {
		Error errorDetails `json:"error"`
	}
	_ = json.Unmarshal(e.body, &body)
	return body.Error
}

// Error tells everything that the instance said, findings one a line.
func (e responseError) Error() string {
	details := e.details()
	if details.Code == "" {
		return fmt.Sprintf("the instance answered %d: %s", e.status, bytes.TrimSpace(e.body))
	}
	lines := []string{fmt.Sprintf("refused (%s): %s", details.Code, details.Message)}
	for _, f := range details.Findings {
		lines = append(lines, f.Path+": "+f.Problem)
	}
	if details.Result != nil {
		for _, v := range details.Result.Lost {
			lines = append(lines, v.Path+": "+v.describeCurrent())
		}
	}
	if details.ID != "" {
		lines = append(lines, "The identity is "+details.ID+"; give it with -id when you retry.")
	}
	return strings.Join(lines, "\n")
}

// call sends body as JSON and decodes the answer into out, if not nil.
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
		return eris.Wrap(err, "the instance's answer could not be read")
	}
	return nil
}

// httpClient returns the scheme and the HTTP client for the address.
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
		return nil, eris.Wrap(err, "the instance did not answer; it may have done what it was asked to")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "the instance's answer was cut off")
	}
	if resp.StatusCode/100 != 2 {
		return nil, responseError{status: resp.StatusCode, body: data}
	}
	return data, nil
}

// print prints rows as JSON, or as a table for people.
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

// hasErrorCode says whether err is a refusal with that code.
func hasErrorCode(err error, code string) bool {
	var r responseError
	return errors.As(err, &r) && r.details().Code == code
}
