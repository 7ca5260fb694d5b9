"""Key-value store with compare-and-swap, leases and watches, and a lagging list of instances.

Run it with ``python -m tanagerreach_standins.store --port PORT``. It listens on 127.0.0.1 and
keeps all data in memory. The protocol is HTTP with JSON bodies; values are base64.

- ``GET /v1/kv/<key>`` returns ``{"revision", "value"}``, or 404 with the store's revision.
- ``GET /v1/kv?prefix=`` returns ``{"entries": [{"key", "revision", "value"}]}``.
- ``PUT /v1/kv/<key>`` with the header ``If-Revision`` (0: the key must not exist) and the body
  ``{"value", "lease": id or null}`` returns ``{"revision"}``, 409 with the current revision, 410
  when the lease has expired, or 413 for a value over 1 MB.
- ``DELETE /v1/kv/<key>`` with ``If-Revision`` returns the same as a write.
- ``GET /v1/watch/<key>?after=R&timeout_s=T`` waits until the key has changed after revision R and
  then returns the same as a read, thus 404 after a deletion. It returns 204 when nothing changed in
  time. The revision in a 404 is the one from which to watch.
- ``POST /v1/leases`` with ``{"ttl_s"}`` returns ``{"lease": id}``; ``PUT /v1/leases/<id>`` renews
  the lease (404 when it has expired); ``DELETE /v1/leases/<id>`` ends it. The keys of a lease are
  deleted when it ends or expires.
- ``GET /v1/instances`` returns ``{"instances": [{"name", "peer_address", "state"}]}`` as of
  ``lag_s`` ago; ``PUT`` and ``DELETE /v1/instances/<name>`` change the list.
- A call over the rate limits gets 429.

Control calls, which work in every mode: ``GET`` and ``PUT /control/state`` (fields ``mode`` up,
down, hang or slow, ``delay_s``, ``lose_answers``, ``lag_s``, ``writes_per_s``, ``reads_per_s``; a
PUT changes the given fields only) and ``GET /control/counts``.
"""

from . import _patch  # noqa: F401, I001 - before all imports that need patched modules

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import gevent
import msgspec

from ._http import make_server
from ._store_app import StoreApplication
from ._store_faults import StoreFaults


class InitialContent(msgspec.Struct, kw_only=True):
    """Content of the ``--content`` file; values are base64."""

    entries: dict[str, str] = {}
    instances: list[dict[str, str]] = []


@cappa.command(name="store")
@dataclass(slots=True, kw_only=True)
class StoreOptions:
    """Run the store stand-in."""

    port: Annotated[int, cappa.Arg(long=True, help="port on 127.0.0.1")] = 0
    content: Annotated[Path | None, cappa.Arg(long=True, help="JSON file to load")] = None
    lag_s: Annotated[
        float, cappa.Arg(long=True, help="lag of the list of instances in seconds")
    ] = 0.0
    writes_per_s: Annotated[float, cappa.Arg(long=True, help="rate limit; 0 means none")] = 0.0
    reads_per_s: Annotated[float, cappa.Arg(long=True, help="rate limit; 0 means none")] = 0.0
    seed: Annotated[int, cappa.Arg(long=True, help="seed of the draws of lost responses")] = 0


def load_content(store: StoreApplication, content: InitialContent) -> None:
    """Write the initial content to the store."""
    for key, value in content.entries.items():
        store.state.put(key, value, 0, None)
    store.state.load_instances(content.instances)


def main() -> None:
    """Run the store until it is terminated."""
    options = cappa.parse(StoreOptions)
    faults = StoreFaults(
        lag_s=options.lag_s,
        writes_per_s=options.writes_per_s,
        reads_per_s=options.reads_per_s,
    )
    store = StoreApplication(faults=faults, seed=options.seed)
    if options.content is not None:
        load_content(store, msgspec.json.decode(options.content.read_bytes(), type=InitialContent))
    gevent.spawn(store.expire_leases_forever)
    server = make_server(store, options.port)
    server.start()
    print(f"store listens on {server.address[0]}:{server.address[1]}", file=sys.stderr, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
