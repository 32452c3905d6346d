"""How a home's waiting jobs and its teams' sums reach the members that use them.

A home publishes what has changed since it last told a member; the member keeps the whole. Members that run an older
version are told the whole queue in every round, as ever. Why nothing unsafe rests on it: ``docs/design.md``, "Queues".
"""

from .delta_tracker import DeltaTracker, Snapshot
from .home_queue import HomeQueue, HomeQueues
from .offer_book import OfferBook
from .queue_publisher import Form, QueuePublisher, Round
from .sender_clock import SenderClock

__all__ = [
    "Form",
    "HomeQueue",
    "HomeQueues",
    "OfferBook",
    "DeltaTracker",
    "Round",
    "SenderClock",
    "Snapshot",
    "QueuePublisher",
]
