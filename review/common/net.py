"""Small HTTP server, client and TCP proxy for the stand-ins; standard library only."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any] | None]]


# A block of its own for each process, below the ephemeral ports: cases that run side by side do not meet.
_ports = itertools.count(12_000 + os.getpid() * 16 % 20_000)


def free_port() -> int:
    """A loopback port that nobody listens on."""
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool]:
    """First line, body, and whether the sender closes the connection afterwards."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], body, headers.get("connection", "").lower() == "close"


class HttpServer:
    """Keep-alive HTTP/1.1 server; a handler that returns None leaves its request without an answer."""

    def __init__(self, handler: Handler) -> None:
        """``handler`` gets method, path, query and decoded body."""
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> HttpServer:
        """Listen on a loopback port; 0: any."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, body, closes = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                answer = await self.handler(method, parts.path, query, json.loads(body) if body else {})
                if answer is None:
                    await asyncio.sleep(30.0)
                    return
                data = json.dumps(answer[1]).encode()
                head = (
                    f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
                if closes:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(
    address: str, method: str, path: str, body: Any = None, timeout: float = 2.0
) -> tuple[int, dict[str, Any]]:
    """Status and body; (0, {}) if there is no answer within ``timeout`` seconds."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
            )
            writer.write(head.encode() + data)
            line, answer, _ = await _read_message(reader)
            return int(line.split(" ")[1]), json.loads(answer) if answer else {}
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """TCP proxy to one address: passes, refuses, or holds bytes back and delivers them later in order."""

    def __init__(self, target: str) -> None:
        """``target``: HOST:PORT."""
        self.host, _, port = target.rpartition(":")
        self.target_port = int(port)
        self.port = 0
        self.mode = "pass"
        self.passing = asyncio.Event()
        self.passing.set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Proxy:
        """Listen on any loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode: str) -> None:
        """ "pass", "hold" (bytes wait, nothing is lost) or "refuse" (connections are reset)."""
        self.mode = mode
        if mode == "hold":
            self.passing.clear()
        else:
            self.passing.set()
        if mode == "refuse":
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            await self.passing.wait()
            other_reader, other_writer = await asyncio.open_connection(self.host, self.target_port)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        both = {writer, other_writer}
        self.writers |= both
        try:
            await asyncio.gather(self._pump(reader, other_writer), self._pump(other_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self.writers -= both
            for each in both:
                each.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
