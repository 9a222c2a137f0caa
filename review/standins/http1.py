"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json

MAX_BODY_BYTES = 4 * 1024 * 1024

# A handler returns this to leave a call without an answer; the connection then stays silent until the caller closes it.
NO_ANSWER = object()


async def _read_message(reader):
    """Reads a start line, headers and a body. Returns None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    if length > MAX_BODY_BYTES:
        raise ValueError("the body is too long")
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


def _encode(status, value):
    body = b"" if value is None else json.dumps(value).encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(host, port, handler, connections=None):
    """Serves `handler(method, path, headers, body)`, which returns a status and a JSON value, or NO_ANSWER.

    The writers of the open connections are kept in the set `connections`, if there is one.
    """

    async def connection(reader, writer):
        if connections is not None:
            connections.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, headers, body)
                if answer is NO_ANSWER:
                    await reader.read()
                    break
                writer.write(_encode(*answer))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            if connections is not None:
                connections.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, host, port)


async def call(address, method, path, body=None, headers=None, timeout=3.0, host=None):
    """Makes one call on a new connection. Returns the status and the JSON value, or None without an answer."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address}", f"Content-Length: {len(data)}"]
            lines += ["Content-Type: application/json"] + [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await _read_message(reader)
            if message is None:
                return None
            line, _, answer = message
            status = int(line.split(" ")[1])
            return status, (json.loads(answer) if answer else None)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
