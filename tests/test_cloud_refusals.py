"""Refusals by the cloud, and machines that an earlier leader drained.

Guards against taking a 503 "no capacity" on other calls than rentals for a refused rental, and against returning a
drained machine before its shard had a round to confirm.
"""

import curio
import pytest

from alderbridge import constants
from alderbridge.cloud import Cloud, CloudError, NoCapacityError
from alderbridge.jobs.dependencies import Graph
from alderbridge.leader.leader import Leader, LeaderSettings
from alderbridge.leader.rented_machines import RentedMachineState
from alderbridge.membership.membership import Membership
from alderbridge.protocol.messages import MachineSummaries, MachineSummary, QueueSnapshot
from alderbridge.protocol.wire import MachineType
from alderbridge.settings import Team, Tuning
from alderbridge.state.replica import Replica

CALLS = {
    "list_page": lambda cloud: cloud.list_page(""),
    "return_machines": lambda cloud: cloud.return_machines(["n-1"]),
    "machine_types": lambda cloud: cloud.machine_types(),
}


def refusing_cloud(status: int, body: bytes) -> Cloud:
    cloud = Cloud("127.0.0.1:1")

    async def request(method, target, raw, timeout_s):
        return status, body

    cloud.client.request = request
    return cloud


@pytest.mark.parametrize("call", CALLS)
def test_no_capacity_is_recognized_only_for_rentals(call):
    cloud = refusing_cloud(503, b'{"error":"no capacity"}')
    with pytest.raises(CloudError) as raised:
        curio.run(CALLS[call], cloud)
    assert not isinstance(raised.value, NoCapacityError) and "503" in str(raised.value)


def test_rental_refused_for_capacity_is_distinguished_from_an_outage():
    rent = ("r-1", "large", "a", True, 2)
    with pytest.raises(NoCapacityError):
        curio.run(refusing_cloud(503, b'{"error":"no capacity"}').rent, *rent)
    with pytest.raises(CloudError) as raised:
        curio.run(refusing_cloud(503, b'{"error":"trouble"}').rent, *rent)
    assert not isinstance(raised.value, NoCapacityError)


def test_machine_drained_by_an_earlier_leader_is_terminating_from_its_first_summary():
    replica = Replica(Membership("host-0", 20.0, 12.0), Graph(lambda spec: 1.0, []))
    leader = Leader(LeaderSettings([Team("t")], ["a"], Tuning(), 1.0, 17.0), replica)
    large = MachineType(name="large", cpus=16.0, memory_gb=64.0, price=1.0, spot_price=0.3, boot_s=10.0, zones=["a"])
    leader.on_types({"large": large})
    leader.enter_view(["host-0"], 90.0)
    leader.rented_machines.listed = True
    leader.on_queue("host-0", QueueSnapshot([], {}, {}, {}, 0), 100.0)
    # Not empty: it runs a task that is expected to end in 30 s.
    ends = [(30.0, 1.0, 1.0, 0.0)]
    row = MachineSummary("n-1", "large", "a", True, "draining", 0.0, (15.0, 63.0, 0.0), ends, 1.0)
    leader.on_machine_summaries("host-0", MachineSummaries([row]), 100.0)
    assert leader.decide(100.0).terminate == []
    rented = leader.rented_machines["n-1"]
    assert rented.state is RentedMachineState.TERMINATING and rented.terminating_since == 100.0
    leader.on_machine_summaries("host-0", MachineSummaries([]), 100.5)  # its shard no longer reports it
    assert leader.decide(100.5).terminate == []
    assert leader.decide(100.5 + constants.LEADER_ROUND_INTERVAL_S).terminate == ["n-1"]
