"""How a job shard's waiting jobs and its teams' usage reach the members that use them.

A job shard publishes what has changed since it last told a member; the member keeps the whole. Members of an older
version are sent the whole queue in every round. Why nothing unsafe rests on it: ``docs/design.md``, "Queues".
"""

from alderbridge.queues.delta_tracker import DeltaTracker, QueueState
from alderbridge.queues.offer_book import OfferBook
from alderbridge.queues.queue_publisher import PublishRound, QueueFormat, QueuePublisher
from alderbridge.queues.sender_clock import SenderClock
from alderbridge.queues.shard_queue import ShardQueue, ShardQueues

__all__ = [
    "DeltaTracker",
    "OfferBook",
    "PublishRound",
    "QueueFormat",
    "QueuePublisher",
    "QueueState",
    "SenderClock",
    "ShardQueue",
    "ShardQueues",
]
