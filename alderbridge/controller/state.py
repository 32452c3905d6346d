"""What all parts of a controller share: the time, and whether this process may act. Pure."""

from __future__ import annotations

from alderbridge.membership.membership import Membership


class ControllerState:
    """Written by the methods of ``ControllerCore`` that the process calls, read everywhere."""

    def __init__(self, me: str, membership: Membership, now: float) -> None:
        """Nothing is loaded, and this process is not a member."""
        self.me = me
        self.membership = membership
        self.now = now  # steady clock, seconds
        self.wall_offset_s = 0.0  # time of day less ``now``
        self.loaded = False  # the replica has been read
        self.is_member = False  # job shard, machine shard and channels were built for the view as of one of its members

    def may_act(self) -> bool:
        """Whether this process is a member whose store lease, view and replica are valid now."""
        return self.loaded and self.membership.may_act(self.now)

    def wall(self) -> float:
        """The time of day, in seconds."""
        return self.now + self.wall_offset_s
