"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""
import asyncio

MAX_HEAD = 1 << 16


async def read_message(reader):
    """First line, headers (names in lower case) and body; None where the channel ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """The whole body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([piece async for piece in chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def chunks(reader):
    """The pieces of a chunked body; raises IncompleteReadError where it is broken off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield piece[:-2]


def response(status, headers, body=b""):
    """A response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(headers):
    """The head of a response in chunks."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    """One chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def serve(handle):
    """Serves on a free loopback port. `handle(method, path, headers, body, writer)` writes one
    response and returns whether the channel stays open."""

    async def on_channel(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                first, headers = message
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers)
                if not await handle(method, path, headers, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_channel, "127.0.0.1", 0, limit=MAX_HEAD, backlog=1024)
    return server, server.sockets[0].getsockname()[1]
