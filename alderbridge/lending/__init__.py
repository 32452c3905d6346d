"""GPU lending: batch work uses a team's idle guaranteed GPUs and is preempted when the team's services need them.

``CapacityLender`` is a policy of the leader's preemption planner, as ``PriorityPolicy`` is. It also decides which free
GPUs stay reserved for services. The package does no input or output and reads no clock.
"""

from alderbridge.lending.configuration import LendingClass, LendingConfiguration, ServingClass, check_lines, parse
from alderbridge.lending.demands import ServingJob
from alderbridge.lending.lender import CapacityLender
from alderbridge.lending.reserve import GpuReserve, allocate_reserve

__all__ = [
    "LendingClass",
    "CapacityLender",
    "GpuReserve",
    "ServingClass",
    "ServingJob",
    "LendingConfiguration",
    "check_lines",
    "allocate_reserve",
    "parse",
]
