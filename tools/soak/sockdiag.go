package main

import (
	"encoding/binary"
	"errors"
	"net"
	"syscall"
)

// Parts of the kernel's socket diagnosis protocol, see sock_diag(7).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagRequestLen   = 56
	diagInodeOffset  = syscall.NLMSG_HDRLEN + 68
)

// peerInode returns the inode of the socket at the other end of a connection on loopback.
func peerInode(c net.Conn) (uint32, error) {
	local, ok1 := c.RemoteAddr().(*net.TCPAddr) // As the other end sees it.
	remote, ok2 := c.LocalAddr().(*net.TCPAddr)
	if !ok1 || !ok2 {
		return 0, errors.New("not a TCP connection")
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	msg := make([]byte, syscall.NLMSG_HDRLEN+diagRequestLen)
	order := binary.NativeEndian
	order.PutUint32(msg, uint32(len(msg)))
	order.PutUint16(msg[4:], sockDiagByFamily)
	order.PutUint16(msg[6:], syscall.NLM_F_REQUEST)
	req := msg[syscall.NLMSG_HDRLEN:]
	req[0], req[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	order.PutUint32(req[4:], ^uint32(0)) // All states.
	binary.BigEndian.PutUint16(req[8:], uint16(local.Port))
	binary.BigEndian.PutUint16(req[10:], uint16(remote.Port))
	copy(req[12:], local.IP.To4())
	copy(req[28:], remote.IP.To4())
	order.PutUint64(req[48:], ^uint64(0)) // Any cookie.
	if err := syscall.Sendto(fd, msg, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	reply := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(fd, reply, 0)
	if err != nil || n < diagInodeOffset+4 || order.Uint16(reply[4:]) != sockDiagByFamily {
		return 0, errors.Join(err, errors.New("no such connection"))
	}
	return order.Uint32(reply[diagInodeOffset:]), nil
}
