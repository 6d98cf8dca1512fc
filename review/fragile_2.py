"""Engines that crash as they begin to write an answer on one part of prompts, and clients that ask with that part and without."""

import asyncio
import json
import random
import time

from standins_2 import HOST, TOUCH_S, TROUBLE, CannotRun, Engine, Store, config, read_answer, request

SOUND_S = 30  # sound requests a second
CALM_S, WATCHED_S = 8, 24
BACK_S, LAPSE_S = 4, 3.6  # an engine is back after some seconds; its entry lapses after three pings
DISK_S = 1  # `disk_s` of the model: an engine starts empty, with the copy of the weights on its disk
FIRST, BAD = "5c1e07a2:80", "bad0bad0:40"
random_ = random.Random(58)


class FragileEngine(Engine):
    """An engine that crashes as it begins to write an answer on the part, and is back as another lifetime."""

    crashes = []

    async def start(self):
        self.lifetime, self.up, self.writers, self.begun = 0, True, set(), set()
        self.numbers, self.gap_s = range(1, 16), 0.03
        self.base, self.seq, self.busy, self.born = self.name, 0, False, int(time.time() * 1000)
        await super().start()
        self.entry = self.store.objects["servers", self.name]["spec"]
        return self

    async def serve(self, reader, writer):
        if not self.up:
            return writer.transport.abort()
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def stream(self, writer, headers):
        self.begun.add(headers["request-id"])
        await asyncio.sleep(random_.uniform(0.05, 0.2))  # it reads the prompt
        if BAD in headers["prefix-hash"]:
            self.crash()
            raise ConnectionError
        await super().stream(writer, headers)

    def crash(self):
        if not self.up:
            return
        self.up, self.running = False, 0
        FragileEngine.crashes.append(time.monotonic())
        for writer in self.writers:
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self.come_back())

    async def come_back(self):
        """Its entry lapses; then it starts again, empty but for the copy of the weights on its disk."""
        await asyncio.sleep(LAPSE_S)
        self.store.remove("servers", self.name)
        await asyncio.sleep(BACK_S - LAPSE_S)
        self.lifetime += 1
        self.name, self.up, self.models = "%s-%d" % (self.base, self.lifetime), True, []
        self.seq, self.busy, self.born = 0, False, int(time.time() * 1000)
        self.register()

    def state(self):
        return {"models": self.held(), "born": self.born, "stage": "both",
                "at_hand": {"in_memory": [], "on_disk": ["m0"]}}

    def register(self):
        entry = {**self.entry, **self.state()}
        self.store.set("servers", self.name, entry)

    async def answer(self, line, headers, body, writer):
        if line[1] == "/report":
            report = {**self.state(), "busy": self.busy, "seq": self.seq, "queued": 0, "active": self.running,
                      "kv_used": 0, "kv_total": 143812, "handles": 0}
            return await self.write(writer, 200, headers, json.dumps(report).encode())
        own = headers.get("expect-instance", self.name) == self.name
        if line[1] == "/order" and own:
            return await self.write(writer, self.order(json.loads(body)), headers, b"")
        if own and "m0" not in self.models:
            return await self.write(writer, 421, headers, b"", "Not-Run: 1\r\n")
        await super().answer(line, headers, body, writer)

    def order(self, order):
        if self.busy or order.get("expect", self.seq) != self.seq:
            return 409
        if order["op"] != "load" or order["model"] in self.models:
            return 200
        self.seq, self.busy = self.seq + 1, True
        asyncio.get_running_loop().create_task(self.load(self.name, order["model"]))
        return 202

    async def load(self, name, model):
        await asyncio.sleep(DISK_S)
        if self.up and self.name == name:
            self.models, self.busy = [model], False
            self.register()


async def ask(case, vm, prompt, sound, asked):
    body = b"the prompt " + prompt.encode()  # no two alike
    path = random_.choice(["/draft/a", "/review/a"])
    name, bytes_ = request("POST", path, 12000, body, "Model: m0\r\nTokens: 140,50\r\nPrefix-Hash: %s\r\n" % prompt)
    sent = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(HOST, vm.front)
        writer.write(bytes_)
        status, _, _, whole = await read_answer(reader)
        writer.close()
    except OSError:
        status, whole = 0, False
    case.note("%s %s at %s, sent %.2f s ago: %s%s" % (
        name, "sound" if sound else "bad", vm.name, time.monotonic() - sent, status, "" if whole else ", not whole"))
    if sound:
        asked.append((sent, name))


async def send(case, a_second, sound, end, asked, draw_shared):
    tasks, count = [], 0
    while time.monotonic() < end:
        count += 1
        own = "%x%05x:12" % (1 + sound, count)  # of this request alone
        parts = [FIRST] + draw_shared(random_, sound) + ([] if sound else [BAD]) + [own]
        tasks.append(asyncio.create_task(ask(case, random_.choice(case.vms), ",".join(parts), sound, asked)))
        await asyncio.sleep(random_.uniform(0.5, 1.5) / a_second)
    await asyncio.gather(*tasks)


async def outbreak(case, bad_a_second, draw_shared):
    """Returns whether too few sound requests began; `draw_shared` gives the parts between the first and the last or bad one."""
    store = await Store().start()
    store.set("config", "main", config())
    zones = ["krk-a", "krk-b", "ktw-a"]
    engines = [await FragileEngine(store, "i-e%d" % n, "llm", zones[n % 3], ["m0"]).start() for n in range(9)]
    await case.start_vms(store, zones)
    begin = time.monotonic()
    trouble, end = begin + CALM_S, begin + CALM_S + WATCHED_S
    asked = []

    async def send_bad():
        await asyncio.sleep(CALM_S)
        await send(case, bad_a_second, False, end, asked, draw_shared)

    await asyncio.gather(send(case, SOUND_S, True, end, asked, draw_shared), *([send_bad()] if TROUBLE else []))
    crashes = FragileEngine.crashes
    case.note("crashes: " + ", ".join("%.2f s" % (at - case.began) for at in crashes))
    for vm in case.vms:
        if vm.process.poll() is not None:
            raise CannotRun("a VM has ended")
        with open(vm.log.name) as log:
            for line in log:
                if "quarantined" in line or "part_released" in line:
                    case.note(vm.name + " logs " + line.strip())
    begun = set().union(*[engine.begun for engine in engines])
    since = (crashes[:5][-1] if crashes else trouble) + 2 * TOUCH_S

    def share(lowest, highest):
        names = [name for sent, name in asked if lowest <= sent < highest]
        case.note("sound requests sent from %.2f s to %.2f s: %d, begun: %d" % (
            lowest - case.began, highest - case.began, len(names), len(begun.intersection(names))))
        return len(names), len(begun.intersection(names)) / max(1, len(names))

    (calm, before), (late, after) = share(begin, trouble), share(since, end)
    if min(calm, late) < 20:
        raise CannotRun("too few requests")
    return after < before / 2
