"""Backend server with slots, load shedding, cold start and gray failures.

Run it with ``python -m tanagerreach_standins.backend --port PORT``. It listens on 127.0.0.1 and
speaks HTTP/1.1. All paths other than those below are ordinary requests, which take a slot:

- Request headers: ``Request-Id`` (echoed), ``Request-Deadline-Ms`` (a request that runs past its
  deadline is stopped with a 504 response), ``Idempotency-Key`` and ``Workspace`` (recorded),
  ``Caller-Token`` (returned in the response), ``Crash-Me`` (crashes the server in mode crash_on).
  ``?size=N`` requests N bytes of padding in the response.
- The response is JSON with ``token``, ``body_sha256``, ``body_size_bytes``, ``method``, ``path``
  and the server's ``backend``, ``service`` and ``data_centre``. Its header ``Body-Sha256`` is the
  hash of the response body.
- When all slots and the queue are full, the response is 503 with ``Load-Shed: not-started``. When
  the concurrency exceeds the limit of a cold server, the response is 500 and the cold start
  restarts. While the server drains, responses carry ``Draining: true``. After SIGTERM it drains for
  ``--drain-notice-s``, then closes connections after their responses, finishes the running requests
  (up to ``--drain-limit-s``) and exits with 0.
- A request is cancelled when its connection closes. Connections over the limit are closed at once,
  also those for control calls.

``GET /healthz`` returns ``{"status", "warming", "draining"}``, ``GET /load`` returns
``{"in_flight", "queued", "slots"}``.

Control calls: ``GET`` and ``PUT /control/mode`` (``{"mode": ..}`` with ok, slow, erring, hanging,
short_body, crossed, late, crash_on, flapping or cold_again and the parameters of
:class:`tanagerreach_standins._backend_model.Mode`), ``/control/health`` (``lag_s``, ``status``,
``warming``, ``draining``, ``load_factor``), ``/control/draining`` (``{"draining": bool}``), and
``GET /control/ledger?after=N`` and ``GET /control/counts``.
"""

from . import _patch  # noqa: F401, I001 - before all imports that need patched modules

import signal
import sys

import cappa
import gevent

from ._backend_app import BackendApplication, BackendHandler
from ._backend_options import BackendOptions
from ._http import make_server


def main() -> None:
    """Run the backend server until it has drained after SIGTERM."""
    options = cappa.parse(BackendOptions)
    application = BackendApplication(options=options)
    gevent.spawn(application.sample_forever)
    server = make_server(application, options.port, BackendHandler)
    server.start()

    def stop() -> None:
        application.drain(options.drain_notice_s, options.drain_limit_s)
        server.stop(timeout=0)

    gevent.signal_handler(signal.SIGTERM, lambda: gevent.spawn(stop))
    host, port = server.address
    print(f"backend {options.name} listens on {host}:{port}", file=sys.stderr, flush=True)
    server.serve_forever()


if __name__ == "__main__":
    main()
