"""Fleet of the quick start and its configuration documents."""

from dataclasses import dataclass
from pathlib import Path

from ._fleet import OPERATOR_CREDENTIAL, Fleet
from ._processes import LOOPBACK, ProcessGroup, StartedProcess, free_port

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
INSTANCE_COUNT = 3
SLOT_COUNT = 9
SERVICE_TIME_MS = 5
TARGET_COUNTS = {"catalogue": 6, "reservations": 3}
# Short terms, so that the instances hold all slots and loans within seconds.
SETTINGS = {
    "slot_count": SLOT_COUNT,
    "loan_term_s": 3.0,
    "exchange_interval_s": 0.5,
    "drain_notice_s": 0.5,
}
WORKSPACE = "shop"
LIMITED_WORKSPACE = "trial"
LIMITED_BURST = 9
WORKSPACES_DOCUMENT = f"""\
[[workspace]]
name = "{WORKSPACE}"
labels = {{ tier = "gold" }}

[[workspace]]
name = "{LIMITED_WORKSPACE}"
labels = {{ tier = "trial" }}

[[limit]]
name = "gold"
workspaces = "tier=gold"
rate_per_s = 500.0
burst = 500.0

[[limit]]
name = "trial"
workspaces = "tier=trial"
rate_per_s = 1.0
burst = {LIMITED_BURST}.0
"""


@dataclass(slots=True, kw_only=True)
class QuickstartFleet:
    """Fleet, backend servers and files of the quick start."""

    fleet: Fleet
    directory: Path
    backends: dict[str, StartedProcess]

    @property
    def services_path(self) -> Path:
        """Document with the data centres, services and routes."""
        return self.directory / "services.toml"

    @property
    def workspaces_path(self) -> Path:
        """Document with the workspaces and their limits."""
        return self.directory / "workspaces.toml"

    @property
    def credential_path(self) -> Path:
        """File with the operator credential."""
        return self.directory / "operator-credential"

    def tool_environment(self) -> dict[str, str]:
        """Return the environment variables that the operator tool reads."""
        addresses = [instance.operator_address for instance in self.fleet.instances]
        return {
            "TANAGERREACH_INSTANCES": ",".join(addresses),
            "TANAGERREACH_CREDENTIAL_FILE": str(self.credential_path),
            "TANAGERREACH_OPERATOR": "quickstart",
        }

    def received_in(self, data_centre: str) -> int:
        """Count the requests that a data centre's backend servers have received."""
        names = [name for name in self.backends if target_data_centre(name) == data_centre]
        return sum(self.received_by(name) for name in names)

    def received_by(self, target: str) -> int:
        """Count the requests that a backend server has received."""
        return self.backends[target].call("GET", "/control/counts")["received"]


def prepare_fleet(group: ProcessGroup) -> QuickstartFleet:
    """Write the credential and the documents, and start the store and the backend servers."""
    fleet = Fleet(group=group, data_centres=DATA_CENTRES, settings=SETTINGS)
    prepared = QuickstartFleet(fleet=fleet, directory=group.log_directory, backends={})
    prepared.credential_path.touch(mode=0o600)
    prepared.credential_path.write_text(OPERATOR_CREDENTIAL, encoding="utf-8")
    prepared.services_path.write_text(services_document(), encoding="utf-8")
    prepared.workspaces_path.write_text(WORKSPACES_DOCUMENT, encoding="utf-8")
    fleet.start_store()
    prepared.backends = group.start_backends(
        prepared.services_path, service_time_ms=SERVICE_TIME_MS
    )
    return prepared


def target_data_centre(target: str) -> str:
    """Return the data centre of a target, which is derived from the number in its name."""
    number = int(target.rpartition("-")[2])
    return DATA_CENTRES[(number - 1) % len(DATA_CENTRES)]


def services_document() -> str:
    """Build the document with the data centres, services and routes."""
    tables = [f'[[data-centre]]\nname = "{name}"\n' for name in DATA_CENTRES]
    for service, target_count in TARGET_COUNTS.items():
        tables.append(_service_table(service))
        tables += [_target_table(f"{service}-{n}") for n in range(1, target_count + 1)]
        tables.append(_route_table(service))
    return "\n".join(tables)


def _service_table(service: str) -> str:
    return f'[[service]]\nname = "{service}"\nfloor = 2\nslots_per_target = 4\ntimeout_s = 5.0\n'


def _target_table(target: str) -> str:
    return (
        f'[[service.targets]]\nname = "{target}"\naddress = "{LOOPBACK}:{free_port()}"\n'
        f'data_centre = "{target_data_centre(target)}"\n'
    )


def _route_table(service: str) -> str:
    return f'[[route]]\nname = "{service}"\npath_prefix = "/{service}"\nservice = "{service}"\n'
