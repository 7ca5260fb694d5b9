"""Starts child processes, waits until they are ready, and ends them by process id."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from contextlib import closing
from pathlib import Path
from typing import Any, Self

import msgspec
import urllib3

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
STOP_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 10.0
LOG_TAIL_CHARACTERS = 4_000
# Below the ephemeral range, so that an outgoing connection never uses a port that was allocated but
# is not bound yet.
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Each process allocates ports from blocks that it reserves: a port that is merely free may be bound
# by another process before its server starts, or while its instance restarts.
PORT_BLOCK_SIZE = 50
# A socket bound at this address to the first port of a block reserves the block. The kernel closes
# it however its process ends, and servers on LOOPBACK can still use the port.
RESERVATION_ADDRESS = "127.0.0.2"


class ProcessStartError(Exception):
    """A started process exited or was not ready in time; the message has the end of its log."""


class ControlError(Exception):
    """The response to an HTTP call has an error status.

    :param status: HTTP status code.
    :param text: body of the response.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f"status {status}: {text}")
        self.status = status


class NoFreePortError(Exception):
    """Other processes have reserved all ports."""


def free_port() -> int:
    """Return a port that is free for TCP and UDP on 127.0.0.1.

    While this process runs, no port is returned twice, neither here nor by other processes that use
    this function.

    :raises NoFreePortError: when all ports are reserved.
    """
    for port in _reserved_ports:
        if _is_free(port):
            return port
    raise NoFreePortError(f"no port from {FIRST_PORT} to {LAST_PORT} is free; end other test runs")


def _reserve_ports() -> Iterator[int]:
    """Yield ports from blocks that are reserved, one after the other, until this process ends."""
    blocks = range(FIRST_PORT, LAST_PORT, PORT_BLOCK_SIZE)
    # Processes start at different blocks, so that a new run does not reuse the ports of the
    # previous one at once.
    start = os.getpid() % len(blocks)
    reservations = []
    for first_port in [*blocks[start:], *blocks[:start]]:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind((RESERVATION_ADDRESS, first_port))
        except OSError:
            reservation.close()
            continue
        reservations.append(reservation)
        yield from range(first_port, first_port + PORT_BLOCK_SIZE)


_reserved_ports = _reserve_ports()


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with closing(socket.socket(socket.AF_INET, kind)) as test_socket:
            if kind == socket.SOCK_STREAM:
                # Servers set this option too; without it, bind would fail for a port with
                # connections in TIME_WAIT.
                test_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                test_socket.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def http_json(method: str, url: str, content: object = None, timeout_s: float = 0) -> Any:
    """Make one HTTP call with JSON bodies.

    :param timeout_s: timeout of the call; 0 means the default of :data:`CALL_TIMEOUT_S`.
    :returns: the decoded response body, ``None`` when the body is empty.
    :raises ControlError: when the status is 300 or higher.
    """
    body = None if content is None else msgspec.json.encode(content)
    with urllib3.PoolManager() as pool:
        response = pool.request(
            method,
            url,
            body=body,
            timeout=timeout_s or CALL_TIMEOUT_S,
            retries=False,
        )
    if response.status >= 300:
        raise ControlError(response.status, response.data.decode(errors="replace"))
    return msgspec.json.decode(response.data) if response.data else None


def standin_arguments(name: str, options: Mapping[str, object]) -> list[str]:
    """Build the command line of a stand-in.

    ``cold_start_s=2`` becomes ``--cold-start-s 2``; an option with a list value is repeated for
    each item.
    """
    arguments = [sys.executable, "-m", f"tanagerreach_standins.{name}"]
    for option, value in options.items():
        for item in value if isinstance(value, list) else [value]:
            arguments += [f"--{option.replace('_', '-')}", str(item)]
    return arguments


