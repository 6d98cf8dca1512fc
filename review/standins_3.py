"""Stand-ins for the platform of the cases 11 to 15: its store, its way to start a process, and
what it does about a process that uses more than its machine has. Standard library only."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "basilgw-platform")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.ini")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGUN = time.monotonic()

# Figures of a small deployment (om-basil).
MEMORY_MB, MAX_FDS, CPU_SHARE = 260, 4100, 0.25
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGUN


class Record:
    """Lines of record.txt, in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text):
        print(f"{now():8.3f} {text}", file=self.file, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def small_buffers(sock):
    """The pages: links have small windows, so a peer that does not read blocks the writer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)


def header(headers, name, default=""):
    return next((value for key, value in headers if key == name), default)


async def read_head(reader):
    """The first line and the headers of a request or an answer."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = raw.split("\r\n")
    pairs = [line.split(":", 1) for line in lines if ":" in line]
    return first, [(name.strip().lower(), value.strip()) for name, value in pairs]


async def read_body(reader, headers):
    if "chunked" in header(headers, "transfer-encoding"):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(header(headers, "content-length", "0")))


class Store:
    """The platform's store: objects by kind and name, lists, watches, conditional writes."""

    def __init__(self):
        self.objects, self.events, self.revision = {}, [], 10
        self.changed = asyncio.Event()
        self.port = None
        self.cut_off = set()

    async def open(self):
        self.port = await self.door("all")

    async def door(self, machine):
        """An address for one machine, which nothing passes while the machine is in `cut_off`."""

        async def serve(reader, writer):
            await self.serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def until_healed(self, machine):
        while machine in self.cut_off:
            await asyncio.sleep(0.01)

    def put(self, kind, name, spec):
        self.revision += 1
        metadata = {"name": name, "rev": self.revision, "finalizers": [], "deleting": False}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects.setdefault(kind, {})[name] = stored
        self.events.append((self.revision, kind, stored))
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    async def serve(self, machine, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.until_healed(machine)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                head += f"Store-Era: 1\r\nContent-Length: {len(text)}\r\n\r\n"
                await self.until_healed(machine)
                writer.write(head.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        _, _, kind, *rest = path.split("/")
        name = "/".join(rest)
        fields = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        kept = self.objects.get(kind, {})
        if method == "GET" and "watch" in fields:
            return await self.watch(kind, int(fields["watch"]), int(fields["wait_ms"]) / 1000)
        if method == "GET" and not name:
            items = [kept[n] for n in sorted(kept) if n > fields.get("after", "")]
            return 200, {"items": items, "more_pages": False, "store_revision": self.revision}
        if method == "GET":
            return (200, kept[name]) if name in kept else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            return (409, kept[name]) if name in kept else (200, self.put(kind, name, sent["spec"]))
        if name not in kept:
            return 404, {}
        expected = sent.get("metadata", {}).get("rev")
        if expected is not None and expected != kept[name]["metadata"]["rev"]:
            return 409, kept[name]
        return 200, self.put(kind, name, sent["spec"])

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            events = [
                {"object": stored, "removed": False}
                for revision, of, stored in self.events
                if revision > since and of == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def register(store, name, service, port, slots):
    """An engine's entry."""
    spec = {"service": service, "addr": f"127.0.0.1:{port}", "zone": "krk-a", "version": "v1"}
    spec |= {"slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1700000000000}
    store.put("servers", name, spec)


def route(name, kind, service, timeout_ms, public=False):
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "goal_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": public,
        "sticky": False,
        "resumable": False,
        "gap_goal_ms": 150,
    }


def configure(store, routes, service, *keys, version=7):
    services = [{"name": service, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1"}]
    tenants = [{"name": f"t{n}", "api_keys": [key], "priority": 1} for n, key in enumerate(keys)]
    spec = {"version": version, "routes": routes, "services": services, "limits": LIMITS}
    store.put("config", "main", spec | {"tenants": tenants})


class Machine:
    """A machine with one process of the deploy file, which the platform starts again when it ends."""

    def __init__(self, name, store_port, folder, record):
        self.name, self.record, self.process = name, record, None
        self.front, self.ready = free_port(), free_port()
        mesh, metrics = free_port(), free_port()
        self.fields = {
            "node": name,
            "zone": "krk-a",
            "ip": "127.0.0.1",
            "bootstrap": "true",
            "limits.cpu_share": CPU_SHARE,
            "limits.memory_mb": MEMORY_MB,
            "limits.max_fds": MAX_FDS,
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "port_range.0": mesh,
            "port_range.1": metrics,
            "provider.addr": f"127.0.0.1:{store_port}",
            "bounds.lease_ms": 3000,
            "bounds.revoke_ms": 5000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 8,
            "bounds.retry_budget": 0.2,
            "bounds.budget_slack": 58,
            "bounds.budget_window_s": 10,
        }
        self.settings = os.path.join(folder, f"{name}.ini")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.peak_mb, self.memory_ends, self.own_ends = 0, 0, 0

    def start(self):
        with open(TEMPLATE, encoding="utf-8") as template:
            text = re.sub(r"\{\{#.*?\{\{/[^}]*\}\}", "", template.read(), flags=re.S)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda m: str(self.fields[m[1]]), text)
        with open(self.settings, "w", encoding="utf-8") as settings:
            settings.write(text)
        command = [PROGRAM, "--settings", self.settings]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log, stderr=self.log)
        self.fields["bootstrap"] = "false"
        self.record.line(f"{self.name}: process started")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                found = re.search(r"VmRSS:\s+(\d+)", status.read())
        except OSError:
            return 0
        return int(found[1]) / 1024 if found else 0

    async def watch_memory(self):
        """Ends a process that exceeds the memory of its machine, and starts any that has ended again."""
        while True:
            await asyncio.sleep(0.05)
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.process.kill()
                self.process.wait()
                self.memory_ends += 1
                self.record.line(f"{self.name}: over its memory, {used:.0f} of {MEMORY_MB} MB; ended")
            elif self.process.poll() is not None:
                self.own_ends += 1
                self.record.line(f"{self.name}: ended by itself, {self.process.returncode}")
            else:
                continue
            await asyncio.sleep(1)
            self.start()

    def keep_to_cpu_share(self):
        """Gives the process its share of a core: it runs until the allowance of a tenth of a second is
        used up, and then not at all for the rest of it."""

        def used():
            total = 0
            for task in os.listdir(f"/proc/{self.process.pid}/task"):
                with open(f"/proc/{self.process.pid}/task/{task}/schedstat", encoding="ascii") as f:
                    total += int(f.read().split()[0])
            return total / 1e9

        def run():
            try:
                while True:
                    begun, before = time.monotonic(), used()
                    stopped = False
                    while time.monotonic() - begun < 0.1:
                        if not stopped and used() - before >= CPU_SHARE * 0.1:
                            self.process.send_signal(signal.SIGSTOP)
                            stopped = True
                        time.sleep(0.002)
                    if stopped:
                        self.process.send_signal(signal.SIGCONT)
            except (OSError, ValueError):
                pass

        threading.Thread(target=run, daemon=True).start()

    async def is_ready(self, within=1.0):
        async def ask():
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n")
            first = await reader.readline()
            writer.close()
            return b" 200 " in first

        try:
            return await asyncio.wait_for(ask(), within)
        except (OSError, asyncio.TimeoutError):
            return False

    async def until_ready(self):
        for _ in range(200):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def play(case):
    """Runs `case(folder, record)`, an async function that returns whether the rule was broken."""
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(here)
    if not os.path.exists(PROGRAM):
        record.line("the program is not built")
        sys.exit(2)

    async def bounded(folder):
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(case(folder, record), 110)

    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(bounded(folder))
    except Exception as error:  # the case could not run
        record.line(f"could not run: {error!r}")
        sys.exit(2)
    record.line("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
