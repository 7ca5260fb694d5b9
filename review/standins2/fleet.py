"""Starts the gateways of the deploy file beside stand-ins of the store and of targets."""

import contextlib
import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import ThreadingHTTPServer
from pathlib import Path

import platform_store
from platform_target import PlatformTargetStandin

ROOT = Path(__file__).resolve().parents[2]
# Pages of the store have at most about 500 items.
platform_store.PAGE_SIZE = 500
HOST = "shop.example"
HEARTBEAT_S = 1.5
START_LIMIT_S = 25.0
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY_S = 0.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in the order in which it was recorded."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def add(self, *words):
        line = f"{time.monotonic() - self.start_s:9.3f} " + " ".join(str(word) for word in words)
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)


class StoreHandler(platform_store.StoreHandler):
    """Handler that can cut single machines off, known by the process at the other end."""

    @property
    def is_cut(self):
        cut = self.server.cut_pids
        if not cut:
            return False
        return self.find_pid() in cut

    def find_pid(self):
        if getattr(self, "pid", None) is None:
            own_port = self.server.server_address[1]
            self.pid = owner_pid(self.client_address[1], own_port, self.server.fleet_pids())
        return self.pid

    def hold_cut(self):
        """Neither take nor answer anything while the machine is cut off."""
        while self.is_cut:
            time.sleep(0.02)
        self.close_connection = True

    def respond(self, calls):
        self.is_lost = False
        if self.is_cut:
            self.hold_cut()
            return
        super().respond(calls)

    def watch(self):
        watches = self.server.watches
        entry = (self.fields["pathPrefix"], self.find_pid())
        watches.append(entry)
        try:
            return super().watch()
        finally:
            watches.remove(entry)

    def send(self, status, body):
        if self.is_cut:
            self.hold_cut()
            return
        with contextlib.suppress(OSError):
            super().send(status, body)


class Store:
    """The platform's store on a loopback address."""

    def __init__(self, fleet_pids):
        self.state = platform_store.StoreState()
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), StoreHandler)
        self._server.daemon_threads = True
        self._server.state = self.state
        self._server.cut_pids = set()
        self._server.watches = []
        self._server.fleet_pids = fleet_pids
        self._server.handle_error = lambda *_: None
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def cut(self, pids):
        self._server.cut_pids = set(pids)

    def watchers(self, prefix):
        """Return the processes that wait for changes below a prefix."""
        return {pid for found, pid in list(self._server.watches) if found == prefix}

    def put_config(self, value):
        """Write a configuration as the operator; the return is the ack."""
        self.state.put_json("op/config", value)
        return time.monotonic()


class Target(PlatformTargetStandin):
    """A target that checks in at intervals."""

    def __init__(self, name, service, data_centre, store, **options):
        self._ended = threading.Event()
        super().__init__(name, service, data_centre, store, **options)
        self.started_ms = int(time.time() * 1000)
        self.register()
        threading.Thread(target=self._check_in, daemon=True).start()

    def _check_in(self):
        while not self._ended.wait(HEARTBEAT_S):
            self.register(self.state)

    def end(self):
        self._ended.set()


def owner_pid(port, peer_port, pids):
    """Return which of some processes has a connection between two ports, ``None`` if none has."""
    inode = None
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(text.rpartition(":")[2], 16) for text in fields[1:3]]
        if ports == [port, peer_port]:
            inode = fields[9]
            break
    for pid in pids:
        with contextlib.suppress(OSError):
            for entry in Path(f"/proc/{pid}/fd").iterdir():
                with contextlib.suppress(OSError):
                    if os.readlink(entry) == f"socket:[{inode}]":
                        return pid
    return None


