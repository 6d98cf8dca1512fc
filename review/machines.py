"""The platform: its store, and the processes that it starts with the commands of the deploy file."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY = "k3y0fthedesk9q8w7e6r"
TENANT = "desk"
BOUNDS = {"lease_ms": 3000, "revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8,
          "retry_budget": 0.2, "budget_slack": 58, "budget_window_s": 10}
ANSWER_S = 0.004
PORTS = (20000, 32000)


class Store:
    """Objects by kind and name, with revisions, conditional writes and watches. `era` rises when it
    comes back from an older copy."""

    era = 1

    def __init__(self):
        self.objects = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.port = None

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)

    async def put(self, kind, name, spec):
        async with self.changed:
            old = self.objects.get((kind, name))
            if old is not None and old["spec"] == spec:
                return old
            self.revision += 1
            created = old["metadata"]["created_rev"] if old else self.revision
            meta = {"name": name, "rev": self.revision, "created_rev": created,
                    "finalizers": [], "deleting": False}
            entry = {"metadata": meta, "spec": spec, "status": {}}
            self.objects[kind, name] = entry
            self.events.append((self.revision, kind, entry, False))
            self.changed.notify_all()
            return entry

    async def remove(self, kind, name):
        async with self.changed:
            entry = self.objects.pop((kind, name))
            self.revision += 1
            self.events.append((self.revision, kind, entry, True))
            self.changed.notify_all()

    async def handle(self, method, target, headers, body, reader, writer):
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        status, answer = await self.call(method, url.path.split("/")[2:], query, body)
        fields = {"Content-Type": "application/json", "Store-Era": self.era}
        writer.write(wire.response(status, fields, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def call(self, method, path, query, body):
        kind, name = path[0], path[1] if len(path) > 1 else None
        if method == "GET" and name is None:
            return await self.watch(kind, query) if "watch" in query else self.list(kind)
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        sent = json.loads(body) if body else {"metadata": {}}
        name = name or sent["metadata"]["name"]
        rev = sent["metadata"].get("rev", query.get("rev"))
        found = self.objects.get((kind, name))
        if method == "POST":
            return (409, found) if found else (200, await self.put(kind, name, sent["spec"]))
        if found is None:
            return 404, {}
        if rev is not None and int(rev) != found["metadata"]["rev"]:
            return 409, found
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, found
        return 200, await self.put(kind, name, sent["spec"])

    def list(self, kind):
        items = [entry for (of, _), entry in sorted(self.objects.items()) if of == kind]
        return 200, {"items": items, "more_pages": False, "store_revision": self.revision}

    async def watch(self, kind, query):
        since, end = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        async with self.changed:
            while True:
                events = [{"object": entry, "removed": removed}
                          for rev, of, entry, removed in self.events if of == kind and rev > since]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def free_ports(count):
    """Ports of 127.0.0.1 that are free for TCP and UDP, below those that the system gives to
    connections: one of these may be taken again before the process binds it."""
    held, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            tcp.bind(("127.0.0.1", random.randrange(*PORTS)))
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for each in held:
        each.close()
    return ports


class Machine:
    """One process of the role `edge`, with its settings in a temporary folder."""

    def __init__(self, name, zone, store_port, bootstrap=True):
        front, ready, mesh, metrics = free_ports(4)
        self.name, self.front, self.ready = name, front, ready
        self.settings = {
            "node": name, "zone": zone, "bootstrap": bootstrap, "ip": "127.0.0.1",
            "limits": {"cpu_share": 0.25, "memory_mb": 260, "max_fds": 4100}, "port_range": [mesh, metrics], "bounds": BOUNDS,
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "provider": {"addr": f"127.0.0.1:{store_port}"}}
        self.folder = tempfile.mkdtemp(prefix="basilgw-review-")
        self.process = None

    def value(self, path):
        found = self.settings
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found).lower() if isinstance(found, bool) else str(found)

    def start(self):
        deploy = open(os.path.join(ROOT, "deploy/system.toml")).read()
        run = re.search(r'^run = "(.*)"', deploy, re.M)[1].split()
        template = open(os.path.join(ROOT, re.search(r'^template = "(.*)"', deploy, re.M)[1])).read()
        # A section is left out where its value is missing; the settings here have none that a section asks for.
        template = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", template, flags=re.S)
        path = os.path.join(self.folder, "settings.ini")
        with open(path, "w") as file:
            file.write(re.sub(r"\{\{([\w.]+)\}\}", lambda found: self.value(found[1]), template))
        run = [path if word.startswith("/etc/") else word for word in run]
        self.log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(run, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "BASILGW_BOOT": path})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            return b" 200 " in answer.split(b"\r\n")[0]
        except ConnectionError:
            return False

    async def until_ready(self, within=15):
        end = time.monotonic() + within
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} isn't ready in time")
            await asyncio.sleep(0.05)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    """A route of the configuration; its path is /NAME/."""
    found = {"name": name, "host": "desk.example", "path_prefix": f"/{name}/", "kind": kind,
             "timeout_ms": 12000, "goal_ms": 300, "priority": 1, "service": service,
             "attempts": 2, "public": False, "sticky": False, "resumable": False}
    return found | more


def configuration(routes, services):
    """The operator's first configuration."""
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]}
