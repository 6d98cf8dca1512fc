"""A client with a kept channel."""
import asyncio
import itertools

import wire
from machines import KEY

numbers = itertools.count(1)


class Channel:
    """A channel to a machine, opened when needed."""

    def __init__(self, port):
        self.port, self.writer = port, None

    async def send(self, method, path, headers=(), body=b"", deadline_ms=12000):
        """Sends a request and returns its id."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=wire.MAX_HEAD)
        number = f"{next(numbers):016x}"
        fields = {"Host": "desk.example", "Request-Id": number, "Deadline-Ms": deadline_ms,
                  "Authorization": f"Bearer {KEY}", "Content-Length": len(body)} | dict(headers)
        lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in fields.items()]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        return number

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Answer:
    """What a client got: `status` 0 where no head came, `whole` where the body came to its
    end, `gave_up` where the client closed the channel."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False
        self.gave_up = False


async def receive(channel, patience_s):
    """Reads an answer; gives up where nothing comes for `patience_s`."""
    answer = Answer()
    try:
        message = await asyncio.wait_for(wire.read_message(channel.reader), patience_s)
        if message is None:
            channel.close()
            return answer
        answer.status, answer.headers = int(message[0].split(" ")[1]), message[1]
        if answer.headers.get("transfer-encoding") == "chunked":
            pieces = wire.chunks(channel.reader)
            while (piece := await asyncio.wait_for(anext(pieces, None), patience_s)) is not None:
                answer.body += piece
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await asyncio.wait_for(channel.reader.readexactly(length), patience_s)
        answer.whole = True
        if answer.headers.get("connection", "").lower() == "close":
            channel.close()
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
        answer.gave_up = isinstance(error, asyncio.TimeoutError)
        channel.close()
    return answer
