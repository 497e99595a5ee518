// Package sockopt provides socket options and checks that package net lacks.
package sockopt

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a Control function for net.Dialer or net.ListenConfig that
// sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes are not
// acknowledged within d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, d) }
}

// SetUserTimeout sets TCP_USER_TIMEOUT of an open connection.
func SetUserTimeout(c syscall.Conn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// CanReuse reports whether an idle connection can be reused: it is open and has no
// bytes to read. It does not block, and leaves bytes and a pending error of the connection
// to its reader: the kernel reports a reset once only, and whatever asks for it, a peek
// included, makes the next read return a regular end.
func CanReuse(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0)
		for err == unix.EINTR { // also without a wait, if a signal is pending
			n, err = unix.Poll(events, 0)
		}
		idle = err == nil && n == 0
	})
	return err == nil && idle
}

// HasUnread reports whether a connection has bytes to read. It does not block, and leaves
// bytes and a pending error to the reader, as CanReuse does.
func HasUnread(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var countErr error
	err = raw.Control(func(fd uintptr) { n, countErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && countErr == nil && n > 0
}

// Sending reports whether a connection has bytes that its peer has not acknowledged,
// because it reads slowly or they are on their way. It returns false if the peer does not
// answer at all.
func Sending(c syscall.Conn) bool {
	info, err := tcpInfo(c)
	return err == nil && sending(info)
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(c syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, infoErr)
}

// ClosedByPeer reports whether the peer has closed its side of a connection, or all of it,
// and has not reset it since. A pending error of the connection is left to its reader.
func ClosedByPeer(c syscall.Conn) bool {
	info, err := tcpInfo(c)
	return err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
}

// sending implements Sending. A peer whose window is shut acknowledges what is sent again.
func sending(i *unix.TCPInfo) bool {
	pending := i.Unacked > 0 || i.Notsent_bytes > 0
	answers := i.Retransmits == 0 || i.Last_ack_recv <= i.Last_data_sent
	return pending && answers
}
