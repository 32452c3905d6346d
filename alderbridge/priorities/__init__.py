"""Priority classes per tenant: when urgent work may stop other work, and which."""

from alderbridge.priorities.declaration import PriorityClass, Text, check_lines, parse
from alderbridge.priorities.rules import Rules

__all__ = ["PriorityClass", "Rules", "Text", "check_lines", "parse"]
