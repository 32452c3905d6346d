"""Priority classes of teams, which declare what work may preempt what other work."""

from alderbridge.priorities.configuration import PriorityClass, PriorityConfiguration, check_lines, parse
from alderbridge.priorities.policy import PriorityPolicy

__all__ = ["PriorityClass", "PriorityPolicy", "PriorityConfiguration", "check_lines", "parse"]