class Gateway:
    """One machine of the fleet with its process."""

    def __init__(self, number, fleet, data_centre, lines):
        self.number = number
        self.name = f"front-{number}"
        self.host = host_of(number)
        self.port = fleet.base_port + 10
        self.ready_port = fleet.base_port + 11
        self.process = None
        self.log_path = fleet.folder / f"{self.name}.log"
        self._settings = fleet.folder / f"{self.name}.conf"
        fields = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": self.host,
            "zone": data_centre,
            "region": "region-1",
            "listen.front": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internalPortRange": f"{fleet.base_port},{fleet.base_port + 9}",
            "seeds": "",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "heartbeatMs": "1500",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "6",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "56",
            "bounds.quotaWindowS": "5",
            "bounds.quotaOverage": "0.1",
            "bounds.quotaSlack": "20",
            "bounds.floorShare": "0.7",
            "platform.address": fleet.store.address,
            "platform.form": "kv",
            **lines,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text, encoding="utf-8")

    @property
    def pid(self):
        return self.process.pid

    def start(self):
        """Run the command of the deploy file."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "tanagerreach_platform"],
                cwd=ROOT,
                env={
                    **kept,
                    "TANAGERREACH_SETTINGS": str(self._settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
            with contextlib.closing(connection):
                connection.request("GET", "/ready")
                return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def log_lines(self):
        lines = self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Fleet:
    """A store, targets and gateways; ends all that it started."""

    def __init__(self, record, configuration, zones, lines=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp())
        self.gateways = []
        self.targets = []
        self.store = Store(lambda: [entry.pid for entry in self.gateways if entry.process])
        self.store.put_config(configuration)
        self._request_ids = itertools.count(1)
        self.base_port = free_base_port(len(zones))
        for number, zone in enumerate(zones):
            self.gateways.append(Gateway(number, self, zone, lines or {}))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for entry in self.gateways:
            entry.end()
        for target in self.targets:
            target.end()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add_target(self, name, service, zone, **options):
        target = Target(name, service, zone, self.store, **options)
        self.targets.append(target)
        return target

    def start(self):
        for entry in self.gateways:
            entry.start()
        self.wait_until(lambda: all(entry.is_ready() for entry in self.gateways), "all ready")

    def wait_until(self, condition, what, limit_s=START_LIMIT_S):
        ends_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends_s:
                raise NotRunError(f"not in time: {what}")
            time.sleep(0.05)

    def next_id(self):
        return f"r{next(self._request_ids):06d}"

    def runs(self):
        return [run for target in self.targets for run in list(target.runs)]

    def send(self, gateway, path, key, *, method="GET", body=None, deadline_ms=3000, headers=None):
        """Send one request on a new connection.

        :returns: identifier, time of sending, status (0 without an answer), headers and body.
        """
        request_id = self.next_id()
        fields = {
            "Host": HOST,
            "Tanagerreach-Request-Id": request_id,
            "Tanagerreach-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        if key is not None:
            fields["Tanagerreach-Key"] = key
        sent_s = time.monotonic()
        status, found, data = 0, {}, b""
        try:
            connection = http.client.HTTPConnection(
                gateway.host, gateway.port, timeout=deadline_ms / 1000 + 0.5
            )
            with contextlib.closing(connection):
                connection.request(method, path, body=body, headers=fields)
                response = connection.getresponse()
                status, found, data = response.status, dict(response.getheaders()), response.read()
        except (OSError, http.client.HTTPException):
            pass
        self.record.add(
            request_id,
            "sent",
            f"{sent_s - self.record.start_s:.3f}",
            "to",
            gateway.name,
            method,
            path,
            f"key={key}",
            "answered",
            status,
        )
        return request_id, sent_s, status, found, data


def configuration(version, *, routes, services, tenants, limits=None):
    """Build the operator's document."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **(limits or {}),
        },
        "tenants": tenants,
    }


def route(service, kind, prefix, **changes):
    """Build a route."""
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 1500,
        "sloLatencyMs": 500,
        "maxAttempts": 2,
        "priority": 1,
        **changes,
    }


def host_of(number):
    return f"127.0.83.{number + 1}"


def free_base_port(count):
    """Choose a range of ports that is free on the addresses of the gateways."""
    for _ in range(200):
        base = random.randrange(20000, 30000, 20)
        try:
            for number, offset, kind in itertools.product(
                range(count), range(12), (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ):
                with socket.socket(type=kind) as probe:
                    probe.bind((host_of(number), base + offset))
        except OSError:
            continue
        return base
    raise NotRunError("no free range of ports")


def run_case(folder, play):
    """Play a case and exit: 1 broken, 0 held, 2 not run."""
    record = Record(Path(folder) / "record.txt")
    record.say("TROUBLE", int(TROUBLE))
    try:
        breaks = play(record)
    except Exception as error:
        record.say("not run:", type(error).__name__, error)
        os._exit(EXIT_NOT_RUN)
    for line in breaks[:20]:
        record.say("BROKEN", line)
    record.say(f"{len(breaks)} breaks")
    os._exit(EXIT_BROKEN if breaks else EXIT_HELD)
