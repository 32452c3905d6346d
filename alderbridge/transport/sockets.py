"""What curio's sockets need beside their own methods."""

from __future__ import annotations

import socket

import curio
from curio import socket as curio_socket
from curio.traps import _read_wait


async def read(sock: curio.io.Socket, max_bytes: int) -> bytes:
    """Wait, then read: where nothing can have arrived yet, this saves a call that would only say so."""
    await _read_wait(sock._fileno)
    return await sock.recv(max_bytes)


async def connect(host: str, port: int) -> curio.io.Socket:
    """A TCP connection. The platform gives numeric addresses, which need no name lookup in a thread."""
    sock = curio_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock
