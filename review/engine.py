"""An engine or a plain service: registration, report, orders, and requests that a case's own
function answers."""
import json
import time

import wire

MODEL = {"name": "m1", "weights_mb": 65100.0, "load_s": 6.0, "adapters": 0, "adapter_mb": 12.0,
         "warm_s": 0.6, "disk_s": 1.0}


def model_service(name, slots):
    """A service of model engines in the configuration."""
    return {"name": name, "health_path": "/healthz", "max_conns": 370, "engine": {
        "slots": slots, "models": [MODEL], "weights_mb": 200000.0, "adapter_slots": 8,
        "loads_per_s": 2.1}}


class Engine:
    """`answer(engine, path, headers, body, reader, writer)` answers one request and returns whether
    the channel stays open."""

    def __init__(self, store, name, service, zone, slots, answer, models=(MODEL["name"],)):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots, self.answer, self.models = slots, answer, list(models)
        self.born, self.seq, self.running = int(time.time() * 1000), 0, 0

    async def start(self):
        self.server, self.port = await wire.serve(self.handle)
        await self.register()

    def holdings(self):
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def register(self, **more):
        entry = {"service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone,
                 "version": "1", "slots": self.slots, "state": "ready", "cold_left_ms": 0,
                 "seq": 1, "born": self.born, "stage": "both", "models": self.holdings()}
        await self.store.put("servers", self.name, entry | more)

    def seal(self, headers):
        """Headers of an answer of this engine."""
        return {"Request-Id": headers["request-id"], "Server-Seal": f"seal.{self.name}",
                "Instance": self.name, "Load": f"{self.running},0,{self.slots}"}

    async def handle(self, method, path, headers, body, reader, writer):
        if path == "/report":
            report = {"stage": "both", "models": self.holdings(), "busy": False, "seq": self.seq,
                      "queued": 0, "active": self.running, "kv_used": 0, "kv_total": 143812,
                      "handles": 0, "born": self.born}
            writer.write(wire.response(200, {"Content-Type": "application/json"},
                                       json.dumps(report).encode()))
        elif path == "/order":
            order = json.loads(body)
            if order.get("expect", self.seq) != self.seq:
                writer.write(wire.response(409, {}))
            elif (order["model"] in self.models) == (order["op"] == "load"):
                writer.write(wire.response(200, {}))
            else:
                self.seq += 1
                (self.models.append if order["op"] == "load" else self.models.remove)(order["model"])
                writer.write(wire.response(202, {}))
                await self.register()
        elif path == "/healthz":
            writer.write(wire.response(200, {"Instance": self.name}))
        elif headers.get("expect-instance", self.name) != self.name:
            fields = {"Request-Id": headers["request-id"], "Instance": self.name, "Not-Run": 1}
            writer.write(wire.response(421, fields))
        else:
            return await self.answer(self, path, headers, body, reader, writer)
        await writer.drain()
        return True
