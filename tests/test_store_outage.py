"""The store is away for longer than any lease, and comes back: the fleet is where it was, and goes on at once."""

import pytest
from simulation import World
from test_machines import heartbeat, part_with_machine

from alderbridge import constants
from alderbridge.machines.machine import MachineState
from alderbridge.protocol.keys import MACHINES

# hold and lease are over, and a silence of ``LOST_S`` after them
DOWN_S = constants.TOTAL_LEASE_S + constants.LOST_MACHINE_S


def outage(seed, down_s=DOWN_S):
    world = World(seed, random_faults=False, nodes=5, jobs=6, rush=True)
    returned, drops = [], []
    remove, commit = world.remove, world.store.commit

    def record_drops(conditions, puts, dropped=(), lease_id=None):
        drops.extend((world.t, key) for key in dropped if key.startswith(MACHINES))
        return commit(conditions, puts, dropped, lease_id)

    world.run(40.0)
    world.remove = lambda names: returned.extend((world.t, name) for name in names) or remove(names)
    world.store.commit = record_drops
    there = [name for name, worker in world.machines.items() if worker is not None]
    world.store.outage(down_s)
    over = world.t + down_s
    world.run(over + 8.0)
    return world, there, over, [name for at, name in returned if at >= over], [key for at, key in drops if at >= over]


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_the_fleet_outlasts_an_outage_of_the_store(seed):
    """Silence while nobody listened is none; and no record goes and comes back for machines that were only unheard."""
    world, there, over, returned, dropped = outage(seed)
    assert len(there) >= 5 and not set(returned) & set(there)
    assert not set(dropped) & {MACHINES + name for name in there}
    assert world.began and all(sim.core.may_act() for sim in world.nodes.values())
    world.run(over + 240.0)
    world.remembered()
    assert not [job for job in world.accepted if job not in world.said and not world.specs[job].service]


@pytest.mark.parametrize("sent", (True, False))
def test_a_record_stays_only_where_no_drop_of_it_is_on_its_way(sent):
    """Carried out late, that would take the record away while tasks are on the machine: they would be started again."""
    part, _ = part_with_machine()
    heartbeat(part, 1)
    part.leases.check(100.0)
    machine = part.machines["n-1"]
    assert machine.state is MachineState.EXPIRED and part.records.to_drop == ["n-1"] and not machine.recorded
    part.records.keep_record = lambda name: not sent
    heartbeat(part, 101)
    assert machine.state is MachineState.UP and machine.recorded is not sent
    assert part.records.to_write == (["n-1"] if sent else [])


def test_a_drop_that_had_no_answer_is_not_taken_back():
    world = World(5, random_faults=False, jobs=3)
    world.run(40.0)
    core, name = next(
        (sim.core, name)
        for sim in world.nodes.values()
        for name in sorted(sim.core.machine_shard.machines)
        if sim.core.machine_shard.machines[name].recorded
    )
    core.machine_shard.machines[name].expire()
    core.machine_shard.records.drop(core.machine_shard.machines[name])
    assert core.machine_records.cancel_drop(name) and not core.machine_records.cancel_drop(name), (
        "once: nothing is to be dropped any more"
    )
    core.machine_shard.records.to_drop.append(name)
    batch = core.record_writer.next_batch(world.t)
    assert batch is not None and name in batch.dropped_machines
    assert not core.machine_records.cancel_drop(name)
    core.batch_results.on_failed(batch, world.t)
    assert not core.machine_records.cancel_drop(name), "unanswered, it may yet be carried out"
    core.view_entry.enter(world.t, world.t)
    assert name not in core.machine_records.to_drop and not core.machine_records.drops_in_flight
