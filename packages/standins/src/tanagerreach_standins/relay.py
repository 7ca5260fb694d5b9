"""TCP and UDP relay that can drop, delay, duplicate or hold the data of either direction.

Run it with ``python -m tanagerreach_standins.relay --port CONTROL_PORT --udp NAME=PORT:DESTINATION
--tcp NAME=PORT:DESTINATION``, where PORT is the listening port on 127.0.0.1 and DESTINATION is
``HOST:PORT``; ``--udp`` and ``--tcp`` may be repeated. The relay does not change the data. Each UDP
reply goes back to the sender whose datagrams it follows.

Control calls (HTTP with JSON): ``GET /control/state`` returns the faults and counts of all links;
``PUT /control/state`` takes ``{"link": NAME, "forward": FAULTS, "backward": FAULTS}``. Without
``link``, all links change; a direction that is left out keeps its faults. FAULTS has the fields
``drop_ratio``, ``delay_s``, ``jitter_s``, ``duplicate_ratio`` and ``hold``; a fault that is left
out is off. Forward is the direction towards the destination.
"""

from . import _patch  # noqa: F401, I001 - before all imports that need patched modules

import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

import cappa
import msgspec

from ._http import Environ, StartResponse, respond_json, make_server, read_body
from ._relay_links import DirectionFaults, Link, TcpLink, UdpLink

CONTROL_BODY_BYTES = 64 * 1024


class StateChange(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Request body of a change of the faults."""

    link: str | None = None
    forward: DirectionFaults | None = None
    backward: DirectionFaults | None = None


@cappa.command(name="relay")
@dataclass(slots=True, kw_only=True)
class RelayOptions:
    """Run a relay."""

    port: Annotated[int, cappa.Arg(long=True, help="control port on 127.0.0.1")] = 0
    udp: Annotated[list[str], cappa.Arg(long=True, help="NAME=PORT:HOST:PORT")] = field(
        default_factory=list
    )
    tcp: Annotated[list[str], cappa.Arg(long=True, help="NAME=PORT:HOST:PORT")] = field(
        default_factory=list
    )
    seed: Annotated[int, cappa.Arg(long=True, help="seed of all random draws")] = 0


class ControlApplication:
    """WSGI application of the relay's control listener."""

    def __init__(self, *, links: list[Link]) -> None:
        self._links = links

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        if environ["PATH_INFO"] != "/control/state":
            return respond_json(start_response, 404, {"error": "use /control/state"})
        if environ["REQUEST_METHOD"] == "PUT":
            try:
                self._change(read_body(environ, CONTROL_BODY_BYTES))
            except (ValueError, msgspec.MsgspecError) as error:
                return respond_json(start_response, 400, {"error": str(error)})
        return respond_json(start_response, 200, {"links": [link.state() for link in self._links]})

    def _change(self, body: bytes) -> None:
        change = msgspec.json.decode(body, type=StateChange)
        links = [link for link in self._links if change.link in (None, link.name)]
        if not links:
            names = ", ".join(link.name for link in self._links)
            raise ValueError(f"link is {change.link!r}; use one of {names}")
        for link in links:
            if change.forward is not None:
                link.forward.set_faults(change.forward)
            if change.backward is not None:
                link.backward.set_faults(change.backward)


def parse_link(kind: type[TcpLink] | type[UdpLink], text: str, seed: int) -> TcpLink | UdpLink:
    """Build a link from ``NAME=PORT:HOST:PORT``.

    :raises ValueError: when a part is missing or not a number.
    """
    name, separator, rest = text.partition("=")
    parts = rest.split(":")
    if not separator or len(parts) != 3:
        raise ValueError(f"link is {text!r}; use NAME=PORT:HOST:PORT")
    port, host, destination_port = parts
    destination = (host, int(destination_port))
    return kind(name=name, port=int(port), destination=destination, seed=seed)


def main() -> None:
    """Run the relay until it is terminated."""
    options = cappa.parse(RelayOptions)
    try:
        links = [parse_link(TcpLink, text, options.seed) for text in options.tcp]
        links += [parse_link(UdpLink, text, options.seed) for text in options.udp]
    except ValueError as error:
        sys.exit(f"relay: {error}")
    for link in links:
        link.start()
    make_server(ControlApplication(links=links), options.port).serve_forever()


if __name__ == "__main__":
    main()
