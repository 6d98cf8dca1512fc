"""Measures the cost of gateway processes that serve no requests.

tests/peer_processes.py BIN COUNT... starts a stand-in platform and COUNT gateways from the
directory BIN on the loopback interface, for each COUNT in turn. It prints one JSON line for each
COUNT: processor time, memory, and bytes and frames of the peer links, each per VM.
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

WARM_UP_S = 15
MEASURED_S = 20
START_TIMEOUT_S = 30
CENTRES = 5
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTINGS = """[node]
vm = {vm}
centre = centre-{centre}
threads = 2
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
address = {platform}
"""


def start(arguments, out):
    with open(out, "wb") as file:
        return subprocess.Popen(arguments, stdout=file, stderr=subprocess.STDOUT)


def wait_line(path, text):
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        for line in pathlib.Path(path).read_text().splitlines():
            if text in line:
                return json.loads(line)
        time.sleep(0.05)
    raise TimeoutError(f"{path} has no line with {text}")


def process_usage(pid):
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    resident = int(status.split("VmRSS:")[1].split()[0])
    return (int(stat[11]) + int(stat[12])) / TICKS_PER_S, resident


def peer_metrics(operators):
    with urllib.request.urlopen(f"http://{operators}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    pairs = (line.split() for line in lines if line.startswith("basilgw_peer_"))
    return {name: float(value) for name, value in pairs}


def totals(started, processes):
    cpu, resident = zip(*(process_usage(p.pid) for p in processes))
    counted = [peer_metrics(s["operators"]) for s in started]
    names = ("bytes_in", "bytes_out", "frames_out", "opened", "replaced", "rejected")
    sums = {n: sum(c[f"basilgw_peer_{n}_total"] for c in counted) for n in names}
    return time.monotonic(), sum(cpu), sum(resident), sums


def measure(binaries, count, work):
    processes = []
    try:
        processes.append(start([f"{binaries}/standin", "platform"], f"{work}/platform"))
        platform = wait_line(f"{work}/platform", "listening")
        for index in range(count):
            vm = f"entry-{index:04}"
            settings = SETTINGS.format(
                vm=vm, centre=index % CENTRES, platform=platform["listening"]
            )
            pathlib.Path(f"{work}/{vm}.ini").write_text(settings)
            command = [f"{binaries}/basilgw", "run", "--settings", f"{work}/{vm}.ini"]
            processes.append(start(command, f"{work}/{vm}.log"))
        started = [
            wait_line(f"{work}/entry-{i:04}.log", '"msg":"started"') for i in range(count)
        ]
        instances = [
            {
                "vm": f"entry-{i:04}",
                "kind": "gateway",
                "state": "live",
                "generation": 1,
                "centre": f"centre-{i % CENTRES}",
                "address": s["peers"],
            }
            for i, s in enumerate(started)
        ]
        request = urllib.request.Request(
            f"http://{platform['admin']}/admin/instances",
            data=json.dumps(instances).encode(),
            method="PUT",
        )
        urllib.request.urlopen(request, timeout=5).close()
        time.sleep(WARM_UP_S)
        began, cpu_before, _, before = totals(started, processes[1:])
        time.sleep(MEASURED_S)
        ended, cpu, resident, after = totals(started, processes[1:])
        span = ended - began
        line = {"processes": count, "seconds": round(span, 1)}
        line["cpu_percent"] = round((cpu - cpu_before) / span / count * 100, 3)
        line["resident_kib"] = round(resident / count)
        for name in before:
            line[name] = round((after[name] - before[name]) / span / count, 2)
        print(json.dumps(line), flush=True)
    finally:
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()


def main():
    binaries, *counts = sys.argv[1:]
    for count in counts:
        with tempfile.TemporaryDirectory() as work:
            measure(binaries, int(count), work)


if __name__ == "__main__":
    main()
