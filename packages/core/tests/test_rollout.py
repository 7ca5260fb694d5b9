"""Tests of roll-outs of a service's version, replayed without a network."""

import unittest

from rollout_replay import DURATION_S, LIMITS, ORDER, ORDERED_S, Home, RolloutReplay, Version
from tanagerreach_core.messages import PlacementRequest, PlacementState
from tanagerreach_core.placement import (
    PlacementTarget,
    Rollout,
    RolloutFacts,
    RolloutStage,
    ServicePlacement,
    ServiceVersions,
)

SEEDS = range(6)
GOOD = Version()
# Each fails or is late more often by the 20 points that the comparison looks for, and more.
BAD_VERSIONS = {
    "at once": Version(failed_share=0.35),
    "most requests": Version(failed_share=0.8),
    "slow": Version(slow_share=0.5),
    "always slow": Version(slow_share=1.0, slow_ratio=3.0),
    "later": Version(failed_share=0.35, from_s=3.0),
    "late in the canary": Version(failed_share=0.35, from_s=6.0),
    "under load": Version(failed_share=0.35, busy_count=1),
    "one route": Version(failed_share=0.4, route="c"),
}
ERROR_SEEDS = 20
ERROR_SHARE_MAX = 0.05
DISTURBANCES = {
    "none": {},
    "store outage": {"disturbance": lambda now_s, version: (0.3 if 4 < now_s < 6 else 0, 1.0)},
    "lossy link": {
        "disturbance": lambda now_s, version: (0.1, 1.3) if 2 < now_s < 8 else (0.0, 1.0)
    },
}


class BadVersionTest(unittest.TestCase):
    """Load pattern: a version fails or delays part of its requests while 120 arrive per second."""

    def test_bad_version_exceeds_its_exposure(self):
        """Guards against more requests than allowed, a late verdict, and none."""
        for name, version in BAD_VERSIONS.items():
            for seed in SEEDS:
                with self.subTest(version=name, seed=seed):
                    replay = RolloutReplay(seed, version, faulty_share=0.1).run()
                    self.assert_rolled_back(replay)

    def test_home_that_moves_starts_anew(self):
        """Guards against a second canary at each home, with and without its progress."""
        for moves_with_progress in (True, False):
            for name in ("at once", "later", "slow"):
                with self.subTest(version=name, moves_with_progress=moves_with_progress):
                    replay = RolloutReplay(
                        1,
                        BAD_VERSIONS[name],
                        move_s=2.0,
                        moves_with_progress=moves_with_progress,
                        faulty_share=0.1,
                    ).run()
                    self.assert_rolled_back(replay)

    def test_bad_version_of_a_small_service(self):
        """Guards against an exposure beyond the share where few requests arrive."""
        replay = RolloutReplay(
            3, BAD_VERSIONS["at once"], requests_per_s=16.0, target_count=5, faulty_share=0.0
        ).run()
        self.assert_rolled_back(replay)

    def assert_rolled_back(self, replay):
        self.assertIs(replay.verdict, RolloutStage.ROLLED_BACK)
        self.assertLessEqual(replay.verdict_s, DURATION_S)
        self.assertLessEqual(replay.exposure_share, 1.0)
        self.assertEqual(replay.after_verdict["v2"], 0)


class GoodVersionTest(unittest.TestCase):
    """Load pattern: a good version joins while callers, links or the store misbehave."""

    def test_good_version_is_blamed(self):
        """Guards against a verdict on what happens to both versions, or on a few faulty targets."""
        for name, fields in DISTURBANCES.items():
            with self.subTest(disturbance=name):
                self.assert_mostly_completed(**fields)

    def test_good_version_is_blamed_for_a_burst(self):
        """Guards against a verdict on a burst, in which both versions fail more often."""
        self.assert_mostly_completed(burst=lambda now_s: 1.8 if 3 < now_s < 6 else 1.0)

    def assert_mostly_completed(self, **fields):
        """Assert that most roll-outs are completed.

        A sequential comparison errs at times; one roll-out in twenty may be repeated.
        """
        replays = [
            RolloutReplay(seed, GOOD, faulty_share=0.1, **fields).run()
            for seed in range(ERROR_SEEDS)
        ]
        completed = [replay for replay in replays if replay.verdict is RolloutStage.COMPLETED]
        self.assertGreaterEqual(len(completed), (1 - ERROR_SHARE_MAX) * ERROR_SEEDS)
        for replay in completed:
            self.assert_completed(replay)

    def test_home_moves_while_traffic_moves(self):
        """Guards against a roll-out that ends with its home."""
        for move_s in (3.0, 7.5, 8.5):
            with self.subTest(move_s=move_s):
                self.assert_completed(RolloutReplay(2, GOOD, move_s=move_s, faulty_share=0.1).run())

    def assert_completed(self, replay):
        self.assertIs(replay.verdict, RolloutStage.COMPLETED)
        self.assertLess(replay.verdict_s, DURATION_S - 0.5)
        self.assertEqual(replay.after_verdict["v1"], 0)
        self.assertLessEqual(replay.cut_count, 1)


