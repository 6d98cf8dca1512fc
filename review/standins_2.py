"""Stand-ins of the platform's store, of engines and of clients, on loopback, and VMs of the system.

Only Python's standard library. A case imports this and calls `run_case`.
"""

import asyncio
import itertools
import json
import os
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
KEY = "i9n73hh2b9wu3fexd9dn"
ORDINARY_KEY = "n2ctnfzs989anu6wsjnb"
TOUCH_S = 3.0
CUT = (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError)


class CannotRun(Exception):
    """The case could not run."""


async def read_head(reader):
    """First line and headers of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    """A body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


def need_descriptors(count):
    """Lets this process, and those that it starts, open so many descriptors, as the settings of a VM say."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < count:
        if hard != resource.RLIM_INFINITY and hard < count:
            raise CannotRun("too few descriptors: %d" % hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes."""

    def __init__(self):
        self.objects, self.events, self.revision = {}, [], 10
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 22)
        self.at = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.server = server
        return self

    def set(self, kind, name, spec):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["metadata"]["created_rev"] if old else self.revision
        meta = {"name": name, "rev": self.revision, "created_rev": created, "finalizers": [], "deleting": False}
        self.objects[kind, name] = {"metadata": meta, "spec": spec, "status": None}
        self.note(kind, self.objects[kind, name], False)
        return self.objects[kind, name]

    def remove(self, kind, name):
        self.revision += 1
        self.note(kind, self.objects.pop((kind, name)), True)

    def note(self, kind, found, removed):
        self.events.append((self.revision, kind, found, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(" ")
                status, value = await self.answer(method, path, await read_body(reader, headers))
                body = json.dumps(value).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(body))).encode() + body)
                await writer.drain()
        except CUT:
            pass
        finally:
            writer.close()

    async def answer(self, method, path, body):
        path, _, query = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        kind, *name = [urllib.parse.unquote(part) for part in path.split("/")[2:]]
        if method == "GET" and not name:
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            items = [found for (of, _), found in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "more_pages": False, "store_revision": self.revision}
        value = json.loads(body) if body else {}
        name = name[0] if name else value["metadata"]["name"]
        found = self.objects.get((kind, name))
        if method == "POST":
            return (409, found) if found else (200, self.set(kind, name, value["spec"]))
        if not found:
            return 404, {}
        if method == "GET":
            return 200, found
        expected = query.get("rev", value.get("metadata", {}).get("rev"))
        if expected is not None and int(expected) != found["metadata"]["rev"]:
            return 409, found
        if method == "PUT":
            return 200, self.set(kind, name, value["spec"])
        self.remove(kind, name)
        return 200, {}

    async def watch(self, kind, revision, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"removed": removed, "object": found}
                      for at, of, found, removed in self.events if at > revision and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine:
    """An engine with models, or an instance of a plain service where `models` is absent."""

    def __init__(self, store, name, service, zone, models=None):
        self.store, self.name, self.service, self.zone, self.models = store, name, service, zone, models
        self.runs, self.running, self.slots = [], 0, 64 if models else 6
        self.work_s, self.numbers, self.gap_s = 0.06, [1, 2, 3], 0.02

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        self.server, address = server, "%s:%d" % server.sockets[0].getsockname()[:2]
        entry = {"service": self.service, "addr": address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
                 "born": int(time.time() * 1000), "stage": "both", "models": self.held()}
        self.store.set("servers", self.name, entry)
        return self

    def held(self):
        return [{"name": model, "version": 1, "adapters": []} for model in self.models or []]

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(line.split(" "), headers, body, writer)
        except CUT:
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        if line[1] == "/report":
            report = {"stage": "both", "models": self.held(), "busy": False, "seq": 0, "queued": 0,
                      "active": self.running, "kv_used": 0, "kv_total": 90000, "handles": 0}
            return await self.write(writer, 200, headers, json.dumps(report).encode())
        if headers.get("expect-instance", self.name) != self.name:
            return await self.write(writer, 421, headers, b"", "Not-Run: 1\r\n")
        if line[1] == "/order":
            return await self.write(writer, 409, headers, b"")
        run = {"at": time.monotonic(), "id": headers["request-id"], "path": line[1], "whole": False}
        self.runs.append(run)
        self.running += 1
        try:
            if self.models is not None:
                await self.stream(writer, headers)
            else:
                await asyncio.sleep(self.work_s)
                await self.write(writer, 200, headers, b"done " + headers["request-id"].encode())
            run["whole"] = True
        finally:
            self.running -= 1

    def head(self, status, headers):
        text = "HTTP/1.1 %d X\r\nInstance: %s\r\nLoad: %d,0,%d\r\n" % (status, self.name, self.running, self.slots)
        if "request-id" in headers:
            text += "Request-Id: %s\r\nServer-Seal: %s.%s\r\n" % (headers["request-id"], self.name, headers["request-id"])
        return text

    async def write(self, writer, status, headers, body, more=""):
        head = self.head(status, headers) + more + "Content-Length: %d\r\n\r\n" % len(body)
        writer.write(head.encode() + body)
        await writer.drain()

    async def stream(self, writer, headers):
        head = self.head(200, headers) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in [n for n in self.numbers if n > int(headers.get("last-event-id", 0))]:
            await asyncio.sleep(self.gap_s)
            event = b"id: %d\ndata: text\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


PLATFORM = {
    "bootstrap": "true", "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100},
    "bounds": {"lease_ms": 3000, "revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8,
               "retry_budget": 0.2, "budget_slack": 58, "budget_window_s": 10},
}