class StartedProcess:
    """A child process started by a :class:`ProcessGroup`.

    :param name: name used in messages and for the log file.
    :param address: ``host:port`` on which the process listens, if any.
    """

    def __init__(
        self, *, name: str, popen: subprocess.Popen, log_path: Path, address: str | None
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.address = address
        self._popen = popen

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def url(self) -> str:
        """Base URL of the process's listener."""
        return f"http://{self.address}"

    def call(self, method: str, path: str, content: object = None) -> Any:
        """Make an HTTP call with JSON bodies to the process, see :func:`http_json`."""
        return http_json(method, self.url + path, content)

    def is_running(self) -> bool:
        """Tell whether the process is still running."""
        return self._popen.poll() is None

    def wait(self, timeout_s: float) -> int:
        """Wait for the process to exit, and return its exit status.

        :raises subprocess.TimeoutExpired: when it is still running after ``timeout_s``.
        """
        return self._popen.wait(timeout_s)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its exit."""
        self._signal(signal.SIGKILL)
        self._popen.wait()

    def begin_stop(self) -> None:
        """Request a graceful stop (SIGTERM) without waiting for the exit."""
        self._signal(signal.SIGTERM)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process, kill it after the timeout, and return its exit status."""
        self.resume()
        self.begin_stop()
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self._popen.wait()

    def log(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")

    def wait_ready(self, path: str | None, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the process is ready.

        :param path: path for which a GET request must succeed; with ``None`` it is enough that the
            process accepts connections.
        :raises ProcessStartError: when the process exits, or is not ready within ``timeout_s``.
        """
        ends_at_s = time.monotonic() + timeout_s
        while not self._is_ready(path):
            if not self.is_running():
                self._raise_start_error(f"exited with status {self._popen.returncode}")
            if time.monotonic() > ends_at_s:
                self._raise_start_error(f"was not ready within {timeout_s} s")
            time.sleep(READY_POLL_S)

    def _is_ready(self, path: str | None) -> bool:
        try:
            if path is not None:
                self.call("GET", path)
                return True
            host, port = (self.address or "").rsplit(":", 1)
            with closing(socket.create_connection((host, int(port)), timeout=1)):
                return True
        except (OSError, urllib3.exceptions.HTTPError, ControlError):
            return False

    def _raise_start_error(self, reason: str) -> None:
        tail = self.log()[-LOG_TAIL_CHARACTERS:]
        raise ProcessStartError(f"{self.name} {reason}; its log ends with:\n{tail}")

    def _signal(self, number: int) -> None:
        if self.is_running():
            self._popen.send_signal(number)


class ProcessGroup:
    """Child processes of one test or run; leaving the context ends all of them.

    :param log_directory: directory of the logs; without it they are written to a temporary
        directory, which :meth:`stop_all` removes.
    :param own_process_group: starts each process in a process group of its own, so that Ctrl-C in a
        terminal reaches this process only, which can then stop the others in order.
    """

    def __init__(
        self, *, log_directory: Path | None = None, own_process_group: bool = False
    ) -> None:
        self._process_group = 0 if own_process_group else None
        self._temporary_directory: tempfile.TemporaryDirectory | None = None
        if log_directory is None:
            self._temporary_directory = tempfile.TemporaryDirectory()
            log_directory = Path(self._temporary_directory.name)
        self.log_directory = log_directory
        self.processes: list[StartedProcess] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        *,
        address: str | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> StartedProcess:
        """Start a process without waiting for it; its output is appended to ``<name>.log``."""
        log_path = self.log_directory / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                list(arguments),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, **(environment or {})},
                process_group=self._process_group,
            )
        process = StartedProcess(name=name, popen=popen, log_path=log_path, address=address)
        self.processes.append(process)
        return process

    def start_standin(
        self, kind: str, *, label: str | None = None, wait: bool = True, **options: object
    ) -> StartedProcess:
        """Start a stand-in on the port of the option ``port``, or on a free port without it.

        :param kind: store, backend or relay.
        :param label: name used in messages and for the log file; ``kind`` and the port by default.
        :param wait: wait until the stand-in accepts connections.
        :param options: command line options of the stand-in.
        """
        port = options.setdefault("port", free_port())
        process = self.start(
            label or f"{kind}-{port}",
            standin_arguments(kind, options),
            address=f"{LOOPBACK}:{port}",
        )
        if wait:
            process.wait_ready(None)
        return process

    def start_backends(self, document: Path, **options: object) -> dict[str, StartedProcess]:
        """Start a backend server for each target of a configuration document.

        :param document: TOML file with ``[[service]]`` and ``[[service.targets]]`` tables.
        :param options: additional options for all servers, such as ``service_time_ms``.
        :returns: the processes by target name.
        """
        services = tomllib.loads(document.read_text(encoding="utf-8"))["service"]
        started = {}
        for service in services:
            for target in service["targets"]:
                started[target["name"]] = self.start_standin(
                    "backend",
                    label=target["name"],
                    wait=False,
                    port=int(target["address"].rsplit(":", 1)[1]),
                    name=target["name"],
                    service=service["name"],
                    data_centre=target["data_centre"],
                    **{"slots": service["slots_per_target"], **options},
                )
        for process in started.values():
            process.wait_ready(None)
        return started

    def stop_all(self) -> None:
        """Stop all running processes, in reverse order of their start."""
        for process in reversed(self.processes):
            process.resume()
            process.begin_stop()
        for process in reversed(self.processes):
            process.terminate()
        if self._temporary_directory is not None:
            self._temporary_directory.cleanup()
