"""Stops of an instance one of whose steps fails."""

import unittest
from unittest import mock

from tanagerreachd import _daemon
from tanagerreachd.gateway import _instance


class StopTest(unittest.TestCase):
    """Guards against requests that are lost as a step of the stop raises."""

    def test_step_of_a_gateway_fails(self):
        """Guards against a stop that ends before it drains, and a peer that is not told."""
        gateway = _instance.Gateway.__new__(_instance.Gateway)
        parts = mock.MagicMock()
        for name in ("settings", "membership", "application", "peer_table", "log"):
            setattr(gateway, f"_{name}", getattr(parts, name))
        for name in ("callers", "loops", "link"):
            setattr(gateway, f"_{name}", getattr(parts, name))
        gateway._settings.stop_limit_s = 6.0
        failing = (
            parts.membership.send_heartbeats,
            parts.callers.begin_drain,
            parts.callers.close_idle_connections,
            parts.callers.close_listener,
        )
        for step in failing:
            step.side_effect = RuntimeError("failed")
        gateway._send_digests = mock.Mock(side_effect=RuntimeError("failed"))
        gateway._send_handovers = mock.Mock(side_effect=RuntimeError("failed"))
        with mock.patch.object(_instance.gevent, "sleep"):
            gateway._stop()
        for step in (*failing, gateway._send_digests, gateway._send_handovers):
            step.assert_called()
        self.assertEqual(parts.log.failure.call_count, 7)
        parts.callers.finish_requests.assert_called_once()
        parts.link.stop.assert_called_once()

    def test_daemon_cannot_give_its_rights_up(self):
        """Guards against a stop that ends as the rights cannot be handed over."""
        daemon = _daemon.Daemon.__new__(_daemon.Daemon)
        daemon._settings = mock.Mock(drain_notice_s=0.0, drain_limit_s=1.0)
        daemon._log, daemon._loops, daemon._parts = mock.Mock(), mock.Mock(), mock.Mock()
        daemon._parts.slot_manager.leave.side_effect = RuntimeError("failed")
        daemon._stop()
        daemon._log.failure.assert_called_once()
        daemon._parts.listeners.finish_requests.assert_called_once()
        daemon._parts.listeners.stop.assert_called_once()


if __name__ == "__main__":
    unittest.main()
