"""A crowd of callers that nobody controls, as a process of its own.

``crowd.py HOST PORT COUNT`` reads the bytes that each caller sends from its standard
input, opens the connections, sends the bytes once on each, prints ``sent`` and how many
there are, and keeps the connections open until its input line ``end`` or a signal.
"""

import contextlib
import socket
import sys
import time

CONNECT_TIMEOUT_S = 5.0


def main():
    host, port, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
    data = sys.stdin.buffer.read()
    callers, refused = [], 0
    for _ in range(count):
        caller = socket.socket()
        caller.settimeout(CONNECT_TIMEOUT_S)
        try:
            caller.connect((host, port))
            caller.sendall(data)
        except OSError:
            refused += 1
            with contextlib.suppress(OSError):
                caller.close()
            continue
        caller.setblocking(False)
        callers.append(caller)
    print(f"sent {len(callers)} refused {refused}", flush=True)
    # The callers never read; the process is ended by the one that started it.
    time.sleep(300)


main()
