"""State shared by all components of a controller: the time, and whether this process may act."""

from __future__ import annotations

from alderbridge.membership.membership import Membership


class ControllerState:
    """Written by the methods that the process calls, and by ``ViewEntry``; read by all components."""

    def __init__(self, me: str, membership: Membership, now: float) -> None:
        """Start with no replica loaded and without membership."""
        self.me = me
        self.membership = membership
        self.now = now  # monotonic clock, seconds
        self.wall_offset_s = 0.0  # wall-clock time minus ``now``
        self.loaded = False  # the replica has been read
        self.is_member = False  # job shard, machine shard and channels were built as a member of the current view

    def may_act(self) -> bool:
        """Whether this process is a member whose store lease, view and replica are valid now."""
        return self.loaded and self.membership.may_act(self.now)

    def wall(self) -> float:
        """The wall-clock time in seconds."""
        return self.now + self.wall_offset_s
