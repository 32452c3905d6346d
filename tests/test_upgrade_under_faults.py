"""Concurrent faults during an upgrade: two versions side by side, and faults that overlap.

The old one is this one with all that passes its boundary seen as that version sees it; here it reads views so, too, and
takes holds for 12 s and views for settled after them.
"""

import msgspec
import production
import pytest
from simulation import KNOWN_S, Broken, SimController, World
from test_conditions_to_act import Dark, Terms

from alderbridge import constants
from alderbridge.membership.membership import Membership
from alderbridge.membership.records import MemberRecord, View
from alderbridge.protocol.keys import MEMBERS, VIEW


class Versioned(SimController):
    def start(self):
        super().start()
        if self.old:
            self.core.membership.store_lease.ttl_s, self.core.membership.older_version_margin_s = (
                constants.STORE_LEASE_TTL_S,
                0.0,
            )

    def seen(self, rows):
        """A view as this version reads it."""
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


class Upgrade(World):
    """Notes the views whose members ran two versions, by their keys when it was written."""

    process = Versioned

    def __init__(self, seed, nodes):
        self.mixed = self.contacts = 0
        super().__init__(seed, nodes=nodes, random_faults=False, concurrent_faults=2, jobs=18, upgrade=True)
        commit = self.store.commit

        def noting(conditions, puts, drops=(), lease_id=None):
            done = commit(conditions, puts, drops, lease_id)
            if VIEW in puts and not done.failed:
                self.changed(puts[VIEW])
            return done

        self.store.commit = noting

    def changed(self, view: View) -> None:
        kinds = {
            msgspec.json.decode(self.store.data[MEMBERS + label][0], type=MemberRecord).protocol_version
            for label in view.members
            if MEMBERS + label in self.store.data
        }
        self.mixed += len(kinds) > 1
        self.contacts += view.contact_timeout_s > 0
        if len(kinds) > 1 and view.contact_timeout_s:
            raise Broken("asked_of_all: a view asks for contact of a version that does not know it")


def upgrade(seed, nodes):
    world = Upgrade(seed, nodes)
    world.run(max(240.0, world.calm_at + KNOWN_S + 5.0))
    world.remembered()
    return world


@pytest.mark.parametrize("nodes, seed", [(3, 41001), (3, 41004), (5, 41110)])
def test_rules_hold_when_faults_coincide_during_an_upgrade(nodes, seed):
    world = upgrade(seed, nodes)
    assert world.mixed and world.contacts and world.starts > 0 and not world.late_largest()
    assert not any(sim.old for sim in world.nodes.values())


class VersionedDark(Versioned, Dark):
    pass


class Mixed(Terms):
    process = VersionedDark


def old_ones_do_not_wait_for(seed):
    """Two run the old version, and take a view for settled 12 s after it; the new one does not hear of that view.

    Its hold is renewed, workers reach it, and no view of old ones asks for contact: freshness alone stops it.
    """
    world = Mixed(seed, 3)
    for sim in world.nodes.values():
        sim.old = True
        sim.crash()
        sim.start()
    world.run(20.0)
    gone, label = sorted(set(world.labels) - {world.view.leader})
    new, away = world.nodes[label], world.nodes[gone]
    new.old = False
    new.crash()
    new.start()
    world.run(60.0)
    away.crash()
    world.until(lambda: gone not in world.view.members, 25.0)
    world.run(world.t + 25.0)
    world.cut([label], 90.0)
    new.watch_hangs_until = world.t + 90.0
    for worker in world.machines.values():
        if worker is not None:
            worker.command = lambda *args: None  # what its new part asks is lost: only the lease's end is a proof
    world.restart(away)
    world.until(lambda: gone in world.view.members, 10.0)
    fencing_token = world.store.data[VIEW][1]
    world.run(world.t + 5.0)
    workers = [worker for worker in world.machines.values() if worker is not None and worker.core == label]
    world.run(world.t + 13.0)
    for worker in workers:  # whatever has answered them last, their leases run out from there
        worker.cut_until = world.t + 60.0
    world.run(world.t + 25.0)
    assert world.store.data[VIEW][1] == fencing_token and len(world.view.members) == 3, "nobody has removed it"
    return world


def test_nobody_acts_for_longer_than_an_old_member_believes(monkeypatch):
    old_ones_do_not_wait_for(42026)
    real = Membership.observe_member

    def observe_member(self, label, member, revision):
        real(self, label, member, revision)
        self.older_version_margin_s = 0.0

    monkeypatch.setattr(Membership, "observe_member", observe_member)
    with pytest.raises(Broken, match="ran_twice"):
        for seed in range(42024, 42036):
            old_ones_do_not_wait_for(seed)


def test_no_view_asks_for_contact_of_a_version_that_does_not_know_it(monkeypatch):
    """That is seen, too: its frames bear no incarnation, so it would never be heard."""
    monkeypatch.setattr(Membership, "contact_timeout_for", lambda self, members: 8.0 if len(members) > 2 else 0.0)
    with pytest.raises(Broken, match="asked_of_all"):
        upgrade(41000, 3)
