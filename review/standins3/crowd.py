"""Many targets of one service in one process, each on a loopback address of its own."""

import contextlib
import random
import selectors
import socket
import threading
import time

from harness import CannotRunError
from target import Target, _Connection


class _Listener:
    """What a connection's handler needs of a server."""

    def __init__(self, target):
        self.target = target


class Crowd:
    """Targets with the given ids on 127.0.93.1, .2 and so on."""

    def __init__(self, fleet, names, **options):
        self._selector = selectors.DefaultSelector()
        self._ended = threading.Event()
        self.targets = []
        port = random.randrange(42000, 48000)
        for number, name in enumerate(names):
            target = Target(name, fleet, zone=f"zone-{number % 3}", **options)
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            address = (f"127.0.93.{number + 1}", port)
            try:
                listener.bind(address)
            except OSError as error:
                raise CannotRunError(f"{address}: {error}") from error
            listener.listen(64)
            target.address = f"{address[0]}:{port}"
            self._selector.register(listener, selectors.EVENT_READ, _Listener(target))
            self.targets.append(target)
        for target in self.targets:
            target.beat()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _accept(self):
        while not self._ended.is_set():
            for key, _ in self._selector.select(0.2):
                with contextlib.suppress(OSError):
                    connection, source = key.fileobj.accept()
                    threading.Thread(
                        target=self._serve, args=(connection, source, key.data), daemon=True
                    ).start()

    @staticmethod
    def _serve(connection, source, listener):
        with contextlib.closing(connection), contextlib.suppress(OSError):
            _Connection(connection, source, listener)

    def _beat(self):
        """Let each target write its entry every 1.5 s."""
        pause_s = 1.5 / len(self.targets)
        while not self._ended.is_set():
            for target in self.targets:
                target.beat()
                time.sleep(pause_s)

    def close(self):
        self._ended.set()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
