"""Publication of each job shard's waiting jobs and team usage to the other members.

A job shard sends each member the changes since the last message to it, and the member keeps the full state. While a
member runs an older version, all are sent the full queue in every round. Safety does not depend on this data:
``docs/design.md``, "Queues".
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
