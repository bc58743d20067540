// Package tlslistener provides a listener for TLS connections beside the plain one: its settings, the reload of its
// certificates, the handshake and the close. The protocol on top is the same as on the plain listener and is not known here.
package tlslistener

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
	"syscall"
	"time"

	"laddertide/internal/netfault"
	"laddertide/operator"
)

// Settings are those of the section "tls" of the operators' file.
type Settings struct {
	Port                int
	Cert, Key, ClientCA string // paths of PEM files
	MinVersion          uint16 // tls.VersionTLS12 or tls.VersionTLS13
	ClientAuth          tls.ClientAuthType
	Reload              time.Duration // interval at which the files are read again
}

// ConnBytes is about the memory that a TLS connection takes in addition to a plain one: a record of 16 KiB as received and
// as decrypted, and the state of both directions. Descriptors is the number of file descriptors of the listener itself.
const (
	ConnBytes   = 48 << 10
	Descriptors = 1
)

// The values of min_version and client_cert.
var (
	minVersions     = map[string]uint16{"1.2": tls.VersionTLS12, "1.3": tls.VersionTLS13}
	clientAuthTypes = map[string]tls.ClientAuthType{
		"none":     tls.NoClientCert,
		"optional": tls.VerifyClientCertIfGiven,
		"required": tls.RequireAndVerifyClientCert,
	}
)

// Parse reads the section of the operators' file and the files that it names. Its error names the setting that is wrong.
func Parse(s *operator.Section) (Settings, error) {
	var set Settings
	version := "1.2"
	clientAuth := "none"
	reloadSeconds := 60
	s.Require("listen_port", "cert_file", "key_file", "client_ca_file")
	s.Int("listen_port", &set.Port, 1, 65535)
	s.Text("cert_file", &set.Cert)
	s.Text("key_file", &set.Key)
	s.Text("client_ca_file", &set.ClientCA)
	s.OneOf("min_version", &version, "1.2", "1.3")
	s.OneOf("client_cert", &clientAuth, "none", "optional", "required")
	s.Int("reload_s", &reloadSeconds, 1, 86400)
	set.MinVersion = minVersions[version]
	set.ClientAuth = clientAuthTypes[clientAuth]
	set.Reload = time.Duration(reloadSeconds) * time.Second
	if err := s.Done(); err != nil {
		return set, err
	}
	if _, key, err := set.load(); err != nil {
		s.Fail(key, "%v", err)
	}
	return set, s.Done()
}

// files holds the contents of the certificate, its key and the client CA, in this order.
type files [3][]byte

// load reads the files and returns the TLS configuration made from them, or an error and the key of the setting at fault.
func (set *Settings) load() (*tls.Config, string, error) {
	contents, key, err := set.read()
	if err != nil {
		return nil, key, err
	}
	return set.config(contents)
}

// read returns the contents of the files, or an error and the key of the setting at fault.
func (set *Settings) read() (contents files, key string, err error) {
	paths := [3]string{set.Cert, set.Key, set.ClientCA}
	for i, key := range [3]string{"cert_file", "key_file", "client_ca_file"} {
		if contents[i], err = os.ReadFile(paths[i]); err != nil {
			return contents, key, err
		}
	}
	return contents, "", nil
}

// config returns the TLS configuration made from the contents of the files, or an error and the key of the setting at fault.
func (set *Settings) config(contents files) (*tls.Config, string, error) {
	// It also fails if the certificate and the key do not match, as when only one file of a new pair is in place.
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, "cert_file", fmt.Errorf("%s and %s: %w", set.Cert, set.Key, err)
	}
	clientCAs := x509.NewCertPool()
	if !clientCAs.AppendCertsFromPEM(contents[2]) {
		return nil, "client_ca_file", errors.New(set.ClientCA + " holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   set.MinVersion,
		ClientAuth:   set.ClientAuth,
		ClientCAs:    clientCAs,
		NextProtos:   []string{"http/1.1"},
		// Each configuration makes its own session ticket keys, which are not passed on to the next one: a resumed
		// session does not present its certificate again, and would pass although the client CA has been replaced.
	}, "", nil
}

// Listener accepts TLS connections, whose handshakes are left to the caller; see [Conn.Greet]. It implements net.Listener.
type Listener struct {
	net.Listener
	set    Settings
	log    *slog.Logger
	config atomic.Pointer[tls.Config] // in force for new connections

	// Used by Run alone once the listener is open.
	inForce   files  // contents that config was made from
	lastError string // of the latest files that could not be used, so that each error is logged once
}

// SyscallConn implements syscall.Conn.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return netfault.RawListener(l.Listener) }

