"""A server that sends bytes without end that are no answer.

`python -m standins.endless PORT KIND` prints a line `open` or `closed` for each
connection that begins or ends.
"""

import os
import re
import socketserver
import sys

CHUNK_BYTES = 64 * 1024

_HEAD = b"HTTP/1.1 200 OK\r\nSamphirevale-Response-Seal: s\r\n"
_ATTEMPT = b"Samphirevale-Attempt-Id: %s\r\n"
_STREAM = _HEAD + _ATTEMPT + b"Content-Type: text/event-stream\r\n\r\n"

# What each kind sends first, with a place for the id of the caller's attempt,
# and what it repeats.
KINDS = {
    "garbage": (b"%.0s", b"x" * CHUNK_BYTES),
    "empty lines": (b"%.0s", b"\r\n" * (CHUNK_BYTES // 2)),
    "head": (b"HTTP/1.1 200 OK\r\n%.0s", b"X-Filler: x\r\n" * 4096),
    "interim answers": (b"%.0s", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "body": (_HEAD + _ATTEMPT + b"\r\n", b"x" * CHUNK_BYTES),
    "chunk size": (
        _HEAD + _ATTEMPT + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0" * CHUNK_BYTES,
    ),
    "event": (_STREAM, b"x" * CHUNK_BYTES),
    "events": (_STREAM, b"data: x\n\n" * 4096),
    "event number": (_STREAM, b"id: " + b"9" * 5000 + b"\n\n"),
}


def _write_line(text: str) -> None:
    """Writes a line at once, which lines of other threads do not break."""
    os.write(sys.stdout.fileno(), f"{text}\n".encode())


class Handler(socketserver.BaseRequestHandler):
    """Sends one kind until the caller closes the connection."""

    kind = ""

    def handle(self) -> None:
        """Handles one connection."""
        _write_line("open")
        first, rest = KINDS[self.kind]
        try:
            request = self.request.recv(CHUNK_BYTES)
            found = re.search(
                rb"samphirevale-attempt-id: *(\S+)", request, re.IGNORECASE
            )
            self.request.sendall(first % (found.group(1) if found else b""))
            while True:
                self.request.sendall(rest)
        except OSError:
            _write_line("closed")


class Server(socketserver.ThreadingTCPServer):
    """Serves each connection in a thread."""

    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 64


def main() -> None:
    """Serves until the process is killed."""
    Handler.kind = sys.argv[2]
    with Server(("127.0.0.1", int(sys.argv[1])), Handler) as server:
        server.serve_forever()


if __name__ == "__main__":
    main()
