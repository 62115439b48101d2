"""Loopback ports for processes that are about to start, held until they are released."""

import random
import socket

RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range"
LOWEST = 10000  # above the ports of usual services


class Ports:
    """Chooses free ports and holds them.

    A port that is only chosen can be taken by another user before the process that was told
    of it listens there, and while that process is down between two starts: it ends with
    `bind: Address already in use`. So a TCP socket that never listens stays bound to each
    port. It was bound alone, which fails where anyone else is, and the option that is set
    afterwards lets in a server that sets it too, as all of ours do; whoever looks for a free
    port finds this one taken. The socket guards the number for datagrams as well: all of our
    users choose here, and the numbers lie below the range from which the system takes ports.
    """

    def __init__(self):
        with open(RANGE_FILE, encoding="ascii") as limits:
            self.top = max(int(limits.read().split()[0]), LOWEST + 2000)
        self.held = []

    def port(self):
        while True:
            number = random.SystemRandom().randrange(LOWEST, self.top)
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", number))
                with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                    datagrams.bind(("127.0.0.1", number))
            except OSError:
                holder.close()
                continue
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.held.append(holder)
            return number

    def address(self):
        return f"127.0.0.1:{self.port()}"

    def release(self):
        for holder in self.held:
            holder.close()
        self.held.clear()
