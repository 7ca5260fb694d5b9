"""Starts gateways as the deploy file does, with a store, targets and clients beside them.

All addresses are loopback addresses. The store is the project's own stand-in; targets and clients
are small ones of this folder, written to PROTOCOL.md.
"""

import bisect
import contextlib
import http.client
import itertools
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "tests"))

from platform_store import PlatformStoreStandin, StoreHandler  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "shop.example"
KEY = "nn2ctnfzs989anu6wsjn"
OTHER_KEY = "banfqasnmgkcuyj8pjbv"
START_LIMIT_S = 25.0
PAGE_ITEMS = 500
# At least 20 s of history at the rate of some hundred targets.
HISTORY_MAX = 8000


def route(service, kind, prefix, **changes):
    return {
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 5000,
        "sloLatencyMs": 1000,
        "maxAttempts": 2,
        "priority": 1,
        **changes,
    }


def configuration(version=1, **changes):
    value = {
        "version": version,
        "routes": {
            "safe": route("s1", "safe", "/safe/"),
            "unsafe": route("s1", "unsafe", "/unsafe/"),
        },
        "services": {"s1": {"warmupS": 3.0, "warmupPerS": 10.0}},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": {"cuka620": {"apiKeys": [KEY], "ratePerS": 50, "burst": 50}},
    }
    value.update(changes)
    return value


