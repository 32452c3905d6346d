"""How a home's waiting jobs and its teams' sums reach the members that use them.

A home publishes what has changed since it last told a member; the member keeps the whole. Members that run an older
version are told the whole queue in every round, as ever. Why nothing unsafe rests on it: ``docs/design.md``, "Queues".
"""

from alderbridge.queues.delta_tracker import DeltaTracker, Snapshot
from alderbridge.queues.home_queue import HomeQueue, HomeQueues
from alderbridge.queues.offer_book import OfferBook
from alderbridge.queues.queue_publisher import Form, QueuePublisher, Round
from alderbridge.queues.sender_clock import SenderClock

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
