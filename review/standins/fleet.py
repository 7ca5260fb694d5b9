"""Small fleet for the review's scripts: store, targets, instances and clients on loopback.

The store is the project's own stand-in (platform/tests/platform_store.py). The instances are the
program of deploy/system.toml, each a process of its own, on the real clock.
"""

import contextlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

from platform_store import PlatformStoreStandin  # noqa: E402

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
KEY = "nn2ctnfzs989anu6wsjn"
HOST = "hulo84.example"
ZONES = ("bg-central-a", "bg-central-b", "bg-central-c")
HEARTBEAT_S = 1.5
# The bounds of kranfind-sofia (SYSTEM.md).
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
START_LIMIT_S = 25.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def __call__(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began_s:8.3f} s  {text}\n")
            self._file.flush()


class _TargetHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log_message(self, *arguments):
        pass

    def do_GET(self):  # noqa: N802 (name given by http.server)
        self.serve()

    def do_POST(self):  # noqa: N802 (name given by http.server)
        self.serve()

    def read_body(self):
        if (self.headers.get("Transfer-Encoding") or "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = []
        while size := int(self.rfile.readline(), 16):
            parts.append(self.rfile.read(size))
            self.rfile.readline()
        self.rfile.readline()
        return b"".join(parts)

    def serve(self):
        target = self.server.target
        request_id = self.headers.get("Tanagerreach-Request-Id")
        expected = self.headers.get("Tanagerreach-Expect-Instance")
        sender = self.client_address[0]
        arrived_s = time.monotonic()
        body = self.read_body()
        if self.path == "/health":
            self.answer(503 if target.state != "ready" else 200, b"", {})
            return
        if expected not in (None, target.name):
            target.record(f"{target.name} answers 421 to {request_id}")
            self.answer(421, b"", {"Tanagerreach-Not-Executed": "1"})
            return
        deadline_s = arrived_s + int(self.headers.get("Tanagerreach-Deadline-Ms") or 0) / 1000
        if not target.free_slots.acquire(timeout=max(0.0, deadline_s - arrived_s)):
            target.record(f"{target.name} rejects {request_id}")
            self.answer(503, b"", {"Tanagerreach-Not-Executed": "1"})
            return
        try:
            run = {
                "id": request_id,
                "target": target.name,
                "service": target.service,
                "method": self.command,
                "path": self.path,
                "body": body,
                "tenant": self.headers.get("Tanagerreach-Tenant"),
                "sender": sender,
                "arrived_s": arrived_s,
            }
            target.runs.append(run)
            target.record(
                f"{target.name} ({target.service}) runs {self.command} {self.path} {request_id}"
                f" from {sender}, {len(body)} bytes"
            )
            time.sleep(target.work_s(self.path))
        finally:
            target.free_slots.release()
        headers = {
            "Tanagerreach-Request-Id": request_id,
            "Tanagerreach-Response-Seal": f"seal-of-{target.name}",
        }
        if target.parts:
            self.answer_in_chunks(headers)
            return
        text = json.dumps({"service": target.service, "id": request_id}).encode()
        self.answer(200, text, headers)

    def answer_in_chunks(self, headers):
        """Answer in chunks; a faulty target stops in some of its answers and stays connected."""
        target = self.server.target
        self.send_response_only(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        hangs = bool(target.hangs) and target.hangs[len(target.runs) % len(target.hangs)]
        with contextlib.suppress(OSError):
            for part in target.parts:
                self.wfile.write(b"%x\r\n%s\r\n" % (len(part), part))
                if hangs:
                    target.record(f"{target.name} stops in an answer")
                    # Ends when the caller closes the connection.
                    self.connection.recv(1)
                    self.close_connection = True
                    return
            self.wfile.write(b"0\r\n\r\n")

    def answer(self, status, body, headers):
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Tanagerreach-Instance-Id", self.server.target.name)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with contextlib.suppress(OSError):
            self.wfile.write(body)


class _TargetServer(ThreadingHTTPServer):
    request_queue_size = 128
    daemon_threads = True

    def handle_error(self, request, client_address):
        """Pass over connections that the caller broke off."""


class Target:
    """A target with slots, which registers in the store and writes its heartbeats there."""

    def __init__(self, *, name, service, zone, store, record, slots=4, work_s=lambda path: 0.05):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.record = record
        self.runs = []
        self.state = "ready"
        # Parts of each answer, which is then sent in chunks.
        self.parts = []
        # Which of a faulty target's answers, in turn, stop after the first part.
        self.hangs = ()
        self.acked_leaving_s = None
        self.free_slots = threading.Semaphore(slots)
        self._store = store
        self._sequence = 0
        self._lock = threading.Lock()
        self._born_ms = int(1000 * time.time())
        self._over = threading.Event()
        self._server = _TargetServer(("127.0.0.1", 0), _TargetHandler)
        self._server.target = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        self._write()
        threading.Thread(target=self._beat, daemon=True).start()

    def _write(self):
        with self._lock:
            self._sequence += 1
            self._store.state.put_json(
                f"servers/{self.name}",
                {
                    "address": self.address,
                    "info": {
                        "service": self.service,
                        "version": "v1",
                        "zone": self.zone,
                        "slots": self.slots,
                    },
                    "status": {"state": self.state, "seq": self._sequence, "warmupLeftMs": 0},
                    "born": self._born_ms,
                },
            )

    def _beat(self):
        while not self._over.wait(HEARTBEAT_S):
            self._write()

    def drain(self):
        """Report draining; the target goes on serving."""
        self.state = "draining"
        self._write()
        self.acked_leaving_s = time.monotonic()
        self.record(f"the store has acknowledged that {self.name} is draining")

    def close(self):
        self._over.set()
        self._server.shutdown()
        self._server.server_close()


class Instance:
    """One machine that runs the program of the deploy file."""

    def __init__(self, *, number, folder, network, ports, store_address, record):
        self.name = f"front-{number}"
        self.host = f"127.0.{network}.{number + 1}"
        self.front_port, self.ready_port, first, last = ports
        self.record = record
        self.log_path = Path(folder) / f"{self.name}.log"
        self.process = None
        zone = ZONES[number % len(ZONES)]
        self._settings = Path(folder) / f"{self.name}.conf"
        fields = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": self.host,
            "zone": zone,
            "region": "bg-central",
            **{f"zones.{name}": "bg-central" for name in ZONES},
            "listen.front": f"{self.host}:{self.front_port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internalPortRange": f"{first},{last}",
            "seeds": "",
            "bootstrap": "true",
            "limits.cpuShare": "0.86",
            "limits.cores": "1",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": "1500",
            "contracts": (
                "base,drain,config,cost,retry,recover,health,tenants,quota,places,platform"
            ),
            "faultTolerance.machines": "1",
            "faultTolerance.zones": "1",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "6",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "56",
            "bounds.quotaWindowS": "5",
            "bounds.quotaOverage": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.floorShare": "0.7",
            "platform.address": store_address,
            "platform.form": "kv",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
        }
        lines = [f"{name}={value}" for name, value in fields.items()]
        self._settings.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TANAGERREACH_SETTINGS"] = str(self._settings)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "tanagerreach_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record(f"{self.name} ({self.host}) is started")

    def end(self, signal_number=signal.SIGKILL):
        """Send a signal and wait for the end of the process."""
        if self.process is not None and self.process.poll() is None:
            self.record(f"{self.name} gets {signal.Signals(signal_number).name}")
            self.process.send_signal(signal_number)
            try:
                self.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait(5)

    def is_ready(self):
        try:
            with contextlib.closing(
                http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
            ) as connection:
                connection.request("GET", "/ready")
                return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, limit_s=START_LIMIT_S):
        ends_s = time.monotonic() + limit_s
        while not self.is_ready():
            if self.process.poll() is not None:
                raise NotRunError(f"{self.name} ended while it started")
            if time.monotonic() > ends_s:
                raise NotRunError(f"{self.name} is not ready in time")
            time.sleep(0.02)
        self.record(f"{self.name} is ready")

    def log_lines(self):
        found = []
        for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class Reply:
    """What a client saw of one request."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.body = b""
        self.headers = {}
        self.sent_s = 0.0
        self.answered_s = 0.0


class Fleet:
    """Store, targets and instances of one case; a context manager that ends all of them."""

    def __init__(self, *, folder, instance_count, configuration):
        self.record = Record(Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self._ids = itertools.count(1)
        self._id_lock = threading.Lock()
        self.store = PlatformStoreStandin()
        # An instance that ends leaves calls that wait; their broken connections are no news.
        self.store._server.handle_error = lambda request, client_address: None
        self.store.state.put_json("op/config", configuration)
        self.targets = []
        network, ports = _free_ports(instance_count)
        self.instances = [
            Instance(
                number=number,
                folder=self._temporary.name,
                network=network,
                ports=ports,
                store_address=self.store.address,
                record=self.record,
            )
            for number in range(instance_count)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        for instance in self.instances:
            instance.end(signal.SIGKILL)
        for target in self.targets:
            target.close()
        self.store.close()
        self._temporary.cleanup()

    def add_target(self, name, service, **options):
        target = Target(
            name=name,
            service=service,
            zone=ZONES[len(self.targets) % len(ZONES)],
            store=self.store,
            record=self.record,
            **options,
        )
        self.targets.append(target)
        return target

    def start(self):
        for instance in self.instances:
            instance.start()
        for instance in self.instances:
            instance.wait_ready()
        # Traffic starts 10 s after the machines do (SYSTEM.md).
        time.sleep(10.0)

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    def send(
        self, instance, path, *, method="GET", body=None, deadline_ms=5000, key=KEY, connection=None
    ):
        """Send one request and wait for its answer."""
        with self._id_lock:
            reply = Reply(f"r{next(self._ids):05d}")
        headers = {
            "Host": HOST,
            "Tanagerreach-Request-Id": reply.request_id,
            "Tanagerreach-Deadline-Ms": str(deadline_ms),
            "Tanagerreach-Key": key,
        }
        own = connection is None
        if own:
            connection = http.client.HTTPConnection(
                instance.host, instance.front_port, timeout=deadline_ms / 1000 + 0.5
            )
        reply.sent_s = time.monotonic()
        self.record(f"client sends {method} {path} {reply.request_id} to {instance.name}")
        try:
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
            reply.body = response.read()
            reply.status = response.status
            reply.headers = dict(response.getheaders())
        except (OSError, http.client.HTTPException) as error:
            reply.body = type(error).__name__.encode()
        finally:
            if own:
                connection.close()
        reply.answered_s = time.monotonic()
        self.record(
            f"client gets {reply.status or 'no answer'} for {reply.request_id}:"
            f" {reply.body[:120].decode('latin-1')}"
        )
        return reply

    def send_later(self, replies, *arguments, **options):
        """Send one request in a thread of its own; its reply is appended to a list."""
        thread = threading.Thread(
            target=lambda: replies.append(self.send(*arguments, **options)), daemon=True
        )
        thread.start()
        return thread

    def homes(self):
        """Return the name of the instance that placed each service's requests last."""
        found = {}
        for instance in self.instances:
            for line in instance.log_lines():
                if line.get("message", line.get("event")) == "service homed here" or (
                    "service homed here" in line.values()
                ):
                    found[line["service"]] = instance.name
        return found


