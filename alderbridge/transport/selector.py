"""A selector for curio's kernel, on one epoll in which long-lived connections stay registered.

To the kernel, all long-lived connections together are one pseudo-file that becomes readable. One task waits for it,
handles every ready connection in turn, and then calls its callback once. One task per connection would cost a task
switch, traps and a registration for each request, which is more than most requests take to handle.
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
    """Handles the events of one file."""

    def ready(self, event: int) -> None:
        """Handle events that epoll reported (0: called because of ``schedule_ready``). Must not block."""

    def close(self) -> None:
        """Release the file; called after an exception in ``ready``."""


class Key:
    """One wait of a curio task, with the attributes of ``selectors.SelectorKey``."""

    __slots__ = ("fileobj", "fd", "events", "data")

    def __init__(self, fileobj: object, fd: int, events: int, data: object) -> None:
        """``data`` belongs to the kernel."""
        self.fileobj, self.fd, self.events, self.data = fileobj, fd, events, data


class EpollSelector:
    """A selector for ``curio.run``, and the loop that handles the watched connections."""

    def __init__(self, interval_s: float = 0.0) -> None:
        """``interval_s``: minimum time between two polls; events in between are handled in one batch."""
        self.interval_s = interval_s
        self.last_polled_at = float("-inf")
        self.epoll = select.epoll()
        self.sleep_epoll = select.epoll()  # has no files registered: used only to sleep
        self.keys: dict[object, Key] = {}
        self.by_fd: dict[int, Key | Watched] = {}
        self.pseudo_file = object()  # stands for all watched connections to the kernel
        self.ready_events: list[tuple[Watched, int]] = []
        self.pending_spawns: list[tuple[Any, ...]] = []  # coroutine functions with their arguments
        self.wake_at = float("inf")  # when the pseudo-file becomes readable even without events

    def register(self, fileobj: Any, events: int, data: object) -> None:
        """Called by the kernel: a task starts to wait for a file."""
        key = self.keys[fileobj] = Key(fileobj, -1, events, data)
        if fileobj is not self.pseudo_file:
            key.fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
            self.epoll.register(key.fd, _epoll_events(events))
            self.by_fd[key.fd] = key

    def unregister(self, fileobj: object) -> None:
        """Called by the kernel: no task waits for the file any more."""
        key = self.keys.pop(fileobj)
        if self.by_fd.get(key.fd) is key:  # else the file was closed and its descriptor reused
            self.unwatch(key.fd)

    def modify(self, fileobj: object, events: int, data: object) -> None:
        """Called by the kernel: the tasks wait for other events."""
        key = self.keys[fileobj]
        if key.events != events:
            self.epoll.modify(key.fd, _epoll_events(events))
        key.events, key.data = events, data

    def get_key(self, fileobj: object) -> Key:
        """The wait registered for a file. Raises ``KeyError``."""
        return self.keys[fileobj]

    def select(self, timeout: float | None) -> list[tuple[Key, int]]:
        """Wait at most ``timeout`` seconds (None: no limit); return the ready files, including the pseudo-file."""
        current_time = now()
        if self.ready_events:
            timeout = 0
        elif self.wake_at != float("inf"):
            remaining_s = max(0.0, self.wake_at - current_time)
            timeout = remaining_s if timeout is None else min(timeout, remaining_s)
        result = []
        until_poll_s = self.last_polled_at + self.interval_s - current_time
        if until_poll_s > 0 and timeout != 0:
            self.sleep_epoll.poll(until_poll_s if timeout is None else min(until_poll_s, timeout))
            current_time = now()
            timeout = None if timeout is None else max(0.0, timeout - until_poll_s)
            until_poll_s = self.last_polled_at + self.interval_s - current_time
        for fd, event in self.epoll.poll(timeout) if until_poll_s <= 0 else ():
            watched = self.by_fd.get(fd)
            if type(watched) is Key:
                # An error or a hang-up reports both events, as in the selectors of the standard library.
                mask = ((EVENT_READ if event & ~OUT else 0) | (EVENT_WRITE if event & ~IN else 0)) & watched.events
                if mask:
                    result.append((watched, mask))
            elif watched is not None:
                self.ready_events.append((watched, event))
        if until_poll_s <= 0:
            self.last_polled_at = now()
        if (self.ready_events or self.wake_at <= now()) and self.pseudo_file in self.keys:
            result.append((self.keys[self.pseudo_file], EVENT_READ))
        return result

    def close(self) -> None:
        """Close the epoll descriptors; called when the kernel ends."""
        self.epoll.close()
        self.sleep_epoll.close()

    def watch(self, watched: Watched, fd: int, events: int = IN) -> None:
        """Register ``watched``, whose ``ready`` is then called for these events."""
        self.epoll.register(fd, events)
        self.by_fd[fd] = watched

    def change(self, fd: int, events: int) -> None:
        """Replace the events that a file is watched for."""
        self.epoll.modify(fd, events)

    def unwatch(self, fd: int) -> None:
        """Remove a file; it may be closed already."""
        self.by_fd.pop(fd, None)
        try:
            self.epoll.unregister(fd)
        except OSError:  # the file is closed already
            pass

    def schedule_ready(self, watched: Watched) -> None:
        """Call ``ready`` of ``watched`` with event 0, for work that no event of its file announces."""
        self.ready_events.append((watched, 0))

    def spawn(self, *call: object) -> None:
        """Spawn a task for work that has to wait; ``call``: a coroutine function and its arguments."""
        self.pending_spawns.append(call)

    async def serve(self, after_batch: Callable[[], Awaitable[None]]) -> None:
        """Handle ready connections until cancelled; ``after_batch`` is called after each batch."""
        while True:
            await _read_wait(self.pseudo_file)
            ready_events, self.ready_events = self.ready_events, []
            for watched, event in ready_events:
                try:
                    watched.ready(event)
                except Exception:
                    log.exception("connection state=failed")
                    watched.close()
            pending_spawns, self.pending_spawns = self.pending_spawns, []
            for call in pending_spawns:
                await curio.spawn(*call, daemon=True)
            try:
                await after_batch()
            except Exception:
                log.exception("effects state=failed")


def _epoll_events(events: int) -> int:
    return (IN if events & EVENT_READ else 0) | (OUT if events & EVENT_WRITE else 0)


def open_listening_socket(host: str, port: int, backlog: int) -> socket.socket:
    """A TCP socket that listens on this address."""
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
    """Accepts connections and passes them to a callback."""

    def __init__(self, poll: EpollSelector, sock: socket.socket, on_accept: Callable[[socket.socket], object]) -> None:
        """``on_accept`` is called with each new connection, a non-blocking socket."""
        self.poll, self.sock, self.on_accept = poll, sock, on_accept
        sock.setblocking(False)
        self.watched = False
        self.resume()

    def resume(self) -> None:
        """Accept again after an error has stopped it."""
        if not self.watched:
            self.watched = True
            self.poll.watch(self, self.sock.fileno())

    def ready(self, _event: int) -> None:
        """Accept all pending connections."""
        while True:
            try:
                client, _ = self.sock.accept()
            except BlockingIOError:
                return
            except ConnectionError:  # closed before it was accepted
                continue
            except OSError as error:
                # Out of file descriptors: the event would repeat at once and starve all other work. See ``resume``.
                log.error("accept state=failed cause=%s", error)
                self.watched = False
                self.poll.unwatch(self.sock.fileno())
                return
            client.setblocking(False)
            self.on_accept(client)

    def close(self) -> None:
        """Stop listening."""
        self.poll.unwatch(self.sock.fileno())
        self.sock.close()
