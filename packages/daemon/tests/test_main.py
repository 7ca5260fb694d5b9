"""Tests of starting an instance whose address cannot be bound."""

import socket
import subprocess
import sys
import tempfile
import unittest
from contextlib import closing
from pathlib import Path

from tanagerreach_standins.processes import free_port

OPTIONS = ("callers_address", "operator_address", "peer_http_address", "peer_udp_address")
START_TIMEOUT_S = 30.0


class AddressInUseTest(unittest.TestCase):
    """One address is in use, the others are free."""

    def test_message_names_the_option_and_address(self):
        """Guards against a message that does not say which of four addresses is in use."""
        for option in ("callers_address", "peer_udp_address"):
            with self.subTest(option=option):
                self._check(option)

    def _check(self, option: str) -> None:
        kind = socket.SOCK_DGRAM if "udp" in option else socket.SOCK_STREAM
        with closing(socket.socket(type=kind)) as taken, tempfile.TemporaryDirectory() as folder:
            taken.bind(("127.0.0.1", 0))
            if kind == socket.SOCK_STREAM:
                taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            settings = Path(folder) / "instance.toml"
            settings.write_text(self._settings({option: address}), encoding="utf-8")
            completed = subprocess.run(
                [sys.executable, "-m", "tanagerreachd", "--settings", str(settings)],
                capture_output=True,
                text=True,
                timeout=START_TIMEOUT_S,
                check=False,
            )
        self.assertEqual(completed.returncode, 1)
        self.assertIn(f"{option} {address}: Address already in use; ", completed.stderr)

    @staticmethod
    def _settings(taken: dict[str, str]) -> str:
        lines = [
            'instance_name = "i-1"',
            'data_centre = "dc-1"',
            'store_address = "127.0.0.1:9"',
            f'fleet_secret = "{"s" * 32}"',
            f'operator_credential = "{"c" * 24}"',
        ]
        for option in OPTIONS:
            address = taken.get(option) or f"127.0.0.1:{free_port()}"
            lines.append(f'{option} = "{address}"')
        return "\n".join(lines)


if __name__ == "__main__":
    unittest.main()
