"""Meetings during an upgrade: two versions side by side, and troubles that overlap."""

import msgspec
import pytest
from world import KNOWN_S, Broken, World

from alderbridge.store import MEMBERS, VIEW
from alderbridge.view import Membership, Presence, View


class Upgrade(World):
    """Notes the views whose members ran two versions, by their keys when it was written."""

    def __init__(self, seed, nodes):
        self.mixed = self.contacts = 0
        super().__init__(seed, nodes=nodes, trouble=False, meetings=2, jobs=18, upgrade=True)
        commit = self.store.commit

        def noting(conditions, puts, drops=(), permit=None):
            done = commit(conditions, puts, drops, permit)
            if VIEW in puts and not done.failed:
                self.changed(puts[VIEW])
            return done

        self.store.commit = noting

    def changed(self, view: View) -> None:
        kinds = {msgspec.json.decode(self.store.data[MEMBERS + label][0], type=Presence).generation
                 for label in view.members if MEMBERS + label in self.store.data}
        self.mixed += len(kinds) > 1
        self.contacts += view.contact_s > 0
        if len(kinds) > 1 and view.contact_s:
            raise Broken("asked_of_all: a view asks for contact of a version that does not know it")


def upgrade(seed, nodes):
    world = Upgrade(seed, nodes)
    world.run(max(240.0, world.calm_at + KNOWN_S + 5.0))
    world.remembered()
    return world


@pytest.mark.parametrize("nodes, seed", [(3, 41001), (3, 41004), (3, 41037), (5, 41109), (5, 41110)])
def test_rules_hold_when_troubles_meet_during_an_upgrade(nodes, seed):
    world = upgrade(seed, nodes)
    assert world.mixed and world.contacts and world.starts > 0 and not world.late_largest()
    assert not any(sim.old for sim in world.nodes.values())


def for_longer_than_the_old_version_believes(monkeypatch):
    """It takes a view for settled 12 s after it: who acts for 20 s renews leases that it holds for lapsed."""
    real = Membership.saw_presence

    def saw_presence(self, label, presence, stamp):
        real(self, label, presence, stamp)
        self.less_s = 0.0

    monkeypatch.setattr(Membership, "saw_presence", saw_presence)


def contact_asked_of_all(monkeypatch):
    monkeypatch.setattr(Membership, "_contact_for", lambda self, members: 8.0 if len(members) > 2 else 0.0)
