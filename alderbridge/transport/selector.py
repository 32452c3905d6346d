"""The selector of curio's kernel: one epoll, in which long-lived connections stay registered.

The kernel accepts any selector. All long-lived connections are to it one more file that becomes readable, the bell.
One task waits for the bell, handles whatever is ready, one after the other, and then calls its callback once. A task
for each connection would cost a switch, traps and a registration for each request: more than most requests need.
"""

from __future__ import annotations

import logging
import select
import socket
import time
from collections.abc import Awaitable, Callable
from selectors import EVENT_READ, EVENT_WRITE
from typing import Any, Protocol

import curio
from curio.traps import _read_wait

log = logging.getLogger("selector")
now = time.monotonic

IN, OUT = select.EPOLLIN, select.EPOLLOUT


class Watched(Protocol):
    """What handles the events of one file."""

    def ready(self, event: int) -> None:
        """Handle what epoll reported (0: called because of ``call_again``). Must not block."""

    def close(self) -> None:
        """Called after an exception in ``ready``."""


class Key:
    """One wait of a curio task: what the kernel asks a selector for."""

    __slots__ = ("fileobj", "fd", "events", "data")

    def __init__(self, fileobj: object, fd: int, events: int, data: object) -> None:
        """``data`` is the kernel's."""
        self.fileobj, self.fd, self.events, self.data = fileobj, fd, events, data


class Poll:
    """A selector for ``curio.run``, and the loop that handles what it watches."""

    def __init__(self, interval_s: float = 0.0) -> None:
        """``interval_s``: the shortest time between two polls; what arrives meanwhile is handled together."""
        self.interval_s = interval_s
        self.polled_at = float("-inf")
        self.epoll = select.epoll()
        self.pause = select.epoll()  # watches nothing: only to wait for a time
        self.keys: dict[object, Key] = {}
        self.by_fd: dict[int, Key | Watched] = {}
        self.bell = object()  # to the kernel, a file
        self.due: list[tuple[Watched, int]] = []
        self.begun: list[tuple[Any, ...]] = []  # coroutine functions to spawn, each with its arguments
        self.wake_at = float("inf")  # the bell becomes readable then at the latest

    # -- what the kernel calls

    def register(self, fileobj: Any, events: int, data: object) -> None:
        """A task of the kernel begins to wait for a file."""
        key = self.keys[fileobj] = Key(fileobj, -1, events, data)
        if fileobj is not self.bell:
            key.fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
            self.epoll.register(key.fd, _mask(events))
            self.by_fd[key.fd] = key

    def unregister(self, fileobj: object) -> None:
        """It waits no longer."""
        key = self.keys.pop(fileobj)
        if self.by_fd.get(key.fd) is key:  # else its file is closed, and another has the number
            self.unwatch(key.fd)

    def modify(self, fileobj: object, events: int, data: object) -> None:
        """It waits for other events."""
        key = self.keys[fileobj]
        if key.events != events:
            self.epoll.modify(key.fd, _mask(events))
        key.events, key.data = events, data

    def get_key(self, fileobj: object) -> Key:
        """What waits for a file; raises ``KeyError``."""
        return self.keys[fileobj]

    def select(self, timeout: float | None) -> list[tuple[Key, int]]:
        """Wait at most ``timeout`` s (None: without limit); the kernel's files that are ready, the bell among them."""
        at = now()
        if self.due:
            timeout = 0
        elif self.wake_at != float("inf"):
            left = max(0.0, self.wake_at - at)
            timeout = left if timeout is None else min(timeout, left)
        result = []
        early = self.polled_at + self.interval_s - at
        if early > 0 and timeout != 0:
            self.pause.poll(early if timeout is None else min(early, timeout))
            at = now()
            timeout = None if timeout is None else max(0.0, timeout - early)
            early = self.polled_at + self.interval_s - at
        for fd, event in self.epoll.poll(timeout) if early <= 0 else ():
            one = self.by_fd.get(fd)
            if type(one) is Key:
                # An error or a hang-up wakes both, as in the selectors of the standard library.
                mask = ((EVENT_READ if event & ~OUT else 0) | (EVENT_WRITE if event & ~IN else 0)) & one.events
                if mask:
                    result.append((one, mask))
            elif one is not None:
                self.due.append((one, event))
        if early <= 0:
            self.polled_at = now()
        if (self.due or self.wake_at <= now()) and self.bell in self.keys:
            result.append((self.keys[self.bell], EVENT_READ))
        return result

    def close(self) -> None:
        """End of the kernel."""
        self.epoll.close()
        self.pause.close()

    # -- connections that stay registered

    def watch(self, one: Watched, fd: int, events: int = IN) -> None:
        """Have ``one`` called for these events, from now on."""
        self.epoll.register(fd, events)
        self.by_fd[fd] = one

    def change(self, fd: int, events: int) -> None:
        """Watch for other events."""
        self.epoll.modify(fd, events)

    def unwatch(self, fd: int) -> None:
        """Watch no longer."""
        self.by_fd.pop(fd, None)
        try:
            self.epoll.unregister(fd)
        except OSError:  # closed already
            pass

    def call_again(self, one: Watched) -> None:
        """Call ``one`` again, though no event will report what it has left to do."""
        self.due.append((one, 0))

    def spawn(self, *call: object) -> None:
        """Spawn a task, for what has to wait."""
        self.begun.append(call)

    async def serve(self, after: Callable[[], Awaitable[None]]) -> None:
        """Handle what is ready, until this is cancelled; ``after`` is called once each time."""
        while True:
            await _read_wait(self.bell)
            due, self.due = self.due, []
            for one, event in due:
                try:
                    one.ready(event)
                except Exception:
                    log.exception("connection state=failed")
                    one.close()
            begun, self.begun = self.begun, []
            for call in begun:
                await curio.spawn(*call, daemon=True)
            try:
                await after()
            except Exception:
                log.exception("effects state=failed")


def _mask(events: int) -> int:
    return (IN if events & EVENT_READ else 0) | (OUT if events & EVENT_WRITE else 0)


def listening(host: str, port: int, backlog: int) -> socket.socket:
    """A TCP socket that listens on that address."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts connections and passes them on."""

    def __init__(self, poll: Poll, sock: socket.socket, accepted: Callable[[socket.socket], object]) -> None:
        """``accepted`` is called with each new connection, which does not block."""
        self.poll, self.sock, self.accepted = poll, sock, accepted
        sock.setblocking(False)
        self.watched = False
        self.resume()

    def resume(self) -> None:
        """Accept again, after an error had stopped it."""
        if not self.watched:
            self.watched = True
            self.poll.watch(self, self.sock.fileno())

    def ready(self, _event: int) -> None:
        """Accept all connections that wait."""
        while True:
            try:
                client, _ = self.sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:  # closed before it was accepted
                continue
            except OSError as error:
                # Out of file descriptors: reported again and again, it would leave time for nothing else.
                log.error("accept state=failed cause=%s", error)
                self.watched = False
                self.poll.unwatch(self.sock.fileno())
                return
            client.setblocking(False)
            self.accepted(client)

    def close(self) -> None:
        """Stop listening."""
        self.poll.unwatch(self.sock.fileno())
        self.sock.close()
