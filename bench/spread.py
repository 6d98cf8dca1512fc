"""Starts VM processes, submits changes, and asks every VM for its revision until all have it."""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request

BIN = os.path.join(os.path.dirname(__file__), "..", "target", "release")
CHANGES = 20


def call(method, address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as answer:
        return answer.read()


def first_line(path, text):
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        with open(path) as file:
            for line in file:
                if text in line:
                    return json.loads(line)
        time.sleep(0.02)
    raise TimeoutError(path)


def revision(vm):
    return json.loads(call("GET", vm["operators"], "/status"))["revision"]


def measure(vms, admin, down):
    spans = []
    for number in range(CHANGES):
        site = {"accounts": {"a": {"rate": number + 1 + 1000 * down, "burst": 1000}}}
        change = {"id": f"c-{down:d}-{number}", "actor": "bench", "parent": None, "declaration": site}
        target = json.loads(call("POST", vms[number % len(vms)]["operators"], "/apply", change))["revision"]
        accepted = time.monotonic()
        if down:
            call("PUT", admin, "/admin/faults", {"refuse": True})
        while min(map(revision, vms)) < target:
            if time.monotonic() - accepted > 30:
                raise TimeoutError("a VM stays behind")
        spans.append((time.monotonic() - accepted) * 1000)
        if down:
            call("PUT", admin, "/admin/faults", {})
            time.sleep(0.5)
    spans.sort()
    print(json.dumps({"vms": len(vms), "changes": CHANGES, "store_down_after_accept": bool(down),
                      "median_ms": round(spans[len(spans) // 2], 1), "worst_ms": round(spans[-1], 1)}))


def main(count):
    started = []
    with tempfile.TemporaryDirectory() as work:
        try:
            out = f"{work}/platform"
            with open(out, "w") as file:
                started.append(subprocess.Popen([f"{BIN}/standin", "platform"], stdout=file))
            platform = first_line(out, "listening")
            vms, instances = [], []
            for number in range(count):
                name = f"vm-{number + 1}"
                with open(f"{work}/{name}.ini", "w") as ini:
                    ini.write(f"[node]\nvm = {name}\ncentre = north\nthreads = 1\n[listen]\n"
                              "callers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
                              f"[platform]\naddress = {platform['listening']}\n[shutdown]\nlinger = 0\n")
                with open(f"{work}/{name}.log", "w") as log:
                    command = [f"{BIN}/basilgw", "run", "--settings", f"{work}/{name}.ini"]
                    started.append(subprocess.Popen(command, stderr=log))
                vms.append(first_line(f"{work}/{name}.log", "started"))
                instances.append({"vm": name, "kind": "gateway", "state": "live", "generation": 1,
                                  "centre": "north", "address": vms[-1]["peers"]})
            call("PUT", platform["admin"], "/admin/instances", instances)
            time.sleep(3)
            for down in (0, 1):
                measure(vms, platform["admin"], down)
        finally:
            for process in started:
                process.terminate()
            for process in started:
                process.wait()


if __name__ == "__main__":
    main(int(sys.argv[1]))
