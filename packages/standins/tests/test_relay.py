"""Tests of the relay."""

import socket
import threading
import time
import unittest

from tanagerreach_standins.processes import ControlError, ProcessGroup, free_port

LOOPBACK = "127.0.0.1"
OFF = {"forward": {}, "backward": {}}


class RelayTest(unittest.TestCase):
    """Data that the relay loses or mixes up by itself would look like a fault of the fleet."""

    @classmethod
    def setUpClass(cls):
        """Start a relay in front of a UDP and a TCP echo server."""
        udp, tcp = echo_udp(), echo_tcp()
        cls.addClassCleanup(udp.close)
        cls.addClassCleanup(tcp.close)
        group = ProcessGroup()
        cls.addClassCleanup(group.stop_all)
        cls.udp_port, cls.tcp_port = free_port(), free_port()
        cls.relay = group.start_standin(
            "relay",
            udp=[f"u={cls.udp_port}:{LOOPBACK}:{udp.getsockname()[1]}"],
            tcp=[f"t={cls.tcp_port}:{LOOPBACK}:{tcp.getsockname()[1]}"],
        )

    def setUp(self):
        """Switch all faults off."""
        self.control(OFF)

    def control(self, change):
        """Change the relay's faults."""
        return self.relay.call("PUT", "/control/state", change)

    def udp(self):
        """Open a UDP socket that sends to the relay."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.settimeout(0.3)
        sender.connect((LOOPBACK, self.udp_port))
        return sender

    def tcp(self):
        """Open a TCP connection through the relay."""
        connection = socket.create_connection((LOOPBACK, self.tcp_port), timeout=0.5)
        self.addCleanup(connection.close)
        return connection

    def test_udp_replies_reach_their_sender(self):
        """Guards against a reply that is delivered to another sender."""
        senders = [self.udp() for _ in range(3)]
        for number, sender in enumerate(senders):
            sender.send(b"%d" % number)
        self.assertEqual([sender.recv(10) for sender in senders], [b"0", b"1", b"2"])

    def test_udp_one_way_drop(self):
        """Guards against a drop ratio of one direction that affects both directions or none."""
        sender = self.udp()
        state = self.control({"link": "u", "backward": {"drop_ratio": 1.0}})
        before = state["links"][1]
        sender.send(b"a")
        with self.assertRaises(TimeoutError):
            sender.recv(10)
        after = self.relay.call("GET", "/control/state")["links"][1]
        passed = after["forward"]["counts"]["passed"]
        self.assertEqual(passed - before["forward"]["counts"].get("passed", 0), 1)
        self.assertEqual(after["backward"]["counts"]["dropped"], 1)

    def test_udp_duplicate_delay_and_hold(self):
        """Guards against faults without effect, and against the loss of held datagrams."""
        sender = self.udp()
        self.control({"forward": {"duplicate_ratio": 1.0}, "backward": {"delay_s": 0.1}})
        started_at_s = time.monotonic()
        sender.send(b"a")
        self.assertEqual([sender.recv(10), sender.recv(10)], [b"a", b"a"])
        self.assertGreaterEqual(time.monotonic() - started_at_s, 0.1)
        self.control({"forward": {"hold": True}, "backward": {}})
        sender.send(b"b")
        sender.send(b"c")
        with self.assertRaises(TimeoutError):
            sender.recv(10)
        self.control(OFF)
        self.assertEqual([sender.recv(10), sender.recv(10)], [b"b", b"c"])

    def test_tcp_is_unchanged(self):
        """Guards against a gap or a wrong order in a delayed stream."""
        self.control({"forward": {"delay_s": 0.05}, "backward": {"delay_s": 0.05}})
        connection = self.tcp()
        sent = bytes(range(256)) * 2_000
        writer = threading.Thread(target=connection.sendall, args=(sent,))
        writer.start()
        received = b""
        while len(received) < len(sent):
            received += connection.recv(65_536)
        writer.join()
        self.assertEqual(received, sent)
        connection.shutdown(socket.SHUT_WR)
        self.assertEqual(connection.recv(1), b"")

    def test_tcp_hold_and_drop(self):
        """Guards against lost data of a held stream, and data delivered after a dropped chunk."""
        connection = self.tcp()
        self.control({"backward": {"hold": True}})
        connection.sendall(b"a")
        with self.assertRaises(TimeoutError):
            connection.recv(10)
        self.control({"backward": {}})
        self.assertEqual(connection.recv(10), b"a")
        self.control({"forward": {"drop_ratio": 1.0}})
        connection.sendall(b"b")
        with self.assertRaises(TimeoutError):
            connection.recv(10)
        self.control(OFF)
        connection.sendall(b"c")
        with self.assertRaises(TimeoutError):
            connection.recv(10)

    def test_unknown_link_is_refused(self):
        """Guards against a misspelt link name that is accepted without effect."""
        with self.assertRaisesRegex(ControlError, "'x'; use one of t, u"):
            self.control({"link": "x"})


def echo_udp():
    """Start a UDP echo server in a thread, which ends when the socket is closed."""
    server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    server.bind((LOOPBACK, 0))

    def serve():
        while True:
            try:
                data, sender = server.recvfrom(65_535)
            except OSError:
                return
            server.sendto(data, sender)

    threading.Thread(target=serve, daemon=True).start()
    return server


def echo_tcp():
    """Start a TCP echo server in threads; it ends when the socket is closed."""
    server = socket.create_server((LOOPBACK, 0))

    def echo(connection):
        with connection:
            while data := connection.recv(65_536):
                connection.sendall(data)

    def serve():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    return server
