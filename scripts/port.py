"""Ports for processes of tests. Runs that go on beside each other take theirs from one counter, so that a port which was
found free is not found by another run before its process listens."""
import fcntl
import os
import socket
import tempfile

# Below those that the kernel gives to outgoing connections: none of them takes
# a port before its process listens, and none that is retried connects to itself.
FIRST, LAST = 15000, 31999


def is_free(port):
    """Tells whether nothing listens at PORT at any IP number of this machine."""
    with socket.socket() as s:
        try:
            s.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


def take():
    """Returns a port that is free now and comes last to be taken again."""
    name = os.path.join(tempfile.gettempdir(), "jaycove-port.%d" % os.getuid())
    with open(name, "a+") as counter:
        fcntl.flock(counter, fcntl.LOCK_EX)
        counter.seek(0)
        port = int(counter.read() or FIRST)
        while True:
            port = port + 1 if FIRST <= port < LAST else FIRST
            if is_free(port):
                break
        counter.truncate(0)
        counter.write(str(port))
        return port


if __name__ == "__main__":
    print(take())