def _free_ports(instance_count):
    """Return a number for 127.0.N.x and ports that are free on all the instances' addresses."""
    for _ in range(200):
        network = random.randrange(100, 250)
        base = random.randrange(20000, 28000, 20)
        ports = (base, base + 1, base + 4, base + 12)
        try:
            for number in range(instance_count):
                for port in range(base, base + 13):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(type=kind) as probe:
                            probe.bind((f"127.0.{network}.{number + 1}", port))
        except OSError:
            continue
        return network, ports
    raise NotRunError("no free ports")


def route(*, prefix, kind, service, timeout_ms, objective_ms, priority=1, max_attempts=2):
    """Return a route as the operator writes it."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "sloLatencyMs": objective_ms,
        "priority": priority,
        "maxAttempts": max_attempts,
        "authExempt": False,
    }


def configuration(*, routes, services, tenants=None, version=7):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {
                "healthPath": "/health",
                "maxConns": 330,
                "protocol": "h1",
                "tls": False,
                "warmupS": 3.0,
                "warmupPerS": 7.4,
            }
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants or {"cuka620": {"apiKeys": [KEY], "ratePerS": 0, "burst": 0}},
    }


def main(case):
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        is_broken = case()
    except NotRunError as error:
        print(f"not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(EXIT_BROKEN if is_broken else EXIT_HELD)