def fill(template, fields):
    """The settings template with its placeholders filled in, as the platform does."""
    template = re.sub(r"\{\{#.*?\}\}.*?\{\{/.*?\}\}", "", template, flags=re.S)

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{(.*?)\}\}", value, template)


class Vm:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, store, name, zone, folder):
        free = [asyncio.base_events.socket.socket() for _ in range(4)]
        for one in free:
            one.bind((HOST, 0))
        self.front, self.ready_port, mesh, metrics = [one.getsockname()[1] for one in free]
        for one in free:
            one.close()
        fields = {**PLATFORM, "node": name, "zone": zone, "ip": HOST, "port_range": [mesh, metrics],
                  "listen": {"front": "%s:%d" % (HOST, self.front), "ready": "%s:%d" % (HOST, self.ready_port)},
                  "provider": {"addr": store.at}}
        with open(os.path.join(ROOT, "deploy/settings.ini")) as template:
            settings = fill(template.read(), fields)
        path = os.path.join(folder, name + ".ini")
        with open(path, "w") as file:
            file.write(settings)
        self.name, self.log = name, open(os.path.join(folder, name + ".log"), "wb")
        with open(os.path.join(ROOT, "deploy/system.toml")) as deploy:
            command = re.search(r'^run = "(.*)"', deploy.read(), re.M)[1]
        command = command.replace("/etc/basilgw/settings.toml", path).split()
        environment = {**os.environ, "BASILGW_BOOT": path}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        """The platform's question, as it asks it once a second."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def route(name, kind, service, attempts, timeout_ms, goal_ms, resumable=False):
    return {"name": "r-" + name, "host": "h.example", "path_prefix": "/%s/" % name, "kind": kind,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 1, "service": service, "attempts": attempts,
            "public": False, "sticky": service == "llm", "resumable": resumable, "gap_goal_ms": 150}


def config():
    """A configuration like that of a small deployment."""
    model = {"name": "m0", "weights_mb": 65100, "load_s": 6, "adapters": 0, "adapter_mb": 12, "warm_s": 0.6, "disk_s": 1}
    engine = {"slots": 64, "kv_tokens": 143812, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 2.1,
              "models": [model]}
    tenant = {"priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}
    return {
        "version": 7,
        "routes": [route("draft", "streaming", "llm", 2, 12000, 300, True),
                   route("review", "streaming", "llm", 1, 25000, 3000),
                   route("reserve", "mutating", "plain", 1, 1500, 300),
                   route("lookup", "idempotent", "plain", 2, 1500, 300)],
        "services": [{"name": "llm", "health_path": "/healthz", "max_conns": 370, "engine": engine},
                     {"name": "plain", "health_path": "/healthz", "max_conns": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "crowd", "api_keys": [KEY], **tenant},
                    {"name": "ordinary", "api_keys": [ORDINARY_KEY], **tenant}],
    }


numbers = itertools.count(1)


def request(method, path, deadline_ms, body=b"", more="", key=ORDINARY_KEY):
    """Id and bytes of a request."""
    name = "%016x" % (0x9C41D07B00000000 + next(numbers))
    head = ("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s"
            % (method, path, name, deadline_ms, key, more))
    if method == "POST" and "Transfer-Encoding" not in more:
        head += "Content-Length: %d\r\n" % len(body)
    return name, head.encode() + b"\r\n" + body


async def read_answer(reader):
    """Status, headers, body as far as it came, and whether it came to its end; status 0 where none came."""
    body = b""
    try:
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
    except CUT:
        return 0, {}, b"", False
    try:
        if "chunked" not in headers.get("transfer-encoding", ""):
            return status, headers, await read_body(reader, headers), True
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return status, headers, body, True
    except CUT:
        return status, headers, body, False


class Case:
    """What a case has started, and its record."""

    def __init__(self, folder, record):
        self.folder, self.record, self.vms, self.began = folder, record, [], time.monotonic()

    def note(self, text):
        self.record.write("%7.3f s  %s\n" % (time.monotonic() - self.began, text))

    async def start_vms(self, store, zones):
        """Starts one VM in each zone, and waits until all are ready and in touch."""
        for number, zone in enumerate(zones, 1):
            self.vms.append(Vm(store, "edge-%s-%d" % (zone, number), zone, self.folder))
        end = time.monotonic() + 20
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > end:
                raise CannotRun("the VMs are not ready")
            await asyncio.sleep(0.05)
        self.note("%d VMs are ready" % len(self.vms))
        await asyncio.sleep(TOUCH_S + 1)


def run_case(main):
    """Runs `main(case)`, which returns whether the rule was broken, and exits as a case has to."""
    folder = tempfile.mkdtemp(prefix="basilgw-case-")
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    code = 2
    with open(path, "w") as record:
        case = Case(folder, record)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        try:
            case.note("with the disruption" if TROUBLE else "without the disruption")

            async def bounded():
                return await asyncio.wait_for(main(case), 110)

            loop = asyncio.new_event_loop()
            loop.set_exception_handler(lambda *_: None)
            broken = loop.run_until_complete(bounded())
            code = 1 if broken else 0
            case.note("the rule was broken" if broken else "the rule held")
        except Exception as error:  # whatever it is, it says nothing of the rule
            case.note("the case could not run: %r" % error)
        finally:
            for vm in case.vms:
                vm.end()
            shutil.rmtree(folder, ignore_errors=True)
    print(open(path).read().splitlines()[-1])
    sys.stdout.flush()
    os._exit(code)
