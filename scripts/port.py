"""Allocates TCP ports for test processes. Concurrent test runs share one counter in the temporary folder, so that a
port that one run found free isn't given to another run before its process listens."""
import fcntl
import os
import socket
import sys
import tempfile

# Below the ephemeral ports of the kernel: otherwise an outgoing connection could occupy a port before its process
# listens, and one that is retried could connect to itself.
FIRST_PORT, LAST_PORT = 15000, 31999


def is_free(port):
    """Returns whether PORT can be bound on all IP addresses of this machine."""
    with socket.socket() as s:
        try:
            s.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


def allocate(count=1):
    """Returns the first of COUNT ports in a row that are free now. They are allocated again only after all other ports
    of the range."""
    counter_path = os.path.join(tempfile.gettempdir(), "jaycove-port.%d" % os.getuid())
    with open(counter_path, "a+") as counter:
        fcntl.flock(counter, fcntl.LOCK_EX)
        counter.seek(0)
        port = int(counter.read() or FIRST_PORT)
        while True:
            port = port + 1 if FIRST_PORT <= port <= LAST_PORT - count else FIRST_PORT
            if all(is_free(port + i) for i in range(count)):
                break
        counter.truncate(0)
        counter.write(str(port + count - 1))
        return port


if __name__ == "__main__":
    print(allocate(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
