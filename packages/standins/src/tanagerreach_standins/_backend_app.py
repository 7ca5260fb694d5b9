"""WSGI application of the backend server stand-in."""

import hashlib
import os
import select
import time
from collections import deque
from collections.abc import Iterable, Iterator
from random import Random
from socket import MSG_PEEK, SHUT_RDWR
from typing import Any

import gevent
import msgspec
from gevent.lock import BoundedSemaphore
from gevent.socket import wait_read

from ._backend_ledger import Ledger, LedgerEntry
from ._backend_model import ColdStart, Mode, ServiceTimes
from ._backend_options import BackendOptions
from ._http import (
    SOCKET_KEY,
    ConnectionDroppedError,
    Environ,
    SocketHandler,
    StartResponse,
    read_body,
    respond_json,
    status_line,
)

READ_CHUNK_BYTES = 64 * 1024
CONTROL_BODY_BYTES = 64 * 1024
MAX_PADDING_BYTES = 16 * 1024 * 1024
CRASH_EXIT_STATUS = 70
SAMPLE_INTERVAL_S = 0.1
MAX_SAMPLES = 600
LATE_MARGIN_S = 0.05


class RequestStoppedError(Exception):
    """Processing of a request was stopped before its end.

    :param outcome: cancelled, deadline or crashed.
    """

    def __init__(self, outcome: str) -> None:
        super().__init__(outcome)
        self.outcome = outcome