class _ManyItemsHandler(StoreHandler):
    """The project's store, with pages and a history for hundreds of targets."""

    def range(self):
        state = self.server.state
        prefix, after = self.fields["pathPrefix"], self.fields.get("after", "")
        with state.changed:
            keys = sorted(key for key in state.items if key.startswith(prefix) and key > after)
            page = [state.items[key] for key in keys[:PAGE_ITEMS]]
            has_more = len(keys) > PAGE_ITEMS
            return 200, {"items": page, "hasMore": has_more, "currentRev": state.revision}

    def watch(self):
        state = self.server.state
        prefix, after = self.fields["pathPrefix"], int(self.fields["after"])
        ends_s = time.monotonic() + int(self.fields["waitMs"]) / 1000
        era = state.era
        with state.changed:
            while True:
                if len(state.history) > HISTORY_MAX:
                    state.oldest_revision = state.history[HISTORY_MAX // 2 - 1]["revision"]
                    del state.history[: HISTORY_MAX // 2]
                if not state.oldest_revision <= after <= state.revision or state.era != era:
                    return 410, {}
                start = bisect.bisect_right(
                    state.history, after, key=lambda entry: entry["revision"]
                )
                events = [
                    entry for entry in state.history[start:] if entry["key"].startswith(prefix)
                ]
                left_s = ends_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": state.revision}
                state.changed.wait(left_s)


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def line(self, text):
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
            self._file.flush()


class Gateway:
    """One process, started with the command of the deploy file."""

    def __init__(self, number, folder, base_port, store_address, seeds, settings):
        self.name = f"front-{number}"
        self.host = f"127.0.91.{number + 1}"
        self.port, self.ready_port = base_port + 10, base_port + 11
        self.log_path = Path(folder) / f"{self.name}.log"
        self.settings_path = Path(folder) / f"{self.name}.conf"
        fields = {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": "front",
            "ip": self.host,
            "zone": f"zone-{number % 3}",
            "region": "region-1",
            "listen.front": f"{self.host}:{self.port}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internalPortRange": f"{base_port},{base_port + 9}",
            "seeds": ",".join(seeds),
            "bootstrap": "true",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "heartbeatMs": "1500",
            "platform.address": store_address,
            "platform.form": "kv",
            "bounds.contactMs": "3000",
            "bounds.drainMs": "2000",
            "bounds.graceS": "6",
            "bounds.configApplyMs": "2000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "56",
            "bounds.probesPerS": "3",
            "bounds.floorShare": "0.7",
            **settings,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings_path.write_text(text, encoding="utf-8")
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TANAGERREACH_SETTINGS"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "tanagerreach_platform"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        if self.is_running:
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


class Fleet:
    """A store and some gateways; a context manager that ends what it started.

    :param settings: further fields of the settings files.
    """

    def __init__(self, record, count=2, settings=None, config=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = PlatformStoreStandin()
        # A watch that its reader ended is no failure of the store.
        self.store._server.handle_error = lambda *_: None
        self.store._server.RequestHandlerClass = _ManyItemsHandler
        self.targets = []
        self.store.state.put_json("op/config", config or configuration())
        base = _free_base_port(count)
        seeds = [f"127.0.91.{number + 1}:{base + 9}" for number in range(min(3, count))]
        self.gateways = [
            Gateway(number, self.folder, base, self.store.address, seeds, settings or {})
            for number in range(count)
        ]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            gateway.kill()
        for target in self.targets:
            target.close()
        self.store.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            wait_ready(gateway)
        # Peers hear each other, and homes end their probation.
        time.sleep(3.5)
        self.record.line(f"{len(self.gateways)} gateways are ready")

    def configure(self, config):
        """Write a configuration as the operator; returns the time of the store's answer."""
        self.store.state.put_json("op/config", config)
        self.record.line(f"operator: version {config['version']} is acknowledged")
        return time.monotonic()


def wait_ready(gateway, limit_s=START_LIMIT_S):
    ends_s = time.monotonic() + limit_s
    while not gateway.is_ready():
        if not gateway.is_running:
            raise CannotRunError(f"{gateway.name} ended: {gateway.log_path.read_text()[-500:]}")
        if time.monotonic() > ends_s:
            raise CannotRunError(f"{gateway.name} is not ready after {limit_s} s")
        time.sleep(0.05)


def _free_base_port(count):
    for _ in range(100):
        base = random.randrange(30000, 39000, 20)
        try:
            for number, offset, kind in itertools.product(
                range(count), range(12), (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ):
                with socket.socket(type=kind) as probe:
                    probe.bind((f"127.0.91.{number + 1}", base + offset))
        except OSError:
            continue
        return base
    raise CannotRunError("no free ports")


_ids = itertools.count(1)


class Answer:
    """Answer to one request; ``status`` is ``None`` when the connection closed without one."""

    def __init__(self, request_id, status=None, headers=None, body=b"", error=""):
        self.request_id, self.status = request_id, status
        self.headers, self.body, self.error = headers or {}, body, error

    def __str__(self):
        return f"{self.request_id}: {self.status or self.error}"


def send(
    gateway, path, method="GET", body=None, *, key=KEY, headers=None, deadline_ms=5000, record=None
):
    """Send one request on a new connection."""
    request_id = f"r{next(_ids)}"
    sent = {
        "Host": HOST,
        "Tanagerreach-Request-Id": request_id,
        "Tanagerreach-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if key is not None:
        sent["Tanagerreach-Key"] = key
    connection = http.client.HTTPConnection(
        gateway.host, gateway.port, timeout=deadline_ms / 1000 + 1
    )
    if record is not None:
        record.line(f"client: {request_id} {method} {path} to {gateway.name}")
    try:
        with contextlib.closing(connection):
            connection.request(method, path, body=body, headers=sent)
            response = connection.getresponse()
            data = response.read()
            answer = Answer(request_id, response.status, dict(response.getheaders()), data)
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(request_id, error=f"{type(error).__name__}: {error}")
    if record is not None:
        record.line(f"answer: {answer}")
    return answer


def run(main, folder):
    """Run a case, and exit with its verdict."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        verdict = main(record, trouble)
    except CannotRunError as error:
        record.line(f"cannot run: {error}")
        verdict = NOT_RUN
    record.line(f"exit {verdict}")
    print(f"exit {verdict}; see record.txt")
    sys.exit(verdict)
