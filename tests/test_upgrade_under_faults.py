"""Concurrent faults during an upgrade, while members run two versions.

The old version is simulated by this one, with its records and messages reduced to the old formats. Here it also reads
views in the old format and uses the old store lease ttl of 12 s.
"""

import msgspec
import production
import pytest
from simulation import MAX_STATUS_AGE_S, InvariantViolation, SimController, World
from test_conditions_to_act import ActConditionsWorld, WatchFaultController

from alderbridge import constants
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol.keys import MEMBERS, VIEW


class VersionedController(SimController):
    def start(self):
        super().start()
        if self.old:
            self.core.membership.store_lease.ttl_s, self.core.membership.older_version_margin_s = (
                constants.STORE_LEASE_TTL_S,
                0.0,
            )

    def seen(self, rows):
        """Reduces views to the fields that the old version reads."""
        rows = super().seen(rows)
        if not self.old:
            return rows
        return [
            msgspec.structs.replace(
                row, data=msgspec.Raw(msgspec.json.encode(msgspec.json.decode(row.data, type=production.View)))
            )
            if row is not None and VIEW in (getattr(row, "key", None), getattr(row, "put", None))
            else row
            for row in rows
        ]


class UpgradeWorld(World):
    """Counts the views whose members run two versions, by the member keys when the view is written."""

    controller_class = VersionedController

    def __init__(self, seed, nodes):
        self.mixed_views = self.contact_views = 0
        super().__init__(seed, nodes=nodes, random_faults=False, concurrent_faults=2, jobs=18, upgrade=True)
        commit = self.store.commit

        def counting_commit(conditions, puts, drops=(), lease_id=None):
            done = commit(conditions, puts, drops, lease_id)
            if VIEW in puts and not done.failed:
                self.count_view(puts[VIEW])
            return done

        self.store.commit = counting_commit

    def count_view(self, view: View) -> None:
        versions = {
            msgspec.json.decode(self.store.data[MEMBERS + label][0], type=MemberRecord).protocol_version
            for label in view.members
            if MEMBERS + label in self.store.data
        }
        self.mixed_views += len(versions) > 1
        self.contact_views += view.contact_timeout_s > 0
        if len(versions) > 1 and view.contact_timeout_s:
            raise InvariantViolation(
                "unsupported_contact: a view has a contact timeout though a member does not support it"
            )


def play_upgrade(seed, nodes):
    world = UpgradeWorld(seed, nodes)
    world.run(max(240.0, world.faults_end_at + MAX_STATUS_AGE_S + 5.0))
    world.check_final_status_age()
    return world


@pytest.mark.parametrize("nodes, seed", [(3, 41001), (3, 41004), (5, 41110)])
def test_invariants_hold_under_concurrent_faults_during_an_upgrade(nodes, seed):
    world = play_upgrade(seed, nodes)
    assert world.mixed_views and world.contact_views and world.task_starts > 0 and not world.largest_started_late()
    assert not any(sim.old for sim in world.controllers.values())


class VersionedHangingController(VersionedController, WatchFaultController):
    pass


class MixedVersionsWorld(ActConditionsWorld):
    controller_class = VersionedHangingController


def play_new_member_missing_a_view(seed):
    """Two old members treat a view as settled after 12 s while the new member's watch misses that view.

    The new member's store lease is renewed, workers reach it, and views with old members have no contact timeout, so
    only replica freshness stops it from acting.
    """
    world = MixedVersionsWorld(seed, 3)
    for sim in world.controllers.values():
        sim.old = True
        sim.crash()
        sim.start()
    world.run(20.0)
    restarted_label, label = sorted(set(world.labels) - {world.view.leader})
    new, restarted = world.controllers[label], world.controllers[restarted_label]
    new.old = False
    new.crash()
    new.start()
    world.run(60.0)
    restarted.crash()
    world.until(lambda: restarted_label not in world.view.members, 25.0)
    world.run(world.t + 25.0)
    world.cut([label], 90.0)
    new.watch_hangs_until = world.t + 90.0
    for worker in world.machines.values():
        if worker is not None:
            # All commands to workers are lost, so only lease expiry proves that tasks have ended.
            worker.command = lambda *args: None
    world.restart(restarted)
    world.until(lambda: restarted_label in world.view.members, 10.0)
    fencing_token = world.store.data[VIEW][1]
    world.run(world.t + 5.0)
    workers = [worker for worker in world.machines.values() if worker is not None and worker.controller_label == label]
    world.run(world.t + 13.0)
    for worker in workers:  # no more renewals: their leases expire
        worker.cut_until = world.t + 60.0
    world.run(world.t + 25.0)
    assert world.store.data[VIEW][1] == fencing_token and len(world.view.members) == 3, "the view has not changed"
    return world


def test_members_act_no_longer_than_the_ttl_of_an_old_member(monkeypatch):
    play_new_member_missing_a_view(42026)
    real = Membership.observe_member

    def observe_member(self, label, member, revision):
        real(self, label, member, revision)
        self.older_version_margin_s = 0.0

    monkeypatch.setattr(Membership, "observe_member", observe_member)
    with pytest.raises(InvariantViolation, match="ran_twice"):
        for seed in range(42024, 42036):
            play_new_member_missing_a_view(seed)


def test_view_with_contact_timeout_unsupported_by_a_member_is_detected(monkeypatch):
    """An old member's frames carry no incarnation, so it would never count as in contact."""
    monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 8.0 if len(members) > 2 else 0.0)
    with pytest.raises(InvariantViolation, match="unsupported_contact"):
        play_upgrade(41000, 3)
