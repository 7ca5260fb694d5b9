"""A small target that follows PROTOCOL.md; a case gives what is special about it."""

import contextlib
import socketserver
import threading
import time

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Request:
    """One request as the target read it."""

    def __init__(self, method, path, headers, body):
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.id = headers.get("tanagerreach-request-id", "")


class _Connection(socketserver.StreamRequestHandler):
    def handle(self):
        with contextlib.suppress(OSError, ValueError):
            while self._handle_one():
                pass

    def _handle_one(self):
        target = self.server.target
        line = self.rfile.readline()
        if not line.strip():
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := self.rfile.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = self.rfile.read(int(headers.get("content-length", 0)))
        if headers.get("transfer-encoding") == "chunked":
            body = self._chunks()
        request = Request(method, path, headers, body)
        expected = headers.get("tanagerreach-expect-instance")
        if expected not in (None, target.name):
            self.answer(request, 421, b"", seal=False, extra={"Tanagerreach-Not-Executed": "1"})
            return True
        target.arrived(request)
        return target.serve(request, self) is not False

    def _chunks(self):
        body = b""
        while size := int(self.rfile.readline(), 16):
            body += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return body

    def answer(self, request, status, body, *, seal=True, extra=None, sent_bytes=None):
        """Answer a request; ``sent_bytes`` of the body are sent, by default all."""
        head = [f"HTTP/1.1 {status} Status", f"Tanagerreach-Request-Id: {request.id}"]
        if seal:
            head.append(f"Tanagerreach-Response-Seal: {SEAL}")
        head += [f"{name}: {value}" for name, value in (extra or {}).items()]
        head.append(f"Content-Length: {len(body)}")
        self.wfile.write("\r\n".join(head).encode() + b"\r\n\r\n" + body[:sent_bytes])


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128


class Target:
    """A target that registers in the store and beats every 1.5 s."""

    def __init__(self, name, fleet, service="s1", zone="zone-0", slots=4, work_s=0.05):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.work_s = work_s
        self.fleet, self.record = fleet, fleet.record
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.warm_at_s = 0.0
        self.arrivals = []
        self.runs = []
        self.lock = threading.Lock()
        self._ended = threading.Event()
        self._server = None
        fleet.targets.append(self)

    def start(self, port=0):
        self._server = _Server(("127.0.0.1", port), _Connection)
        self._server.target = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()
        self.beat()
        threading.Thread(target=self._beat_on, daemon=True).start()
        return self

    def _beat_on(self):
        while not self._ended.wait(1.5):
            self.beat()

    def beat(self):
        """Write the entry; returns the time of the store's answer."""
        with self.lock:
            self.seq += 1
            left_ms = max(0, int(1000 * (self.warm_at_s - time.monotonic())))
            info = {"service": self.service, "zone": self.zone, "slots": self.slots}
            entry = {
                "address": self.address,
                "born": self.born,
                "info": {**info, "version": "v1"},
                "status": {"state": self.state, "seq": self.seq, "warmupLeftMs": left_ms},
            }
            self.fleet.store.state.put_json(f"servers/{self.name}", entry)
            return time.monotonic()

    def arrived(self, request):
        self.arrivals.append((time.monotonic(), request.id))

    def serve(self, request, connection):
        """Run a request and answer it."""
        self.run(request)
        time.sleep(self.work_s)
        connection.answer(request, 200, f"ran {request.path}".encode())

    def run(self, request):
        self.runs.append((time.monotonic(), request))
        self.record.line(f"{self.name} runs {request.id} {request.method} {request.path}")

    def has_run(self, request_id):
        return sum(request.id == request_id for _, request in self.runs)

    def close(self):
        """End, with all that it listens on."""
        self._ended.set()
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None
