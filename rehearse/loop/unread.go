package loop

import (
	"encoding/binary"
	"net"

	"golang.org/x/sys/unix"
)

// Layout of the messages of NETLINK_SOCK_DIAG, as sock_diag(7) has it: inet_diag_req_v2 and inet_diag_msg behind their headers.
const (
	diagHeader   = unix.SizeofNlMsghdr
	diagRequest  = diagHeader + 56
	diagSourceAt = 8  // of the request's and the reply's body: the ports, then the addresses
	diagQueueAt  = 56 // of the reply's body: bytes in the receive queue
	diagByFamily = 20 // SOCK_DIAG_BY_FAMILY
	replyMost    = 4096
)

// Unread returns how many bytes have arrived at the other end of a connection within this machine that its program has not read. known is
// false if the system does not tell, or that end is closed. It asks for this one socket: the table of all is long after a soak.
func Unread(c net.Conn) (bytes int, known bool) {
	far, ok1 := c.RemoteAddr().(*net.TCPAddr)
	near, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok1 || !ok2 || far.IP.To4() == nil || near.IP.To4() == nil {
		return 0, false
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, false
	}
	defer unix.Close(fd)
	if unix.Sendto(fd, diagQuestion(far, near), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}) != nil {
		return 0, false
	}
	reply := make([]byte, replyMost)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil || n < diagHeader+diagQueueAt+4 || binary.NativeEndian.Uint16(reply[4:]) != diagByFamily {
		return 0, false
	}
	return int(binary.NativeEndian.Uint32(reply[diagHeader+diagQueueAt:])), true
}

// diagQuestion asks for the socket whose own address is at, and whose other end is at to.
func diagQuestion(at, to *net.TCPAddr) []byte {
	b := make([]byte, diagRequest)
	binary.NativeEndian.PutUint32(b, diagRequest)
	binary.NativeEndian.PutUint16(b[4:], diagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST)
	body := b[diagHeader:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], ^uint32(0)) // in any state
	id := body[diagSourceAt:]
	binary.BigEndian.PutUint16(id, uint16(at.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(to.Port))
	copy(id[4:], at.IP.To4())
	copy(id[20:], to.IP.To4())
	binary.NativeEndian.PutUint64(id[40:], ^uint64(0)) // whatever its cookie
	return b
}
