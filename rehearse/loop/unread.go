package loop

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// tcpTable is where the system lists the TCP sockets of this machine.
const tcpTable = "/proc/self/net/tcp"

// Unread returns how many bytes have arrived at the other end of a connection within this machine that its program has not read. known is
// false if the system does not tell, or that end is closed.
func Unread(c net.Conn) (bytes int, known bool) {
	far, ok1 := c.RemoteAddr().(*net.TCPAddr)
	near, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok1 || !ok2 {
		return 0, false
	}
	f, err := os.Open(tcpTable)
	if err != nil {
		return 0, false
	}
	defer f.Close()
	ends := tableAddress(far) + " " + tableAddress(near)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		// sl local remote state send-queue:receive-queue ...
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1]+" "+fields[2] != ends {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(queue, 16, 32)
		return int(n), err == nil
	}
	return 0, false
}

// tableAddress is an IPv4 address as the table has it: its bytes as the machine's number, and the port.
func tableAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip), a.Port)
}
