// Package tlsport is a second listener on which connections are encrypted. What comes over them is handled as on the
// plain port; only the handshake, the certificates and how such a connection ends are known here.
package tlsport

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"laddertide/operator"
)

// Settings are the operator's.
type Settings struct {
	Port                int
	Cert, Key, ClientCA string // paths
	MinVersion          uint16
	ClientAuth          tls.ClientAuthType
	Reload              time.Duration
}

// ConnBytes is about what an encrypted connection holds beside a plain one: a record of 16 KiB as it comes and as
// it is read, and the state of both directions. Descriptors is what the port itself holds.
const (
	ConnBytes   = 48 << 10
	Descriptors = 1
)

// Parse reads the section of the operator's file, and the files that it names.
func Parse(s *operator.Section) (Settings, error) {
	var set Settings
	version, client, reload := "1.2", "none", 60
	s.Need("listen_port", "cert_file", "key_file", "client_ca_file")
	s.Whole("listen_port", &set.Port, 1, 65535)
	s.Text("cert_file", &set.Cert)
	s.Text("key_file", &set.Key)
	s.Text("client_ca_file", &set.ClientCA)
	s.Word("min_version", &version, "1.2", "1.3")
	s.Word("client_cert", &client, "none", "optional", "required")
	s.Whole("reload_s", &reload, 1, 86400)
	set.MinVersion = map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13}[version]
	set.ClientAuth = map[string]tls.ClientAuthType{"none": tls.NoClientCert, "optional": tls.VerifyClientCertIfGiven,
		"required": tls.RequireAndVerifyClientCert}[client]
	set.Reload = time.Duration(reload) * time.Second
	if err := s.Done(); err != nil {
		return set, err
	}
	if _, key, err := set.load(); err != nil {
		s.Fail(key, "%v", err)
	}
	return set, s.Done()
}

// files are the contents of a pair and its client CA.
type files [3][]byte

// load reads the files and makes a configuration of them. An error comes with the setting that it concerns.
func (set *Settings) load() (*tls.Config, string, error) {
	got, key, err := set.read()
	if err != nil {
		return nil, key, err
	}
	return set.config(got)
}

func (set *Settings) read() (got files, key string, err error) {
	paths := [3]string{set.Cert, set.Key, set.ClientCA}
	for i, key := range [3]string{"cert_file", "key_file", "client_ca_file"} {
		if got[i], err = os.ReadFile(paths[i]); err != nil {
			return got, key, err
		}
	}
	return got, "", nil
}

// config makes a configuration of what the files hold.
func (set *Settings) config(got files) (*tls.Config, string, error) {
	// This also fails where the certificate and the key do not belong together: half of a new pair is none.
	pair, err := tls.X509KeyPair(got[0], got[1])
	if err != nil {
		return nil, "cert_file", fmt.Errorf("%s and %s: %w", set.Cert, set.Key, err)
	}
	cas := x509.NewCertPool()
	if !cas.AppendCertsFromPEM(got[2]) {
		return nil, "client_ca_file", errors.New(set.ClientCA + " holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   set.MinVersion,
		ClientAuth:   set.ClientAuth,
		ClientCAs:    cas,
		NextProtos:   []string{"http/1.1"},
		// Each configuration makes its own keys for session tickets. They are never handed on to the next one: a
		// resumed session does not show its certificate again, and would get past a client CA that is another by then.
	}, "", nil
}

// Listener hands on connections that are still to make their handshakes.
type Listener struct {
	net.Listener
	set    Settings
	log    *slog.Logger
	config atomic.Pointer[tls.Config]
	last   files  // those in use
	warned string // what the log last told of files that are no use
}

// Listen opens the port on the host of a plain address.
func Listen(set Settings, plain string, log *slog.Logger) (*Listener, error) {
	host, _, err := net.SplitHostPort(plain)
	if err != nil {
		return nil, err
	}
	l := &Listener{set: set, log: log}
	if l.last, _, err = set.read(); err != nil {
		return nil, err
	}
	config, _, err := set.config(l.last)
	if err != nil {
		return nil, err
	}
	if err := valid(config, time.Now()); err != nil {
		// The plain port must serve all the same.
		l.log.Warn("clients will not take this certificate", "setting", "tls.cert_file", "err", err)
	}
	l.config.Store(config)
	l.Listener, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(set.Port)))
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Run reads the files again and again until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	timer := time.NewTimer(l.set.Reload)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			l.reload()
			timer.Reset(l.set.Reload)
		}
	}
}

