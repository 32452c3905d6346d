"""Operations on curio's sockets beyond their own methods."""

from __future__ import annotations

import socket

import curio
from curio import socket as curio_socket
from curio.traps import _read_wait


async def read(sock: curio.io.Socket, max_bytes: int) -> bytes:
    """Wait until the socket is readable, then read: curio would first try a recv, which mostly finds no data yet."""
    await _read_wait(sock._fileno)
    return await sock.recv(max_bytes)


async def connect(host: str, port: int) -> curio.io.Socket:
    """Open a TCP connection. Addresses from the platform are numeric: a name lookup would block all tasks."""
    sock = curio_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except BaseException:
        await sock.close()
        raise
    return sock
