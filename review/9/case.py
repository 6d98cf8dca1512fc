"""Clients ask for streams that may not be resumed, each on a kept channel. The engines are sound and number their events
by the tokens made so far. An event holds one token; while many requests run at an engine, one or several. For a while many
more clients come at once.

Rule: no more than three requests from kept channels are passed on to a sound engine and their channels closed
without an answer.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import CUT, HOST, TROUBLE, CannotRun, Engine, Store, config, read_answer, request, run_case

CLIENTS, X = 9, 2.4  # `burst`: x times the traffic
CALM_S, BURST_S = 4, 6
MANY = 10  # requests that run at an engine, from which on an event may hold several tokens
TOKENS, TOKEN_S = 24, 0.03
HELD = [1, 1, 3, 1, 1, 2, 4, 1]  # tokens of the events of a busy engine, in turn
PROMPT = "Model: m0\r\nTokens: 15,24\r\nPrefix-Hash: 5c1e07a2:8,91bd3f06:7\r\n"


class BatchingEngine(Engine):
    """An engine that joins tokens in events while it is busy."""

    async def stream(self, writer, headers):
        head = self.head(200, headers) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        made = events = 0
        while made < TOKENS:
            held = HELD[events % len(HELD)] if self.running >= MANY else 1
            held = min(held, TOKENS - made)
            await asyncio.sleep(TOKEN_S * held)
            made, events = made + held, events + 1
            event = b"id: %d\ndata: %s\n\n" % (made, b"text " * held)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def call(case, vm, engines, end, lost, asked):
    """Asks for one stream after the other until `end`, on a kept channel as long as that stays."""
    reader = writer = None
    while time.monotonic() < end:
        if writer is None:
            reader, writer = await asyncio.open_connection(HOST, vm.front)
            # The channel is a kept one from its second request on.
            writer.write(request("GET", "/lookup/a", 3000)[1])
            await read_answer(reader)
        name, bytes_ = request("POST", "/review/a", 25000, b"a prompt", PROMPT)
        writer.write(bytes_)
        status, headers, body, whole = await read_answer(reader)
        asked.append(name)
        seen = [line[4:].decode() for line in body.split(b"\n") if line.startswith(b"id: ")]
        runs = [engine.name for engine in engines for run in engine.runs if run["id"] == name]
        case.note("%s at %s: %s, %s, events %s; run at %s" % (
            name, vm.name, status, "whole" if whole else "closed before its end", ",".join(seen), ",".join(runs)))
        if runs and not whole:
            lost.append(name)
        if not whole or headers.get("connection") == "close":
            writer.close()
            writer = None


async def main(case):
    store = await Store().start()
    store.set("config", "main", config())
    zones = ["krk-a", "krk-b", "ktw-a"]
    engines = [BatchingEngine(store, "i-e%d" % n, "llm", zone, ["m0"]) for n, zone in enumerate(zones[:2])]
    for engine in engines:
        engine.slots = 16
        await engine.start()
    [await Engine(store, "i-p%d" % n, "plain", zone).start() for n, zone in enumerate(zones)]
    await case.start_vms(store, zones)
    lost, asked, begin = [], [], time.monotonic()
    end = begin + CALM_S + BURST_S

    def clients(count):
        return [call(case, case.vms[n % 3], engines, end, lost, asked) for n in range(count)]

    async def burst():
        await asyncio.sleep(CALM_S)
        case.note("%.1f times as many clients" % X)
        await asyncio.gather(*clients(round(CLIENTS * X) - CLIENTS))

    await asyncio.gather(*clients(CLIENTS), *([burst()] if TROUBLE else []))
    if any(vm.process.poll() is not None for vm in case.vms):
        raise CannotRun("a VM has ended")
    case.note("of %d streams %d were passed on to a sound engine and their channel closed before the answer's end"
              % (len(asked), len(lost)))
    return len(lost) > 3


run_case(main)
