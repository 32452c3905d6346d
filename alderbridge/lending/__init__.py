"""GPUs lent and returned: which go to serving, on which machines, and which are not lent again for a while.

Pure. A ``CapacityLender`` is a policy of the leader's preemption planner, as priorities are.
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
