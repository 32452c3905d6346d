"""A store outage longer than all leases must not make the controllers return machines or delete their records."""

import pytest
from simulation import World
from test_machines import heartbeat, machine_shard_with_machine

from alderbridge import constants
from alderbridge.machines.machine import MachineState
from alderbridge.protocol.keys import MACHINES

# Store lease and worker leases expire, and then machines are silent for ``LOST_MACHINE_TIMEOUT_S``.
OUTAGE_S = constants.COMBINED_LEASE_S + constants.LOST_MACHINE_TIMEOUT_S


def run_outage(seed, outage_s=OUTAGE_S):
    world = World(seed, random_faults=False, nodes=5, jobs=6, large_jobs=True)
    returned, drops = [], []
    remove, commit = world.terminate, world.store.commit

    def record_drops(conditions, puts, dropped=(), lease_id=None):
        drops.extend((world.t, key) for key in dropped if key.startswith(MACHINES))
        return commit(conditions, puts, dropped, lease_id)

    world.run(40.0)
    world.terminate = lambda names: returned.extend((world.t, name) for name in names) or remove(names)
    world.store.commit = record_drops
    rented = [name for name, worker in world.machines.items() if worker is not None]
    world.store.outage(outage_s)
    ended_at = world.t + outage_s
    world.run(ended_at + 8.0)
    return (
        world,
        rented,
        ended_at,
        [name for returned_at, name in returned if returned_at >= ended_at],
        [key for dropped_at, key in drops if dropped_at >= ended_at],
    )


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_machines_and_their_records_survive_a_store_outage(seed):
    """Machines that could not report during the outage are neither returned nor are their records deleted."""
    world, rented, ended_at, returned, dropped = run_outage(seed)
    assert len(rented) >= 5 and not set(returned) & set(rented)
    assert not set(dropped) & {MACHINES + name for name in rented}
    assert world.first_started_at and all(sim.core.may_act() for sim in world.controllers.values())
    world.run(ended_at + 240.0)
    world.check_final_status_age()
    assert not [job for job in world.accepted if job not in world.reported_ends and not world.specs[job].service]


@pytest.mark.parametrize("sent", (True, False))
def test_a_machine_record_is_kept_only_if_no_deletion_was_sent(sent):
    """A late deletion would remove the record while tasks run on the machine, and they would be started twice."""
    part, _ = machine_shard_with_machine()
    heartbeat(part, 1)
    part.leases.check(100.0)
    machine = part.machines["n-1"]
    assert machine.state is MachineState.EXPIRED and part.records.to_drop == ["n-1"] and not machine.recorded
    part.records.cancel_drop = lambda name: not sent
    heartbeat(part, 101)
    assert machine.state is MachineState.EXPIRED, "the incarnation whose lease has expired does not return"
    heartbeat(part, 102, incarnation=2)
    assert machine.state is MachineState.UP and machine.recorded is not sent
    assert part.records.to_write == (["n-1"] if sent else [])


def test_an_unanswered_deletion_of_a_machine_record_is_not_cancelled():
    world = World(5, random_faults=False, jobs=3)
    world.run(40.0)
    core, name = next(
        (sim.core, name)
        for sim in world.controllers.values()
        for name in sorted(sim.core.machine_shard.machines)
        if sim.core.machine_shard.machines[name].recorded
    )
    core.machine_shard.machines[name].expire(incarnation=1)
    core.machine_shard.records.drop(core.machine_shard.machines[name])
    assert core.machine_records.cancel_drop(name) and not core.machine_records.cancel_drop(name), (
        "only once: no deletion is pending any more"
    )
    core.machine_shard.records.to_drop.append(name)
    batch = core.record_writer.next_batch(world.t)
    assert batch is not None and name in batch.dropped_machines
    assert not core.machine_records.cancel_drop(name)
    core.batch_results.on_failed(batch, world.t)
    assert not core.machine_records.cancel_drop(name), "the unanswered deletion may still commit"
    core.view_entry.enter_view(world.t, world.t)
    assert name not in core.machine_records.to_drop and not core.machine_records.drops_in_flight