class HealthSwitches(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Lag and false reports of the health and load endpoints.

    ``status``, ``warming`` and ``draining`` replace the actual values unless they are ``None``.
    """

    lag_s: float = 0.0
    status: str | None = None
    warming: bool | None = None
    draining: bool | None = None
    load_factor: float = 1.0


class ActiveRequest:
    """A request that holds a slot."""

    __slots__ = ("body_hash", "connection", "deadline_s", "entry", "environ", "has_marker", "mode")

    def __init__(self, *, environ: Environ, entry: LedgerEntry, mode: str) -> None:
        self.environ = environ
        self.entry = entry
        self.mode = mode
        self.connection = environ[SOCKET_KEY]
        self.body_hash = hashlib.sha256()
        self.has_marker = False
        self.deadline_s = request_deadline_s(environ)


class BackendHandler(SocketHandler):
    """Request handler that limits the open connections and delays each new one by its cost."""

    def handle(self) -> None:
        """Serve the requests of one connection."""
        application: BackendApplication = self.server.application
        options = application.options
        application.ledger.counts["connections"] += 1
        application.open_connections += 1
        try:
            if application.open_connections > options.max_connections:
                application.ledger.counts["connections_refused"] += 1
                self.socket.close()
                return
            gevent.sleep(options.connection_cost_ms / 1000)
            super().handle()
        finally:
            application.open_connections -= 1


def request_deadline_s(environ: Environ) -> float | None:
    """Return the request's deadline on the monotonic clock."""
    text = environ.get("HTTP_REQUEST_DEADLINE_MS", "")
    return time.monotonic() + int(text) / 1000 if text.isdecimal() else None


class BackendApplication:
    """WSGI application of the backend server."""

    def __init__(self, *, options: BackendOptions) -> None:
        self.options = options
        self.ledger = Ledger()
        self.mode = Mode()
        self.mode_set_at_s = time.monotonic()
        self.health = HealthSwitches()
        self.is_draining = False
        self._closes_connections = False
        self.in_flight = 0
        self.max_in_flight = 0
        self.open_connections = 0
        self.queued = 0
        random = Random(options.seed)
        self._random = random
        self._service_times = ServiceTimes(
            distribution=options.distribution,
            mean_s=options.service_time_ms / 1000,
            random=random,
        )
        self.cold_start = ColdStart(
            slots=options.slots,
            cold_start_s=options.cold_start_s,
            cold_concurrency=options.cold_concurrency,
            ramp=options.cold_ramp,
            clock=time.monotonic,
        )
        self._announces_cold = True
        self._slots = BoundedSemaphore(options.slots)
        self._active_requests: set[ActiveRequest] = set()
        self._previous_response: tuple[str, bytes] = ("another-request", b'{"token":"another"}')
        self._samples: deque[tuple[float, dict, dict]] = deque(maxlen=MAX_SAMPLES)
        self._controls = {
            "/control/mode": self._control_mode,
            "/control/health": self._control_health,
            "/control/draining": self._control_draining,
            "/control/ledger": self._control_ledger,
            "/control/counts": self._control_counts,
        }

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        path = environ["PATH_INFO"]
        if path in self._controls:
            return self._handle_control(environ, start_response)
        if path == "/healthz":
            return self._handle_health(start_response)
        if path == "/load":
            self.ledger.counts["load_reads"] += 1
            return respond_json(start_response, 200, self._reported_sample()[2])
        return self._handle_request(environ, start_response)

    def sample_forever(self) -> None:
        """Sample health and load periodically, so that their endpoints can report old values."""
        while True:
            self._samples.append((time.monotonic(), self._actual_health(), self._actual_load()))
            gevent.sleep(SAMPLE_INTERVAL_S)

    def drain(self, notice_s: float, limit_s: float) -> None:
        """Announce draining, then close connections after their responses and wait for requests.

        :param notice_s: time between the announcement and the first closed connection.
        :param limit_s: longest wait for the remaining requests.
        """
        self.is_draining = True
        gevent.sleep(notice_s)
        self._closes_connections = True
        ends_at_s = time.monotonic() + limit_s
        while (self.in_flight or self.queued) and time.monotonic() < ends_at_s:
            gevent.sleep(SAMPLE_INTERVAL_S)

    # Requests

    def _handle_request(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.ledger.counts["received"] += 1
        if "HTTP_AUTHORIZATION" in environ:
            self.ledger.counts["with_authorization"] += 1
        if self.in_flight + self.queued >= self.options.slots + self.options.queue:
            return self._shed(start_response)
        if not self._slots.acquire(blocking=False):
            if not self._wait_for_slot(environ):
                return self._shed(start_response)
            if is_closed_by_peer(environ[SOCKET_KEY]):
                self._slots.release()
                self.ledger.counts["cancelled_in_queue"] += 1
                raise ConnectionDroppedError
        return self._run_in_slot(environ, start_response)

    def _wait_for_slot(self, environ: Environ) -> bool:
        deadline_s = request_deadline_s(environ)
        timeout_s = None if deadline_s is None else max(0.0, deadline_s - time.monotonic())
        self.queued += 1
        try:
            return self._slots.acquire(timeout=timeout_s)
        finally:
            self.queued -= 1

    def _shed(self, start_response: StartResponse) -> list[bytes]:
        self.ledger.counts["shed"] += 1
        headers = [("Load-Shed", "not-started"), *self._common_headers()]
        return respond_json(start_response, 503, {"error": "over capacity"}, headers)

    def _run_in_slot(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        entry = self.ledger.start(environ, was_cold=self.cold_start.is_cold())
        request = ActiveRequest(environ=environ, entry=entry, mode=self._draw_mode())
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        self._active_requests.add(request)
        outcome = "failed"
        try:
            body, outcome = self._run(request, start_response)
        except RequestStoppedError as stopped:
            outcome = entry.outcome or stopped.outcome
            body = self._respond_stopped(outcome, start_response)
        except OSError as error:
            outcome = entry.outcome or "cancelled"
            raise ConnectionDroppedError from error
        finally:
            self._active_requests.discard(request)
            self.in_flight -= 1
            self._slots.release()
            self.ledger.end(entry, outcome)
        return body

    def _run(
        self, request: ActiveRequest, start_response: StartResponse
    ) -> tuple[Iterable[bytes], str]:
        if not self.cold_start.admit(self.in_flight):
            return self._respond_error(start_response, 500, "overloaded while cold"), "failed"
        self._read_upload(request)
        if self._is_crash_request(request):
            self._crash(request)
        if request.mode == "hanging":
            self._hang(request)
        if request.mode != "erring" or not self.mode.immediate:
            factor = self.mode.factor if request.mode == "slow" else 1.0
            self._spend_service_time(request, self._service_times.draw_s() * factor)
        if request.mode == "erring":
            return self._respond_error(start_response, self.mode.status, "erring"), "failed"
        if request.mode == "late":
            self._wait_past_deadline(request)
        return self._respond_complete(request, start_response), "finished"

    def _draw_mode(self) -> str:
        mode = self.mode.at(time.monotonic() - self.mode_set_at_s)
        affected = self.mode.ratio >= 1 or self._random.random() < self.mode.ratio
        return mode if affected else "ok"

    def _read_upload(self, request: ActiveRequest) -> None:
        source = request.environ["wsgi.input"]
        marker = self.mode.marker.encode() if request.mode == "crash_on" else b""
        tail = b""
        while chunk := source.read(READ_CHUNK_BYTES):
            request.body_hash.update(chunk)
            request.entry.body_size_bytes += len(chunk)
            if marker and marker in tail + chunk:
                request.has_marker = True
            tail = chunk[-len(marker) :] if marker else b""
            self._check_deadline(request)
        expected = request.environ.get("CONTENT_LENGTH") or "0"
        if request.entry.body_size_bytes < int(expected):
            raise RequestStoppedError("cancelled")

    def _is_crash_request(self, request: ActiveRequest) -> bool:
        is_marked = request.has_marker or "HTTP_CRASH_ME" in request.environ
        return request.mode == "crash_on" and is_marked

    def _crash(self, request: ActiveRequest) -> None:
        """Simulate a crash: break the connections of all active requests and restart cold.

        With ``crash_exit`` the process exits instead.
        """
        self.ledger.counts["crashes"] += 1
        if self.mode.crash_exit:
            os._exit(CRASH_EXIT_STATUS)
        for other in self._active_requests:
            other.entry.outcome = "crashed"
            other.connection.shutdown(SHUT_RDWR)
        self.cold_start.restart()
        self._announces_cold = True
        raise RequestStoppedError("crashed")

    def _hang(self, request: ActiveRequest) -> None:
        """Hold the slot without responding, whatever the deadline, until the caller disconnects."""
        self.ledger.counts["hung"] += 1
        self._connection_closes_before(request.connection, None)
        raise RequestStoppedError("cancelled")

    def _spend_service_time(self, request: ActiveRequest, duration_s: float) -> None:
        """Wait for the service time; stop when the caller disconnects or the deadline passes."""
        ends_at_s = time.monotonic() + duration_s
        until_s = ends_at_s if request.deadline_s is None else min(ends_at_s, request.deadline_s)
        if self._connection_closes_before(request.connection, until_s):
            raise RequestStoppedError("cancelled")
        if until_s != ends_at_s:
            raise RequestStoppedError("deadline")

    def _connection_closes_before(self, connection: Any, until_s: float | None) -> bool:
        timeout_s = None if until_s is None else until_s - time.monotonic()
        if timeout_s is not None and timeout_s <= 0:
            return False
        try:
            wait_read(connection.fileno(), timeout=timeout_s)
        except TimeoutError:
            return False
        if is_closed_by_peer(connection):
            return True
        # Pipelined data is waiting in the socket, so a close can't be detected before this request
        # has its response.
        gevent.sleep(None if until_s is None else max(0.0, until_s - time.monotonic()))
        return False

    def _check_deadline(self, request: ActiveRequest) -> None:
        if request.deadline_s is not None and time.monotonic() > request.deadline_s:
            raise RequestStoppedError("deadline")

    def _wait_past_deadline(self, request: ActiveRequest) -> None:
        delay_s = self.mode.delay_s
        if request.deadline_s is not None:
            delay_s += max(0.0, request.deadline_s - time.monotonic()) + LATE_MARGIN_S
        gevent.sleep(delay_s)

    # Responses

    def _common_headers(self) -> list[tuple[str, str]]:
        headers = [("Draining", "true")] if self.is_draining else []
        if self._closes_connections:
            headers.append(("Connection", "close"))
        return headers

    def _respond_error(self, start_response: StartResponse, code: int, error: str) -> list[bytes]:
        return respond_json(start_response, code, {"error": error}, self._common_headers())

    def _respond_stopped(self, outcome: str, start_response: StartResponse) -> list[bytes]:
        if outcome != "deadline":
            raise ConnectionDroppedError
        return self._respond_error(start_response, 504, "the deadline has passed")

    def _respond_complete(
        self, request: ActiveRequest, start_response: StartResponse
    ) -> Iterable[bytes]:
        request_id = request.entry.request_id
        body = self._response_body(request)
        previous = self._previous_response
        self._previous_response = (request_id, body)
        if request.mode == "crossed":
            request_id, body = previous
        start_response(
            status_line(200),
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("Request-Id", request_id),
                ("Body-Sha256", hashlib.sha256(body).hexdigest()),
                *self._common_headers(),
            ],
        )
        return send_half(body) if request.mode == "short_body" else [body]

    def _response_body(self, request: ActiveRequest) -> bytes:
        environ = request.environ
        return msgspec.json.encode(
            {
                "token": environ.get("HTTP_CALLER_TOKEN", ""),
                "backend": self.options.name,
                "service": self.options.service,
                "data_centre": self.options.data_centre,
                "method": request.entry.method,
                "path": request.entry.path,
                "body_sha256": request.body_hash.hexdigest(),
                "body_size_bytes": request.entry.body_size_bytes,
                "padding": "x" * padding_bytes(environ),
            }
        )

    # Health and load

    def _actual_health(self) -> dict[str, object]:
        return {
            "status": "ok",
            "warming": self._announces_cold and self.cold_start.is_cold(),
            "draining": self.is_draining,
        }

    def _actual_load(self) -> dict[str, object]:
        return {"in_flight": self.in_flight, "queued": self.queued, "slots": self.options.slots}

    def _reported_sample(self) -> tuple[float, dict, dict]:
        now_s = time.monotonic()
        sample = (now_s, self._actual_health(), self._actual_load())
        if self.health.lag_s > 0:
            older = [item for item in self._samples if item[0] <= now_s - self.health.lag_s]
            sample = older[-1] if older else self._samples[0]
        load = dict(sample[2])
        load["in_flight"] = round(load["in_flight"] * self.health.load_factor)
        return sample[0], sample[1], load

    def _handle_health(self, start_response: StartResponse) -> list[bytes]:
        self.ledger.counts["probes"] += 1
        gevent.sleep(self.options.probe_cost_ms / 1000)
        health = dict(self._reported_sample()[1])
        for field in ("status", "warming", "draining"):
            override = getattr(self.health, field)
            if override is not None:
                health[field] = override
        code = 200 if health["status"] == "ok" else 503
        return respond_json(start_response, code, health)

    # Switches

    def _handle_control(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        try:
            content = self._controls[environ["PATH_INFO"]](environ)
        except (ValueError, msgspec.MsgspecError) as error:
            return respond_json(start_response, 400, {"error": str(error)})
        return respond_json(start_response, 200, content)

    def _control_mode(self, environ: Environ) -> object:
        if environ["REQUEST_METHOD"] == "PUT":
            mode = decode(environ, Mode)
            mode.check()
            self.set_mode(mode)
        return self.mode

    def set_mode(self, mode: Mode) -> None:
        """Switch to another mode; cold_again takes effect once and leaves the mode ok."""
        if mode.mode == "cold_again":
            self.cold_start.restart()
            self._announces_cold = mode.announced
            mode = Mode()
        self.mode = mode
        self.mode_set_at_s = time.monotonic()

    def _control_health(self, environ: Environ) -> object:
        if environ["REQUEST_METHOD"] == "PUT":
            self.health = decode(environ, HealthSwitches)
        return self.health

    def _control_draining(self, environ: Environ) -> object:
        if environ["REQUEST_METHOD"] == "PUT":
            self.is_draining = decode(environ, dict[str, bool])["draining"]
        return {"draining": self.is_draining}

    def _control_ledger(self, environ: Environ) -> object:
        query = environ.get("QUERY_STRING", "")
        after = int(query.removeprefix("after=")) if query else 0
        return {"entries": self.ledger.entries[after:]}

    def _control_counts(self, environ: Environ) -> object:
        return {
            **self.ledger.counts,
            "open_connections": self.open_connections,
            "in_flight": self.in_flight,
            "max_in_flight": self.max_in_flight,
            "queued": self.queued,
            "is_cold": self.cold_start.is_cold(),
            "bearable": self.cold_start.concurrency_limit(),
            "cold_overloads": self.cold_start.overloads,
            "max_concurrency_cold": self.cold_start.max_concurrency_cold,
        }


def is_closed_by_peer(connection: Any) -> bool:
    """Tell whether the remote end has closed the connection."""
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLIN)
    if not poll.poll(0):
        return False
    try:
        return not connection.recv(1, MSG_PEEK)
    except OSError:
        return True


def decode(environ: Environ, kind: Any) -> Any:
    """Decode the JSON body of a control call."""
    return msgspec.json.decode(read_body(environ, CONTROL_BODY_BYTES), type=kind)


def padding_bytes(environ: Environ) -> int:
    """Return the padding size that the caller requested with ``?size=N``."""
    query = environ.get("QUERY_STRING", "")
    if not query.startswith("size="):
        return 0
    text = query.removeprefix("size=").partition("&")[0]
    return min(int(text), MAX_PADDING_BYTES) if text.isdecimal() else 0


def send_half(body: bytes) -> Iterator[bytes]:
    """Yield the first half of the body, then drop the connection."""
    yield body[: len(body) // 2]
    raise ConnectionDroppedError
