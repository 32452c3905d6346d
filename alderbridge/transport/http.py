"""The names of the HTTP modules under the path they had; new code imports from the modules that define them."""

from __future__ import annotations

from alderbridge.transport.errors import UnansweredError
from alderbridge.transport.http_client import Client, Exchange
from alderbridge.transport.http_response import ResponseReader
from alderbridge.transport.http_server import Answer, Connection, ConnectionState, Handler, Server
from alderbridge.transport.sockets import connect, read
from alderbridge.transport.token_bucket import TokenBucket

__all__ = [
    "Answer",
    "Client",
    "Connection",
    "ConnectionState",
    "Exchange",
    "Handler",
    "ResponseReader",
    "Server",
    "TokenBucket",
    "UnansweredError",
    "connect",
    "read",
]