// Listen opens the listener at the port of the settings, on the host of plainAddress, and reads its certificates. A
// certificate that is not yet valid or has expired is logged but used, so that the plain listener can serve.
func Listen(set Settings, plainAddress string, log *slog.Logger) (*Listener, error) {
	host, _, err := net.SplitHostPort(plainAddress)
	if err != nil {
		return nil, err
	}
	l := &Listener{set: set, log: log}
	if l.inForce, _, err = set.read(); err != nil {
		return nil, err
	}
	config, _, err := set.config(l.inForce)
	if err != nil {
		return nil, err
	}
	if err := checkDates(config, time.Now()); err != nil {
		l.log.Warn("clients will not take this certificate", "setting", "tls.cert_file", "err", err)
	}
	l.config.Store(config)
	l.Listener, err = netfault.Listen(net.JoinHostPort(host, strconv.Itoa(set.Port)))
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Run reloads the files at each interval of the settings until ctx ends.
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

// reload applies changed files to new connections, all three together. If one of them is not usable, the previous ones stay in
// force and the error is logged once.
func (l *Listener) reload() {
	contents, key, err := l.set.read()
	if err != nil {
		l.refuse(key, err)
		return
	}
	if contents.equal(&l.inForce) {
		l.lastError = ""
		return
	}
	config, key, err := l.set.config(contents)
	if err != nil {
		l.refuse(key, err)
		return
	}
	if err := checkDates(config, time.Now()); err != nil {
		l.refuse("cert_file", err)
		return
	}
	l.inForce = contents
	l.lastError = ""
	l.config.Store(config)
	leaf := config.Certificates[0].Leaf
	l.log.Info("certificate files reread", "subject", leaf.Subject.String(), "until", leaf.NotAfter)
}

// refuse logs why new files are not applied, unless this error was the last one logged.
func (l *Listener) refuse(key string, err error) {
	if l.lastError == err.Error() {
		return
	}
	l.lastError = err.Error()
	l.log.Error("new certificate files are no use: the old ones stay in use", "setting", "tls."+key, "err", err)
}

// checkDates returns an error if the certificate of config is not yet valid at now, or no longer.
func checkDates(config *tls.Config, now time.Time) error {
	leaf := config.Certificates[0].Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("the certificate holds from %v to %v", leaf.NotBefore, leaf.NotAfter)
	}
	return nil
}

// equal reports whether both hold the same contents.
func (f *files) equal(other *files) bool {
	for i := range f {
		if !bytes.Equal(f[i], other[i]) {
			return false
		}
	}
	return true
}

// Accept returns the next connection as a *Conn. It does not wait for the handshake: one that stalls must not delay others.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{tls.Server(&writeDeadlineConn{Conn: nc}, l.config.Load()), nc}, nil
}

// writeTimeout is the deadline of a write for which the user of the connection has set none that lies ahead.
const writeTimeout = 5 * time.Second

// writeDeadlineConn makes sure that each write has a deadline in the future. Reads from a TLS connection write as well, to
// answer a key update, and such a write must not fail because of the expired deadline of an earlier response: a failed
// write breaks the connection.
type writeDeadlineConn struct {
	net.Conn
	deadline atomic.Int64 // nanoseconds after epoch, as the user of the connection set it
}

// epoch is the origin of deadlines. It has a monotonic reading, because the system's clock may be stepped between setting a deadline
// and using it.
var epoch = time.Now()

func (c *writeDeadlineConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(int64(t.Sub(epoch)))
	return c.Conn.SetWriteDeadline(t)
}

func (c *writeDeadlineConn) SetDeadline(t time.Time) error {
	c.deadline.Store(int64(t.Sub(epoch)))
	return c.Conn.SetDeadline(t)
}

func (c *writeDeadlineConn) Write(b []byte) (int, error) {
	if now := time.Now(); c.deadline.Load() < int64(now.Sub(epoch)) {
		c.Conn.SetWriteDeadline(now.Add(writeTimeout))
	}
	return c.Conn.Write(b)
}

// Conn is a TLS connection of a Listener.
type Conn struct {
	*tls.Conn
	tcp net.Conn
}

// Greet performs the handshake within the connection's deadlines. It returns the subject of the client's certificate, or an
// empty string if the client sent none.
func (c *Conn) Greet() (subject string, err error) {
	if err := c.Handshake(); err != nil {
		return "", err
	}
	if certs := c.ConnectionState().PeerCertificates; len(certs) > 0 {
		subject = certs[0].Subject.String()
	}
	return subject, nil
}

// Plain returns the underlying TCP connection, for its orderly close after a failed handshake.
func (c *Conn) Plain() net.Conn { return c.tcp }

// NetConn returns the same connection, so that its socket can be inspected: the one that crypto/tls returns is wrapped.
func (c *Conn) NetConn() net.Conn { return c.tcp }

// CloseWrite sends the close_notify alert and then shuts down the writing side of the TCP connection.
func (c *Conn) CloseWrite() error {
	err := c.Conn.CloseWrite()
	if half, ok := c.tcp.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	return err
}

// alertTimeout bounds the write of the close_notify alert in Close; crypto/tls alone would allow 5 s for it.
const alertTimeout = 20 * time.Millisecond

// Close closes the connection, with a close_notify alert if it can be sent within alertTimeout.
func (c *Conn) Close() error {
	timer := time.AfterFunc(alertTimeout, func() { c.tcp.Close() })
	defer timer.Stop()
	return c.Conn.Close()
}