class VersionTest(unittest.TestCase):
    """Which versions get requests."""

    @staticmethod
    def target(name, version, **fields):
        return PlacementTarget(
            name=name,
            address=f"{name}:80",
            data_centre="dc-0",
            slot_count=4,
            software_version=version,
            **fields,
        )

    def setUp(self):
        self.call_id = 0
        self.old = [self.target(f"o{number}", "v1", started_ms=1) for number in range(4)]
        self.new = [self.target(f"n{number}", "v2", started_ms=2) for number in range(4)]

    def used(self, placement, *, count=60, is_decided_alone=False):
        """Return the targets that get some requests."""
        names = set()
        for _ in range(count):
            self.call_id += 1
            key = ("i", self.call_id)
            request = PlacementRequest(
                call_id=self.call_id,
                service="s",
                workspace="w",
                priority=1,
                remaining_ms=3000,
                objective_ms=1000,
                is_retryable=True,
                is_retry=False,
                data_centre="dc-0",
                fingerprint=b"",
                is_decided_alone=is_decided_alone,
            )
            reply = placement.place(key, request, 20.0)
            if reply.state is PlacementState.GRANTED:
                names.add(reply.target)
                placement.complete(key, 0, 0.1, b"", 20.0)
        return names

    def test_version_without_an_order_gets_requests(self):
        """Guards against requests to targets that start ahead of the order, or name no version."""
        placement = ServicePlacement(floor_share=0.7, versions=ServiceVersions())
        placement.configure(self.old, 0.0)
        placement.configure([*self.old, *self.new, self.target("x", "")], 1.0)
        self.assertEqual(self.used(placement), {target.name for target in self.old})

    def test_home_that_starts_takes_the_new_version_for_the_present_one(self):
        """Guards against a home that first sees more new targets than old ones."""
        placement = ServicePlacement(floor_share=0.7, versions=ServiceVersions())
        more = self.target("n4", "v2", started_ms=2)
        placement.configure([*self.new, more, *self.old], 1.0)
        self.assertEqual(self.used(placement), {target.name for target in self.old})

    def test_home_that_starts_uses_a_version_that_was_replaced(self):
        """Guards against all requests at one target that was not stopped."""
        placement = ServicePlacement(floor_share=0.7, versions=ServiceVersions())
        placement.configure([*self.new, self.old[0]], 1.0)
        self.assertEqual(self.used(placement), {target.name for target in self.new})

    def test_targets_that_are_not_used_break_retries_and_probes(self):
        """Guards against the choice among all targets, which is ranked for the used ones only."""
        placement = ServicePlacement(floor_share=0.7, versions=ServiceVersions())
        placement.configure(self.old, 0.0)
        placement.configure([*self.old, *self.new], 1.0)
        for number in range(10):
            # Many unserved requests call for probes of idle targets.
            placement.record_refusal(20.0)
            request = PlacementRequest(
                call_id=number,
                service="s",
                workspace="w",
                priority=0,
                remaining_ms=5000,
                objective_ms=2000,
                is_retryable=True,
                is_retry=number % 2 == 1,
                data_centre="dc-0",
                fingerprint=b"",
                excluded=["n0", "o0"] if number % 2 else [],
                tried=["n0", "o0"] if number % 2 else [],
            )
            reply = placement.place(("i", number), request, 20.0 + number / 100)
            self.assertIn(reply.target, {target.name for target in self.old})

    def test_only_version_left_is_not_used(self):
        """Guards against an outage when the old targets go without an order."""
        placement = ServicePlacement(floor_share=0.7, versions=ServiceVersions())
        placement.configure(self.old, 0.0)
        placement.configure(self.new, 1.0)
        self.assertEqual(self.used(placement), {target.name for target in self.new})

    def test_versions_matter_where_they_are_not_distinguished(self):
        """Guards against a change for deployments without roll-outs."""
        placement = ServicePlacement(floor_share=0.7)
        placement.configure([*self.old, *self.new], 0.0)
        self.assertEqual(len(self.used(placement)), 8)

    def test_instance_alone_uses_the_version_without_a_verdict(self):
        """Guards against an exposure that no home counts."""
        home = Home([*self.old, *self.new], 0.0, is_age_known=True)
        home.order(10.0)
        names = self.used(home.placement, is_decided_alone=True)
        self.assertEqual(names, {target.name for target in self.old})

    def test_version_is_used_before_the_status_is_known(self):
        """Guards against a canary of a version that was rolled back."""
        home = Home([*self.old, *self.new], 0.0, is_age_known=True)
        home.versions.rollout = Rollout(
            order=ORDER, limits=LIMITS, ordered_s=10.0, is_age_known=True
        )
        home.placement.select_versions()
        self.assert_used(home.placement, self.old)
        home.versions.rollout.end(RolloutStage.ROLLED_BACK)
        home.placement.select_versions()
        self.assert_used(home.placement, self.old)
        home.versions.rollout.end(RolloutStage.COMPLETED)
        home.placement.select_versions()
        self.assert_used(home.placement, self.new)

    def assert_used(self, placement, targets):
        names = self.used(placement)
        self.assertTrue(names)
        self.assertLessEqual(names, {target.name for target in targets})

    def test_targets_of_the_new_version_stay_idle(self):
        """Guards against a service that uses half of its targets while requests are refused."""
        home = Home([*self.old, *self.new], 0.0, is_age_known=True)
        more = [self.target(f"m{number}", "v2") for number in range(12)]
        home.placement.configure([*self.old, *self.new, *more], 10.0)
        home.order(10.0)
        for _ in range(10):
            home.placement.record_refusal(20.0)
        names = self.used(home.placement, count=150)
        self.assertGreaterEqual(len(names - {target.name for target in self.old}), 12)

    def test_two_homes_use_the_exposure_twice(self):
        """Guards against a full exposure on each side of a partition."""
        counts = []
        for lent_share in (1.0, 0.5):
            home = Home([*self.old, *self.new], 0.0, is_age_known=True)
            home.order(10.0)
            facts = RolloutFacts(lent_share=lent_share, user_share=1.0)
            home.versions.rollout.advance(facts, ORDERED_S)
            self.used(home.placement, count=400)
            counts.append(home.versions.rollout.exposed_count)
        self.assertLessEqual(counts[1], counts[0] / 2 + 1)
        self.assertGreater(counts[1], 10)


if __name__ == "__main__":
    unittest.main()
