"""Meetings of troubles with controllers: cut, refused, handed over and back, with users and workers still in reach."""

import msgspec
import pytest
from test_contact import Ties
from world import Broken

from alderbridge.view import Membership, View


def dark(world, ones, for_s):
    """Cut from the store and from the other controllers; workers and users still reach them."""
    world.cut(ones, for_s)
    for one in ones:
        world.nodes[one].cut_store_until = world.t + for_s


def next_view(world, until):
    """Runs to the moment at which the store takes the next view."""
    before, at = world.mandates, world.t
    while world.mandates == before and at < until:
        at += 0.01
        world.run(at)
    assert world.mandates == before + 1


def ignorant(world, ones, for_s):
    """They are cut before the view that has just been written arrives there, and the rest goes on without them."""
    mandate = world.store.epoch
    assert all(world.nodes[one].node.membership.mandate < mandate for one in ones)
    dark(world, ones, for_s)
    at = world.t
    world.run(at + for_s + 20.0)
    assert all(sim.node.may_act() for sim in world.nodes.values())


def contact_asked_for_again(seed, nodes):
    """All lost each other, and the view waived contact; the next one asks for it, and a member can't hear of that."""
    world = Ties(seed, nodes=nodes, jobs=0)
    world.run(30.0)
    for label in world.labels:
        world.cut([label], 12.0)
    world.run(60.0)
    assert world.view.contact_s == 0.0 and len(world.view.members) == nodes
    next_view(world, 130.0)
    assert world.view.contact_s > 0
    ignorant(world, [max(set(world.labels) - {world.view.leader})], 30.0)


def joined(seed):
    """Three have gone on alone, two are back: the moment at which the view has all five, seldom four."""
    world = Ties(seed, nodes=5, jobs=0)
    world.run(30.0)
    for label in ("host-3", "host-4"):
        world.nodes[label].crash()
    world.run(60.0)
    assert len(world.view.members) == 3
    for label in ("host-3", "host-4"):
        world.restart(world.nodes[label])
    next_view(world, 70.0)
    return world


def two_joined():
    """Two of the three, cut off together, were a majority, and don't know that they are none of five."""
    world = next(world for world in map(joined, range(15002, 15020)) if len(world.view.members) == 5)
    ignorant(world, sorted(set(world.labels[:3]) - {world.view.leader}), 30.0)


MEETINGS = [lambda: contact_asked_for_again(15000, 3), lambda: contact_asked_for_again(15001, 5), two_joined]


@pytest.mark.parametrize("meeting", MEETINGS)
def test_who_does_not_know_the_view_is_not_removed_while_an_older_one_lets_it_act(meeting):
    """It acted on for 11 s after its removal: others ended its jobs, and freed its machines' tasks, meanwhile."""
    meeting()


def test_that_is_seen_when_contact_alone_decides(monkeypatch):
    monkeypatch.setattr(Membership, "loosely", lambda self, view, settled: view)
    for meeting in MEETINGS:
        with pytest.raises(Broken, match="left_out"):
            meeting()


def test_a_view_is_firm_only_between_the_same_labels_and_after_a_settled_or_firm_one():
    members = {"a": 1, "b": 2, "c": 3}
    cases = [(View("a", members, 8.0), members | {"b": 9}, False, False), (View("a", members, 8.0, True), members, True,
             False), (View("a", members, 8.0, True), members, False, True), (View("a", members), members, True, True),
             (View("a", members, 8.0), members | {"d": 4}, True, True),
             (View("a", members | {"d": 4}, 8.0), members, True, True)]
    for before, after, settled, loose in cases:
        membership = Membership("a", 20.0)
        membership.saw_view(before, 1)
        assert membership.loosely(View("a", after, 8.0), settled).loose is loose, (before, after, settled)
        assert not membership.loosely(View("a", after), settled).loose, "nothing is asked, nobody is given up"
    assert b"loose" not in msgspec.json.encode(View("a", members, 8.0)), "what older versions wrote stays as it was"