// reload takes new files into use for new connections, all three or none.
func (l *Listener) reload() {
	got, key, err := l.set.read()
	var config *tls.Config
	if err == nil {
		if got.equal(&l.last) {
			l.warned = ""
			return
		}
		config, key, err = l.set.config(got)
	}
	if err == nil {
		key, err = "cert_file", valid(config, time.Now())
	}
	if err != nil {
		if l.warned != err.Error() { // told once, not at every turn
			l.warned = err.Error()
			l.log.Error("new certificate files are no use: the old ones stay in use", "setting", "tls."+key, "err", err)
		}
		return
	}
	l.last, l.warned = got, ""
	l.config.Store(config)
	leaf := config.Certificates[0].Leaf
	l.log.Info("certificate files reread", "subject", leaf.Subject.String(), "until", leaf.NotAfter)
}

// valid reports if a certificate is of no use by its dates.
func valid(config *tls.Config, now time.Time) error {
	leaf := config.Certificates[0].Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("the certificate holds from %v to %v", leaf.NotBefore, leaf.NotAfter)
	}
	return nil
}

func (f *files) equal(other *files) bool {
	for i := range f {
		if !bytes.Equal(f[i], other[i]) {
			return false
		}
	}
	return true
}

// Accept returns a *Conn. It does not wait for the handshake: one that stalls must keep nobody else waiting.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{tls.Server(&patient{Conn: nc}, l.config.Load()), nc}, nil
}

// patient gives each write a deadline that lies ahead. Reads of an encrypted connection write as well, to answer
// a change of keys, and a write that is late by the deadline of an answer long gone would break the connection.
type patient struct {
	net.Conn
	until atomic.Int64 // Unix time in ns, as the user of the connection set it
}

const writeLimit = 5 * time.Second

func (p *patient) SetWriteDeadline(t time.Time) error {
	p.until.Store(t.UnixNano())
	return p.Conn.SetWriteDeadline(t)
}

func (p *patient) SetDeadline(t time.Time) error {
	p.until.Store(t.UnixNano())
	return p.Conn.SetDeadline(t)
}

func (p *patient) Write(b []byte) (int, error) {
	if now := time.Now(); p.until.Load() < now.UnixNano() {
		p.Conn.SetWriteDeadline(now.Add(writeLimit))
	}
	return p.Conn.Write(b)
}

// Conn is an encrypted connection.
type Conn struct {
	*tls.Conn
	tcp net.Conn
}

// Greet makes the handshake, within the connection's deadlines. It returns the subject of the client's certificate,
// if there is one.
func (c *Conn) Greet() (subject string, err error) {
	if err := c.Handshake(); err != nil {
		return "", err
	}
	if certs := c.ConnectionState().PeerCertificates; len(certs) > 0 {
		subject = certs[0].Subject.String()
	}
	return subject, nil
}

// Plain returns the connection under the encryption, for what remains to be done after a failed handshake.
func (c *Conn) Plain() net.Conn { return c.tcp }

// CloseWrite ends this side's half: the alert that says so, and then, as on a plain connection, TCP's own end.
func (c *Conn) CloseWrite() error {
	err := c.Conn.CloseWrite()
	if half, ok := c.tcp.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	return err
}

// closeLimit is for the alert that ends a connection: by itself the library would give it 5 s.
const closeLimit = 20 * time.Millisecond

// Close ends the connection, with an alert if the peer takes it at once.
func (c *Conn) Close() error {
	timer := time.AfterFunc(closeLimit, func() { c.tcp.Close() })
	defer timer.Stop()
	return c.Conn.Close()
}
