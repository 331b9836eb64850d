"""Sends the leave of a target and, once it is acknowledged, SIGKILL to the given processes.

A process of its own, so that nothing else delays the signals. Prints the time of the ack on the
monotonic clock and the status.
"""

import os
import signal
import socket
import sys
import time

ip, port, instance, born, *pids = sys.argv[1:]
body = b'{"born": %d}' % int(born)
head = (
    f"POST /buckthornstage/Instances.Deregister/{instance} HTTP/1.1\r\nHost: {ip}\r\n"
    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
)
with socket.create_connection((ip, int(port)), timeout=1) as connection:
    connection.sendall(head.encode() + body)
    answer = connection.recv(4096)
    acked = time.monotonic()
    if answer.split()[1] == b"200":
        for pid in pids:
            os.kill(int(pid), signal.SIGKILL)
print(acked, answer.split()[1].decode())
