"""Base class of process tests: a small fleet that the tests of a class share."""

import hashlib
import unittest

from tanagerreach_standins.fleet import Fleet
from tanagerreach_standins.processes import ProcessGroup

KEY = "test-key-0123456789abcdef"
SECOND_KEY = "test-key-second-0123456789"
WITHDRAWN_KEY = "test-key-withdrawn-0123456789"
SLOT_COUNT = 9
INSTANCE_COUNT = 3
FIRST_RESPONSE_TIMEOUT_S = 30.0
# Short terms shorten the tests; the ratios between them are those of the defaults.
FAST_SETTINGS = {
    "slot_count": SLOT_COUNT,
    "drain_notice_s": 0.5,
    "exchange_interval_s": 0.5,
    "loan_term_s": 3.0,
}


def _key_table(name, key, *, withdrawn=False):
    digest = hashlib.sha256(key.encode()).hexdigest()
    suffix = "withdrawn = true\n" if withdrawn else ""
    return f'[[key]]\nname = "{name}"\nworkspace = "alpha"\nkey_hash = "{digest}"\n{suffix}'


def _route_table(service):
    return f'[[route]]\nname = "{service}"\npath_prefix = "/{service}"\nservice = "{service}"\n'


class FleetCase(unittest.TestCase):
    """Starts a store, three instances in three data centres, and backend servers.

    Subclasses override the class attributes to change the fleet.
    """

    services = ("catalogue",)
    targets_per_service = 3
    rate_per_s = 500
    burst = 500
    floor = 1
    slots_per_target = 4
    service_timeout_s = 5.0
    settings = FAST_SETTINGS
    backend_options: dict = {}

    @classmethod
    def setUpClass(cls):
        cls.group = ProcessGroup()
        cls.addClassCleanup(cls.group.stop_all)
        cls.fleet = cls.make_fleet()
        cls.start_store()
        cls.backends = {}
        document = cls.document()
        cls.start_instances()
        cls.fleet.wait_for_revision(cls.fleet.apply_document(document))
        cls.fleet.wait_for_slots(cls.settings["slot_count"])
        for service in cls.services:
            cls.fleet.wait_until(
                lambda service=service: cls.get(path=f"/{service}/1").status == 200,
                f"first response of {service}",
                FIRST_RESPONSE_TIMEOUT_S,
            )

    @classmethod
    def make_fleet(cls):
        return Fleet(group=cls.group, settings=cls.settings)

    @classmethod
    def start_instances(cls):
        cls.fleet.start_instances(INSTANCE_COUNT)

    @classmethod
    def start_store(cls):
        cls.fleet.start_store()

    @classmethod
    def document(cls):
        parts = [f'[[data-centre]]\nname = "dc-{number}"\n' for number in range(1, 4)]
        parts.append('[[workspace]]\nname = "alpha"\n')
        parts.append(_key_table("alpha-1", KEY))
        parts.append(_key_table("alpha-2", SECOND_KEY))
        parts.append(_key_table("alpha-3", WITHDRAWN_KEY, withdrawn=True))
        parts.append(
            f'[[limit]]\nname = "default"\nrate_per_s = {cls.rate_per_s}\nburst = {cls.burst}\n'
        )
        parts.extend(_route_table(service) for service in cls.services)
        parts.extend(cls.service_tables(service) for service in cls.services)
        return "".join(parts)

    @classmethod
    def service_tables(cls, service):
        text = (
            f'[[service]]\nname = "{service}"\nfloor = {cls.floor}\n'
            f"slots_per_target = {cls.slots_per_target}\ntimeout_s = {cls.service_timeout_s}\n"
        )
        for number in range(1, cls.targets_per_service + 1):
            name = f"{service}-{number}"
            data_centre = f"dc-{(number - 1) % 3 + 1}"
            backend = cls.group.start_standin(
                "backend", label=name, name=name, data_centre=data_centre, **cls.backend_options
            )
            cls.backends[name] = backend
            text += (
                f'[[service.targets]]\nname = "{name}"\naddress = "{backend.address}"\n'
                f'data_centre = "{data_centre}"\n'
            )
        return text

    @classmethod
    def get(cls, instance=None, *, key=KEY, path="/catalogue/1", **options):
        return cls.fleet.request(
            instance or cls.fleet.running()[0], "GET", path, key=key, **options
        )

    def ledger(self):
        return [
            entry
            for backend in self.backends.values()
            if backend.is_running()
            for entry in backend.call("GET", "/control/ledger")["entries"]
        ]
