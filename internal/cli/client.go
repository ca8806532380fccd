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
	tokenVariable   = envPrefix + "_TOKEN"
	keyVariable     = envPrefix + "_KEY"
	callTimeout     = 30 * time.Second
	maxAnswerBytes  = 64 << 20
	operatorsNotice = "the operators' address of any instance (instance.operators in its settings)"
)

// client calls the operators' or the callers' interface of an instance.
type client struct {
	o          output
	addr, file *string
	json       *bool
	// ca names the authorities' file; empty for an interface without TLS.
	ca *string
	// variable is where the secret stands if no file is named.
	variable string
}

// operatorFlags adds the flags that every command for operators has.
func operatorFlags(o output, fs *flag.FlagSet) client {
	return client{
		o: o, variable: tokenVariable,
		addr: fs.String("addr", "127.0.0.1:8081", "`IP:port`, "+operatorsNotice),
		ca:   fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		file: fs.String("token-file", "", "`file` with the operator token; else the token is taken from "+tokenVariable),
		json: fs.Bool("json", false, "print JSON for programs"),
	}
}

// callerFlags adds the flags that every command for callers has.
func callerFlags(o output, fs *flag.FlagSet) client {
	return client{
		o: o, variable: keyVariable,
		addr: fs.String("addr", "127.0.0.1:8080", "`IP:port`, the callers' address of any instance"),
		ca:   fs.String("ca", "", "PEM `file` of the authorities that sign the instances' certificates, for an address with TLS"),
		file: fs.String("key-file", "", "`file` with the API key; else the key is taken from "+keyVariable),
		json: fs.Bool("json", false, "print JSON for programs"),
	}
}

func (c client) secret() (string, error) {
	if *c.file != "" {
		return readSecret(*c.file)
	}
	if secret := strings.TrimSpace(os.Getenv(c.variable)); secret != "" {
		return secret, nil
	}
	return "", usagef("a credential is missing: name its file by flag, or set %s", c.variable)
}

// refusal is an answer that is not 2xx.
type refusal struct {
	status int
	body   []byte
}

// problem is the part of a refusal that is told to people.
type problem struct {
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

func (r refusal) problem() problem {
	var body struct {
		Error problem `json:"error"`
	}
	_ = json.Unmarshal(r.body, &body)
	return body.Error
}

// Error tells everything that the instance said, findings one a line.
func (r refusal) Error() string {
	p := r.problem()
	if p.Code == "" {
		return fmt.Sprintf("the instance answered %d: %s", r.status, bytes.TrimSpace(r.body))
	}
	lines := []string{fmt.Sprintf("refused (%s): %s", p.Code, p.Message)}
	for _, f := range p.Findings {
		lines = append(lines, f.Path+": "+f.Problem)
	}
	if p.Result != nil {
		for _, v := range p.Result.Lost {
			lines = append(lines, v.Path+": "+v.standing())
		}
	}
	if p.ID != "" {
		lines = append(lines, "The identity is "+p.ID+"; give it with -id when you retry.")
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
	scheme, httpClient, err := c.link()
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

// link returns the scheme and the HTTP client for the address.
func (c client) link() (string, *http.Client, error) {
	if *c.ca == "" {
		return "http", http.DefaultClient, nil
	}
	source, err := tlsconf.New(tlsconf.Files{CA: *c.ca}, func(error) {})
	if err != nil {
		return "", nil, err
	}
	return "https", &http.Client{Transport: &http.Transport{DialTLSContext: source.Dial}}, nil
}

func send(ctx context.Context, httpClient *http.Client, method, url, secret string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var text io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode the request")
		}
		text = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, text)
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "the instance did not answer; it may have done what it was asked to")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, eris.Wrap(err, "the instance's answer was cut off")
	}
	if resp.StatusCode/100 != 2 {
		return nil, refusal{status: resp.StatusCode, body: data}
	}
	return data, nil
}

// show prints rows as JSON, or as a table for people.
func (c client) show(rows any, header string, table func(add func(cells ...any))) error {
	if *c.json {
		enc := json.NewEncoder(c.o.out)
		enc.SetIndent("", "  ")
		return enc.Encode(rows)
	}
	w := tabwriter.NewWriter(c.o.out, 0, 4, 2, ' ', 0)
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

// isRefused says whether err is a refusal with that code.
func isRefused(err error, code string) bool {
	var r refusal
	return errors.As(err, &r) && r.problem().Code == code
}
