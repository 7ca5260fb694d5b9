"""Test instances with real operator listeners and a shared configuration in memory."""

import socket
import threading
import time
from dataclasses import dataclass, field
from socketserver import ThreadingMixIn
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer, make_server

from result import Err, Ok
from tanagerreach_core.config import Configuration, apply_changes
from tanagerreach_core.operator_responses import InstanceStatus
from tanagerreachd._configuration_provider import (
    ChangeReceipt,
    ConfigurationProvider,
    check_changes,
)
from tanagerreachd._fleet_status import (
    FleetCollector,
    InstanceProvider,
    KnownInstance,
)
from tanagerreachd._metrics import Metrics
from tanagerreachd._operator_api import OperatorApi
from tanagerreachd._timeline import Timeline

CREDENTIAL = "operator-credential-0123456789"
CONNECTION = "test.connection"


class _Server(ThreadingMixIn, WSGIServer):
    daemon_threads = True
    block_on_close = False


class _Handler(WSGIRequestHandler):
    def get_environ(self):
        return {**super().get_environ(), CONNECTION: self.connection}

    def log_message(self, *arguments):
        pass


@dataclass(kw_only=True)
class SharedConfiguration(ConfigurationProvider):
    """Configuration of the whole fleet.

    :ivar outages: errors of the next commits, each a ``StoreUnavailable``.
    :ivar before_commit: functions, one of which is called before each commit, to simulate racing
        operators.
    """

    current: Configuration = field(default_factory=Configuration)
    transactions: dict = field(default_factory=dict)
    commit_count: int = 0
    outages: list = field(default_factory=list)
    before_commit: list = field(default_factory=list)

    def configuration(self):
        """Return the current configuration."""
        return self.current

    def commit(self, changes, *, transaction_id, changed_by, dry_run):
        """Apply changes once per transaction id."""
        if self.before_commit:
            self.before_commit.pop()()
        if self.outages:
            return Err(self.outages.pop(0))
        if transaction_id in self.transactions:
            return Ok(ChangeReceipt(revision=self.transactions[transaction_id]))
        checked = check_changes(self.current, changes)
        if dry_run or checked.is_err():
            return checked
        self.current = apply_changes(self.current, changes).unwrap()
        self.commit_count += 1
        self.transactions[transaction_id] = self.current.revision
        return Ok(ChangeReceipt(revision=self.current.revision, warnings=checked.unwrap().warnings))


class FakeInstance(InstanceProvider):
    """One instance with an operator listener on loopback.

    :ivar lost_response_count: number of next POST requests whose responses are lost after handling.
    :ivar lag_s: delay after which a new revision is in force on the instance.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.lost_response_count = 0
        self.lag_s = 0.0
        self.target_states = {}
        self.metrics = Metrics()
        self.timeline = Timeline(instance=name, incarnation=1, event_limit=50)
        self._seen = []
        api = OperatorApi(
            credential=CREDENTIAL,
            configuration=fleet.configuration,
            instance=self,
            fleet=FleetCollector(provider=self, credential=CREDENTIAL, timeout_s=1.0),
            timeline=self.timeline,
            metrics=self.metrics,
        )
        self._app = api.application()
        self._server = make_server(
            "127.0.0.1", 0, self._call, server_class=_Server, handler_class=_Handler
        )
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def status(self):
        """Return a status with the revision that is in force on this instance."""
        revision = self.fleet.configuration.current.revision
        now_s = time.monotonic()
        if not self._seen or self._seen[-1][0] != revision:
            self._seen.append((revision, now_s))
        in_force = [seen for seen, since_s in self._seen if now_s - since_s >= self.lag_s]
        return InstanceStatus(
            name=self.name,
            incarnation=1,
            data_centre="a",
            state="live",
            revision=in_force[-1] if in_force else 0,
            revision_age_s=0.1,
            target_states=self.target_states,
            operator_address=self.address,
        )

    def known_instances(self):
        """Return the other instances and the silent ones."""
        others = [
            KnownInstance(name=other.name, operator_address=other.address, heard_age_s=0.5)
            for other in self.fleet.instances
            if other is not self
        ]
        return others + self.fleet.silent

    def _call(self, environ, start_response):
        body = self._app(environ, start_response)
        if self.lost_response_count and environ["REQUEST_METHOD"] == "POST":
            self.lost_response_count -= 1
            environ[CONNECTION].shutdown(socket.SHUT_RDWR)
        return body


class FakeFleet:
    """Instances that share one configuration.

    :ivar silent: further known instances, which have no listener.
    """

    def __init__(self, count):
        self.configuration = SharedConfiguration()
        self.instances = []
        self.silent = []
        for number in range(1, count + 1):
            self.instances.append(FakeInstance(self, f"i-{number:02}"))

    def stop(self):
        """Stop all listeners."""
        for instance in self.instances:
            instance.stop()
