"""Priority classes of each team: when urgent work may preempt other work, and which."""

from alderbridge.priorities.configuration import PriorityClass, PriorityConfiguration, check_lines, parse
from alderbridge.priorities.policy import PriorityPolicy

__all__ = ["PriorityClass", "PriorityPolicy", "PriorityConfiguration", "check_lines", "parse"]
