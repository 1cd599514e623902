"""Stand-ins for one small deployment, on loopback and the real clock.

The module holds a key-value store, a cloud, workers, users and the platform that starts the
controllers. All follow PROTOCOL-lilacfork.md and DEPLOY-lilacfork.md. Where these pages are
silent they behave like a sound server, client or platform. Python's standard library only.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_BODY = 64 * 1024


class CannotRun(Exception):
    """The case couldn't run; it says nothing about the rule."""


def dumps(value):
    return json.dumps(value, separators=(",", ":")).encode()


# ---- HTTP ----


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Server:
    """An HTTP/1.1 server. `handler(method, path, query, body)` returns (status, value), or
    None for no answer at all."""

    def __init__(self, handler, max_body=MAX_BODY):
        self.handler = handler
        self.max_body = max_body
        self.port = None
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                method, target, _ = start.split(" ", 2)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                if length > self.max_body:
                    answer = (413, {"error": "body too large"})
                else:
                    answer = await self.handler(method, path, query, body)
                if answer is None:
                    await reader.read()  # until the caller gives up
                    return
                status, value = answer
                data = value if isinstance(value, bytes) else dumps(value)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close_connections(self):
        for writer in list(self.writers):
            writer.close()

    def stop(self):
        self.server.close()
        self.close_connections()


class Client:
    """A connection that stays open between requests, as HTTP/1.1 clients keep it."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, value=None, timeout=5.0):
        """Returns (status, headers, body), or None without a response in time."""
        data = b"" if value is None else value if isinstance(value, bytes) else dumps(value)
        try:
            return await asyncio.wait_for(self.exchange(method, path, data), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
            self.close()
            return None
        except BaseException:
            self.close()
            raise

    async def exchange(self, method, path, data):
        if self.writer is None or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.port, limit=8 << 20
            )
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await self.writer.drain()
        start, headers = await read_head(self.reader)
        status = int(start.split(" ")[1])
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body


# ---- the key-value store ----


class Rate:
    """A limit per second that allows bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, cost):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


class Store:
    """The state service. It has a listener for each controller, so that it can refuse one."""

    KEPT_CHANGES = 10_000

    def __init__(self, world, limits):
        self.world, self.limits = world, limits
        self.items = {}  # key -> (value as JSON bytes, revision, lease)
        self.revision = 1
        self.changes = deque()  # (revision, key, value bytes or None)
        self.dropped_up_to = 0
        self.leases = {}  # id -> [ttl_s, expires, keys]
        self.last_lease = 0
        self.requests = Rate(limits["rps"])
        self.writes = Rate(limits["write_rps"])
        self.refused = set()  # controllers that get 503
        self.cut = set()  # controllers whose requests and answers are lost
        self.changed = asyncio.Event()
        self.servers = []
        self.counts = {}

    async def start(self, controllers):
        for number in range(controllers):
            self.servers.append(await Server(self.handler_for(number)).start())
        self.world.background(self.expire())

    def handler_for(self, number):
        async def handle(method, path, query, body):
            if number in self.cut:
                return None
            answer = await self.answer(number, method, path, query, body)
            return None if number in self.cut else answer

        return handle

    async def answer(self, number, method, path, query, body):
        if number in self.refused:
            return 503, {"error": "refused"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        self.counts[path.split("/")[1]] = self.counts.get(path.split("/")[1], 0) + 1
        if path == "/follow":
            return await self.follow(number, query)
        if method == "POST" and path == "/txn":
            return self.txn(json.loads(body))
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            return self.get(path[4:])
        return self.lease(method, path, body)

    def get(self, key):
        if key not in self.items:
            return 404, {"tirage": self.revision}
        return 200, self.row(key)

    def row(self, key):
        value, revision, lease = self.items[key]
        tail = b',"bail":%d' % lease if lease else b""
        return b'{"k":%s,"v":%s,"retouche":%d%s}' % (dumps(key), value, revision, tail)

    def list(self, query):
        prefix, after = query.get("under", ""), query.get("from", "")
        limit = min(1000, int(query.get("limit", "1000")))
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows, size, more = [], 0, False
        for key in keys:
            row = self.row(key)
            if len(rows) >= limit or size + len(row) > 512 * 1024 - 200:
                more = True
                break
            rows.append(row)
            size += len(row) + 1
        flag = b"true" if more else b"false"
        return 200, b'{"rows":[%s],"truncated":%s,"tirage":%d}' % (
            b",".join(rows),
            flag,
            self.revision,
        )

    def txn(self, body):
        guards, writes = body.get("guards", []), body.get("writes", [])
        values = [dumps(w["v"]) if "set" in w else None for w in writes]
        if len(writes) > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        if any(v and len(v) > self.limits["value_kb"] * 1024 for v in values):
            return 400, {"error": "value too large"}
        if writes and not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(w.get("bail") and w["bail"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [
            g["k"] for g in guards if self.items.get(g["k"], (0, 0, 0))[1] != g["retouche"]
        ]
        if failed:
            return 409, {"failed": failed, "tirage": self.revision}
        if writes:
            self.revision += 1
        for write, value in zip(writes, values):
            if "set" in write:
                self.put(write["set"], value, write.get("bail"))
            else:
                self.delete(write["drop"])
        return 200, {"tirage": self.revision}

    def put(self, key, value, lease):
        self.detach(key)
        self.items[key] = (value, self.revision, lease)
        if lease:
            self.leases[lease][2].add(key)
        self.note(key, value)

    def delete(self, key):
        if key in self.items:
            self.detach(key)
            del self.items[key]
            self.note(key, None)

    def detach(self, key):
        lease = self.items.get(key, (None, 0, None))[2]
        if lease in self.leases:
            self.leases[lease][2].discard(key)

    def note(self, key, value):
        self.changes.append((self.revision, key, value))
        while len(self.changes) > self.KEPT_CHANGES:
            self.dropped_up_to = self.changes.popleft()[0]
        self.changed.set()
        self.changed = asyncio.Event()

    async def follow(self, number, query):
        prefix, start = query.get("under", ""), int(query.get("from", "0"))
        ends = time.monotonic() + min(60000, int(query.get("waitMs", "0"))) / 1000
        while True:
            # A watch waits while the store refuses its controller.
            if number not in self.refused:
                if start < self.dropped_up_to:
                    return 410, {"error": "too old"}
                events = []
                for revision, key, value in reversed(self.changes):
                    if revision <= start:
                        break
                    if key.startswith(prefix):
                        name = dumps(key)
                        events.append(
                            b'{"drop":%s,"retouche":%d}' % (name, revision)
                            if value is None
                            else b'{"set":%s,"v":%s,"retouche":%d}' % (name, value, revision)
                        )
                if events or time.monotonic() >= ends:
                    events.reverse()
                    return 200, b'{"tirage":%d,"events":[%s]}' % (
                        self.revision,
                        b",".join(events),
                    )
            wait = min(0.5, max(0.001, ends - time.monotonic()))
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass

    def lease(self, method, path, body):
        now = time.monotonic()
        if method == "POST" and path == "/leases":
            self.last_lease += 1
            ttl = json.loads(body)["ttlMs"] / 1000
            self.leases[self.last_lease] = [ttl, now + ttl, set()]
            return 200, {"bail": self.last_lease}
        number = int(path.split("/")[2])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_lease(number)
        else:
            self.leases[number][1] = now + self.leases[number][0]
        return 200, {}

    def end_lease(self, number):
        keys = self.leases.pop(number)[2]
        if keys:
            self.revision += 1
            for key in sorted(keys):
                self.delete(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [n for n, lease in self.leases.items() if now > lease[1]]:
                self.end_lease(number)


# ---- the cloud ----


class Cloud:
    """The cloud. Machines are workers of this process, on loopback addresses."""

    def __init__(self, world, limits, types, zones, capacity):
        self.world, self.limits, self.types, self.zones = world, limits, types, zones
        self.capacity = capacity
        self.boot_factor = 1.0  # how long boots take, in multiples of `startupS`
        self.machines = {}  # name -> dict
        self.orders = {}
        self.last = 0
        self.rate = Rate(limits["rps"] * 2)
        self.rate.rate = limits["rps"]
        self.servers = []

    async def start(self, controllers):
        for number in range(controllers):
            self.servers.append(await Server(self.handler_for(number)).start())

    def handler_for(self, number):
        async def handle(method, path, query, body):
            return await self.handle(number, method, path, query, body)

        return handle

    async def add(self, kind, zone, spot, boot_s):
        self.last += 1
        name = f"vm-{self.last:06d}"
        worker = Worker(self.world, name, self.types[kind], zone, spot)
        await worker.listen()
        self.machines[name] = {
            "worker": worker,
            "type": kind,
            "zone": zone,
            "spot": spot,
            "rented": time.monotonic(),
            "up": time.monotonic() + boot_s,
        }
        self.world.background(self.boot(worker, boot_s))
        return name

    async def boot(self, worker, boot_s):
        await asyncio.sleep(boot_s)
        if not worker.gone:
            worker.start()

    async def handle(self, number, method, path, query, body):
        if not self.rate.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.02)
        if path == "/catalog":
            return 200, {"gammes": [self.catalog_row(t) for t in self.types.values()]}
        if method == "POST" and path == "/machines":
            return await self.rent(number, json.loads(body))
        if method == "POST" and path == "/machines/release":
            for name in json.loads(body)["bancs"]:
                self.remove(number, name)
            return 200, {}
        return 200, self.list(query)

    def catalog_row(self, t):
        return {
            "sku": t["name"],
            "cpus": t["cpus"],
            "gpus": t["gpus"],
            "memoryGb": t["memory_gb"],
            "cacheGb": t["cache_gb"],
            "pullGbPerS": t["fetch_gb_per_s"],
            "hourly": t["price"],
            "marketPrice": t["spot_price"],
            "startupS": t["boot_s"],
            "secteurs": self.zones,
        }

    async def rent(self, number, order):
        if order["bon"] in self.orders:
            return 200, {"bancs": self.orders[order["bon"]]}
        boot_s = self.types[order["gamme"]]["boot_s"] * self.boot_factor
        room = self.capacity - len(self.machines)
        count = min(order["howMany"], 50, room)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = [
            await self.add(order["gamme"], order["secteur"], order["occasion"], boot_s)
            for _ in range(count)
        ]
        self.orders[order["bon"]] = names
        self.world.log("cloud rents", order["bon"], *names, "for", self.world.controllers[number].name)
        return 200, {"bancs": names}

    def remove(self, number, name):
        machine = self.machines.pop(name, None)
        if machine:
            worker = machine["worker"]
            self.world.on_release(number, worker)
            worker.stop()

    def list(self, query):
        now, after = time.monotonic(), query.get("from", "")
        rows = []
        for name in sorted(self.machines):
            m = self.machines[name]
            if name <= after or now < m["rented"] + self.limits["list_lag_s"]:
                continue
            rows.append(
                {
                    "id": name,
                    "address": m["worker"].address,
                    "gamme": m["type"],
                    "secteur": m["zone"],
                    "occasion": m["spot"],
                    "etat": "running" if now >= m["up"] else "starting",
                    "heldS": now - m["rented"],
                }
            )
        limit = min(500, int(query.get("limit", "500")))
        return {"bancs": rows[:limit], "truncated": len(rows) > limit}


# ---- workers ----


class Worker:
    """The agent of one machine."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.epoch, self.number, self.token = 1, 0, 0
        self.tasks = {}  # (piece, attempt) -> dict
        self.images, self.pulling = set(), set()
        self.gone = self.started = False
        self.node = random.randrange(len(world.controllers))
        self.client = None
        self.change = asyncio.Event()
        self.server = Server(self.handle, max_body=1 << 30)
        self.lease_from = 0.0
        self.served = set()  # controllers whose answers it has accepted

    async def listen(self):
        await self.server.start()

    @property
    def address(self):
        return self.server.address

    def start(self):
        self.started = True
        self.lease_from = time.monotonic()
        self.world.log("worker up", self.name, self.kind["name"], self.zone)
        self.world.background(self.report_loop())
        self.world.background(self.lease_loop())

    def stop(self):
        self.gone = True
        self.kill_all("machine gone")
        self.server.stop()

    def kill_all(self, why):
        live = [k for k, t in self.tasks.items() if t["etat"] != "ended"]
        if live:
            self.world.log("worker ends its tasks", self.name, why, len(live))
        for key in live:
            self.leave(key)
        self.tasks = {}

    def leave(self, key):
        task = self.tasks[key]
        if task.get("timer"):
            task["timer"].cancel()
        if task.get("on"):
            task["on"] = False
            self.world.on_leave(self, key[0])

    def body(self):
        self.number += 1
        rows = []
        for (piece, attempt), task in sorted(self.tasks.items()):
            row = {"piece": piece, "essai": attempt, "etat": task["etat"]}
            if task["etat"] == "ended":
                row["motif"] = task["motif"]
                if task.get("stored"):
                    row["stored"] = True
            rows.append(row)
        return dumps(
            {
                "banc": self.name,
                "address": self.address,
                "gamme": self.kind["name"],
                "secteur": self.zone,
                "occasion": self.spot,
                "quart": self.epoch,
                "numero": self.number,
                "jeton": self.token,
                "preavisS": None,
                "pieces": rows,
            }
        )

    async def handle(self, method, path, query, body):
        if self.gone or not self.started:
            return None
        if path == "/status":
            return 200, self.body()
        if len(body) > MAX_BODY:
            # PROTOCOL: "A request body may not exceed 64 KiB."
            self.world.on_oversized(self, "request to /commands", len(body))
            return 413, {"error": "a request body may not exceed 64 KiB"}
        message = json.loads(body)
        if "jeton" not in message or "quart" not in message:
            return 400, {"error": "jeton or quart is missing"}
        if message["jeton"] < self.token or message["quart"] != self.epoch:
            return 409, self.body()
        self.see_token(message["jeton"])
        self.execute(message.get("consignes", []))
        return 200, self.body()

    def see_token(self, token):
        if token > self.token:
            self.token = token
            self.change.set()

    def execute(self, commands):
        for command in commands:
            key = (command["piece"], command["essai"])
            verb = command["geste"]
            if verb == "start" and key not in self.tasks:
                self.begin(key)
            elif verb == "halt" and key in self.tasks:
                self.halt(key, command.get("delaiS", 0))
            elif verb == "reap" and self.tasks.get(key, {}).get("etat") == "ended":
                del self.tasks[key]
                self.change.set()

    def begin(self, key):
        piece, _ = key
        job = self.world.jobs.get(piece.rsplit("/", 1)[0])
        self.world.log("worker start", self.name, piece, key[1])
        live = [k for k, t in self.tasks.items() if t["etat"] != "ended"]
        if job is None or int(piece.rsplit("/", 1)[1]) >= job["pieces"]:
            return self.refuse(key, "unknown")
        if any(k[0] == piece for k in live):
            return self.refuse(key, "busy")
        need = [0.0, 0.0, 0.0]
        for k in live + [key]:
            spec = self.world.jobs[k[0].rsplit("/", 1)[0]]
            for i, field in enumerate(("cpus", "gpus", "memoryGb")):
                need[i] += spec[field]
        have = (self.kind["cpus"], self.kind["gpus"], self.kind["memory_gb"])
        if any(n > h + 1e-6 for n, h in zip(need, have)):
            return self.refuse(key, "full")
        self.tasks[key] = {"etat": "pulling"}
        self.change.set()
        if job["moule"] in self.images:
            self.run(key, job)
        else:
            self.world.background(self.pull(job))

    def refuse(self, key, why):
        self.tasks[key] = {"etat": "ended", "motif": why}
        self.change.set()

    async def pull(self, job):
        image, epoch = job["moule"], self.epoch
        if image in self.pulling:
            return
        self.pulling.add(image)
        await asyncio.sleep(job["pullGb"] / self.kind["fetch_gb_per_s"])
        self.pulling.discard(image)
        if self.gone or epoch != self.epoch:
            return
        self.images.add(image)
        for key, task in list(self.tasks.items()):
            spec = self.world.jobs[key[0].rsplit("/", 1)[0]]
            if task["etat"] == "pulling" and spec["moule"] == image:
                self.run(key, spec)

    def run(self, key, job):
        task = self.tasks[key]
        task["etat"], task["on"] = "running", True
        self.world.on_start(self, key[0])
        self.change.set()
        seconds = self.world.run_seconds(job)
        if key[0] in self.world.results:
            seconds = 0.0
        if seconds is not None:
            loop = asyncio.get_running_loop()
            task["timer"] = loop.call_later(seconds, self.finish, key, "done")

    def finish(self, key, why, stored=False):
        task = self.tasks.get(key)
        if self.gone or task is None or task["etat"] == "ended":
            return
        self.leave(key)
        if why == "done":
            self.world.results.add(key[0])
        self.tasks[key] = {"etat": "ended", "motif": why, "stored": stored}
        self.change.set()

    def halt(self, key, grace):
        task = self.tasks[key]
        job = self.world.jobs[key[0].rsplit("/", 1)[0]]
        if task["etat"] == "ended" or (task["etat"] == "flushing" and grace > 0):
            return
        saves = job["jalonS"] > 0 and grace >= job["sauvegardeS"]
        if task["etat"] == "running" and saves:
            if task.get("timer"):
                task["timer"].cancel()
            task["etat"] = "flushing"
            loop = asyncio.get_running_loop()
            task["timer"] = loop.call_later(
                job["sauvegardeS"], self.finish, key, "stopped", True
            )
            self.change.set()
        else:
            self.finish(key, "stopped")

    async def lease_loop(self):
        lease = self.world.workers["lease_s"]
        while not self.gone:
            await asyncio.sleep(max(0.02, self.lease_from + lease - time.monotonic()))
            if not self.gone and time.monotonic() > self.lease_from + lease:
                self.kill_all("lease ended")
                self.epoch += 1
                self.lease_from = time.monotonic()
                self.world.lease_ends += 1
                self.change.set()

    async def report_loop(self):
        report_s = self.world.workers["report_s"]
        while not self.gone:
            sent, epoch = time.monotonic(), self.epoch
            self.change.clear()
            if self.client is None or self.client.port != self.world.controllers[self.node].port:
                self.client = Client(self.world.controllers[self.node].port)
            answer = await self.client.request("POST", "/agent/beat", self.body(), 4.0)
            if self.gone:
                return
            asked, moved = self.node, self.on_answer(answer, sent, epoch)
            if moved is not None:
                status = answer[0] if answer else "no answer"
                self.world.log("worker moves", self.name, f"{asked} -> {self.node}", status)
                self.client.close()
                self.client = None
                await asyncio.sleep(moved)
                continue
            pause = report_s * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            try:
                left = max(0.0, sent + pause - time.monotonic())
                await asyncio.wait_for(self.change.wait(), left)
            except asyncio.TimeoutError:
                pass

    def on_answer(self, answer, sent, epoch):
        """Returns None to stay with the node, or after how long to try another one."""
        count = len(self.world.controllers)
        if answer is None or answer[0] not in (200, 421):
            self.node = (self.node + 1) % count
            return 1.0
        status, _, body = answer
        if status == 421:
            named = json.loads(body).get("rendreA")
            names = [c.name for c in self.world.controllers]
            if named in names and names.index(named) != self.node:
                self.node = names.index(named)
                return random.uniform(0.0, 0.5)
            self.node = (self.node + 1) % count
            return 1.0
        if max(map(len, body.split(b"\n"))) > MAX_BODY:
            # PROTOCOL: "A response to workers or users must contain no line longer than 64 KiB."
            self.world.on_oversized(self, "line of a response to /agent/beat", len(body))
            self.node = (self.node + 1) % count
            return 1.0
        message = json.loads(body)
        if epoch != self.epoch or message.get("jeton", -1) < self.token:
            return None
        self.lease_from = max(self.lease_from, sent)
        self.served.add(self.node)
        self.see_token(message["jeton"])
        self.execute(message.get("consignes", []))
        return None


# ---- the platform ----


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Link:
    """The way from one controller to another. While it is cut, connections hang, and bytes are
    held."""

    def __init__(self, world, target):
        self.world, self.target = world, target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, HOST, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        writers = [writer]
        try:
            await self.open.wait()
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
            writers.append(far_writer)
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in writers:
                each.close()

    async def pump(self, reader, writer):
        while data := await reader.read(1 << 16):
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        await self.open.wait()
        writer.close()


def end_with_parent():
    """Has the kernel kill this process when the one that started it ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Controller:
    """One controller: a process of the project's own program."""

    def __init__(self, name, zone, port, back):
        self.name, self.zone, self.port, self.back = name, zone, port, back
        self.process = None
        self.settings = self.log = None
        self.starts = 0

    def start(self, command):
        self.starts += 1
        log = open(self.log, "ab")
        env = dict(os.environ, LOG_LEVEL="info")
        self.process = subprocess.Popen(
            command + [self.settings], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env=env, preexec_fn=end_with_parent,
        )
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024 / 1e6
        except (OSError, AttributeError):
            pass
        return 0.0


def table(name, values):
    lines = [f"[{name}]"]
    for key, value in values.items():
        lines.append(f"{key} = {json.dumps(value)}")
    return "\n".join(lines) + "\n"


class World:
    """One deployment with its record."""

    def __init__(self, folder, site):
        self.folder, self.site = folder, site
        self.workers = site["workers"]
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.jobs = {}  # id -> spec, as users uploaded it
        self.results = set()  # tasks with a kept result
        self.runs = {}  # class -> real run time
        self.on_machine = {}  # piece -> machines
        self.ran_twice = []
        self.oversized = []
        self.releases = []  # (time, number of the controller, worker, its token, its tasks)
        self.links = {}  # (from, to) -> Link, for messages between controllers
        self.lease_ends = 0
        self.starts = 0
        self.tasks = set()
        self.controllers = []
        self.temp = tempfile.mkdtemp(prefix="lilacfork-review-")
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as deploy:
            self.command = tomllib.load(deploy)["run"].split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            raise CannotRun("the program isn't built")

    def now(self):
        return time.monotonic() - self.began

    def log(self, *words):
        print(f"{self.now():9.3f}", *words, file=self.record)

    def say(self, *words):
        self.log(*words)
        self.record.flush()
        print(f"{self.now():9.3f}", *words, flush=True)

    def background(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log("stand-in error", repr(task.exception()))

    # what workers see

    def run_seconds(self, job):
        if job["genre"] == "service":
            return None
        return self.runs.get(job["gabarit"], job["prevuS"])

    def on_start(self, worker, piece):
        self.starts += 1
        machines = self.on_machine.setdefault(piece, set())
        self.log("task on machine", worker.name, piece)
        if machines - {worker.name}:
            self.ran_twice.append(piece)
            self.log("RAN TWICE", piece, worker.name, sorted(machines))
        machines.add(worker.name)

    def on_leave(self, worker, piece):
        self.on_machine.get(piece, set()).discard(worker.name)
        self.log("task off machine", worker.name, piece)

    def on_release(self, number, worker):
        live = sorted(k[0] for k, t in worker.tasks.items() if t.get("on"))
        name = self.controllers[number].name
        self.log("cloud releases", worker.name, "for", name, "token", worker.token, "running", *live)
        self.releases.append((self.now(), number, worker, worker.token, live))

    def on_oversized(self, worker, what, size):
        if not self.oversized:
            self.say("OVERSIZED", worker.name, what, size)
        self.oversized.append((self.now(), what, size))
        self.log("oversized", worker.name, what, size)

    # life

    async def start(self, capacity=8, running=0):
        site = self.site
        count = site["count"]
        ports = free_ports(2 * count)
        for i in range(count):
            zone = site["zones"][i % len(site["zones"])]
            self.controllers.append(
                Controller(f"fourchon-{i}", zone, ports[2 * i], ports[2 * i + 1])
            )
        self.store = Store(self, site["state"])
        await self.store.start(count)
        for i, sender in enumerate(self.controllers):
            for j, receiver in enumerate(self.controllers):
                if i != j:
                    self.links[i, j] = await Link(self, receiver.back).start()
        types = {t["name"]: t for t in site["types"]}
        self.cloud = Cloud(self, site["cloud"], types, site["zones"], capacity)
        await self.cloud.start(count)
        for i in range(running):
            kind = site["types"][i % len(site["types"])]["name"]
            name = await self.cloud.add(kind, site["zones"][i % len(site["zones"])], False, 0.0)
            self.cloud.machines[name]["rented"] -= 60.0
        for i, controller in enumerate(self.controllers):
            self.write_settings(i, controller)
            controller.start(self.command)
            self.log("controller started", controller.name, "pid", controller.process.pid)
        await self.wait_ready(20.0)

    def write_settings(self, number, controller):
        site = self.site
        text = (
            f'node_name = "{controller.name}"\ndomain = "{controller.zone}"\n'
            f'client_listen = "{HOST}:{controller.port}"\nback = "{HOST}:{controller.back}"\n'
        )
        for other, peer in enumerate(self.controllers):
            if peer is not controller:
                text += (
                    f'[[peers]]\nnode_name = "{peer.name}"\ndomain = "{peer.zone}"\n'
                    f'peer_addr = "{HOST}:{self.links[number, other].port}"\n'
                )
        store = self.store.servers[number].address
        text += f'[services]\ncloud = "{self.cloud.servers[number].address}"\nstate = "{store}"\n'
        text += table(
            "settings", {"count": site["count"], "zones": site["zones"], "skew_ms": 5.0}
        )
        for team in site["teams"]:
            text += "[" + table("settings.teams", team).replace("]\n", "]]\n", 1)
        for objective in site["objectives"]:
            text += "[" + table("settings.objectives", objective).replace("]\n", "]]\n", 1)
        for name in ("workers", "state", "cloud", "limits"):
            text += table(f"settings.{name}", site[name])
        controller.settings = os.path.join(self.temp, f"{controller.name}.toml")
        controller.log = os.path.join(self.temp, f"{controller.name}.log")
        with open(controller.settings, "w") as file:
            file.write(text)

    async def wait_ready(self, within):
        ends = time.monotonic() + within
        for controller in self.controllers:
            client = Client(controller.port)
            while True:
                answer = await client.request("GET", "/ready", None, 1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"{controller.name} isn't ready")
                await asyncio.sleep(0.2)
            client.close()

    def cut_from_store_and_peers(self, number, cut):
        """The controller loses the state service and the other controllers, not its workers."""
        (self.store.cut.add if cut else self.store.cut.discard)(number)
        for pair, link in self.links.items():
            if number in pair:
                (link.open.clear if cut else link.open.set)()

    def leader(self):
        """The controller that the store names, as the logs' last line says; for targeting."""
        row = self.store.items.get("leader/key")
        if row is None:
            return None
        name = json.loads(row[0])["node"]
        return next(c for c in self.controllers if c.name == name)

    def kill_controllers(self):
        for controller in self.controllers:
            controller.signal(signal.SIGCONT)
            controller.signal(signal.SIGKILL)
            if controller.process is not None:
                controller.process.wait()

    async def end_tasks(self):
        own = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not own]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        self.kill_controllers()
        for controller in self.controllers:
            if controller.log and os.path.exists(controller.log):
                print(f"\n---- log of {controller.name}, its first and last lines", file=self.record)
                with open(controller.log, errors="replace") as log:
                    lines = log.readlines()
                if len(lines) > 400:
                    lines = lines[:200] + ["...\n"] + lines[-200:]
                self.record.writelines(lines)
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


# ---- users ----


class User:
    """A user with one open connection, which the load balancer has led to one controller.
    Without a response it connects anew, to the next controller."""

    def __init__(self, world, node=None):
        self.world = world
        self.node = random.randrange(len(world.controllers)) if node is None else node
        self.client = Client(world.controllers[self.node].port)

    async def call(self, method, path, value=None, timeout=5.0):
        answer = await self.client.request(method, path, value, timeout)
        if answer is None:
            self.node = (self.node + 1) % len(self.world.controllers)
            self.client = Client(self.world.controllers[self.node].port)
            return None, None
        try:
            return answer[0], json.loads(answer[2])
        except ValueError:
            return answer[0], None

    async def submit(self, spec, within=60.0):
        """Submits a job with the retries of the protocol. Returns the status."""
        self.world.jobs[spec["id"]] = spec
        ends = time.monotonic() + within
        while True:
            status, body = await self.call("POST", "/v2/runs", spec, 5.0)
            if status in (200, 201, 400, 422):
                self.world.log("submit", spec["id"], status, (body or {}).get("etat"))
                return status
            self.world.log("submit", spec["id"], status, "retried")
            if time.monotonic() > ends:
                return status
            await asyncio.sleep(1.0)

    async def poll(self, job):
        """One question. Returns (status, state)."""
        status, body = await self.call("GET", f"/v2/runs/{job}", None, 2.0)
        state = body.get("etat") if status == 200 and body else None
        self.world.log("poll", job, f"node {self.node}", status, state, (body or {}).get("running"))
        return status, state

    async def abort(self, job, within=60.0):
        ends = time.monotonic() + within
        while True:
            status, body = await self.call("POST", f"/v2/runs/{job}/abort", None, 5.0)
            self.world.log("abort", job, status, (body or {}).get("etat"))
            if status == 200 or time.monotonic() > ends:
                return status, (body or {}).get("etat")
            await asyncio.sleep(1.0)


def job(name, **fields):
    spec = {
        "id": name, "gabarit": "tri-fiches", "equipe": "atelier-conseil", "genre": "array",
        "rang": "standard", "pieces": 1, "cpus": 8.0, "gpus": 2.0, "memoryGb": 40.0,
        "moule": "img-01", "pullGb": 1.0, "gammes": None, "secteur": None, "samePlace": False,
        "spread": False, "occasion": False, "prevuS": 50.0, "jalonS": 20.0, "sauvegardeS": 4.0,
        "echeanceS": None,
    }  # fmt: skip
    spec.update(fields)
    return spec


def small_site(**changes):
    """The settings of kit/sites/reparetout-mtl.toml."""
    site = {
        "count": 3,
        "zones": ["est-laval", "ouest-verdun"],
        "teams": [
            {"name": "atelier-conseil", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        ],
        "objectives": [
            {"kind": "wait", "class": "grand-diagnostic", "within_s": 8.0, "share": 0.85},
            {"kind": "deadline", "class": "tri-fiches", "share": 0.92, "times": 1.0},
            {"kind": "wait", "class": "comptoir-rapide", "within_s": 1.0, "share": 0.88},
            {"kind": "wait", "class": "comptoir-renfort", "within_s": 10.0, "share": 0.92},
        ],
        "workers": {
            "report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
        "cloud": {"rps": 3.0, "list_lag_s": 8.0},
        "limits": {"cores": 0.04, "ram_mb": 40.0, "max_connections": 600},
        "types": [
            {
                "name": "banc-costaud", "cpus": 48.0, "gpus": 8.0, "memory_gb": 288.0,
                "cache_gb": 400.0, "fetch_gb_per_s": 4.0, "price": 21.8, "spot_price": 6.52,
                "boot_s": 40.0,
            }
        ],
    }  # fmt: skip
    for key, value in changes.items():
        site[key] = {**site[key], **value} if isinstance(value, dict) else value
    return site


def core_log_site(**changes):
    """The settings of kit/sites/carotheque-qc.toml."""
    teams = [
        ("saisie", 72.0, 176.0), ("geochimie", 24.0, 88.0), ("archives", 56.0, 176.0),
        ("terrain", 72.0, 120.0), ("cartographie", 56.0, 120.0),
    ]  # fmt: skip
    common = {"cpus": 48.0, "memory_gb": 384.0, "fetch_gb_per_s": 4.6}
    site = small_site()
    site.update(
        zones=["nord-abitibi"],
        teams=[
            {"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
            for name, gpus, most in teams
        ],
        objectives=[
            {"kind": "wait", "class": "lecteur-carottes", "within_s": 15.0, "share": 0.85},
            {"kind": "deadline", "class": "releves-lots", "share": 0.975, "times": 1.0},
            {"kind": "wait", "class": "renfort-campagne", "within_s": 20.0, "share": 0.88},
        ],
        workers={
            "report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0,
            "cancel_s": 35.0,
        },
        state={"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 16},
        cloud={"rps": 5.0, "list_lag_s": 10.0},
        limits={"cores": 0.12, "ram_mb": 40.0, "max_connections": 700},
        types=[
            {
                "name": "foreuse-lourde", "gpus": 4.0, "cache_gb": 600.0, "price": 13.22,
                "spot_price": 5.04, "boot_s": 25.0, **common,
            },
            {
                "name": "sonde-lourde", "gpus": 8.0, "cache_gb": 400.0, "price": 27.66,
                "spot_price": 10.34, "boot_s": 50.0, **common,
            },
        ],
    )  # fmt: skip
    for key, value in changes.items():
        site[key] = {**site[key], **value} if isinstance(value, dict) else value
    return site


def main(case, script):
    """Runs a case. `case(world)` returns a list of violations of the rule."""
    folder = os.path.dirname(os.path.abspath(script))
    world = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        world = World(folder, getattr(case, "site", small_site)())

        async def play():
            trouble = os.environ.get("TROUBLE", "1") != "0"
            world.say("with the disruption" if trouble else "TROUBLE=0: without the disruption")
            try:
                return await asyncio.wait_for(case(world, trouble), 116)
            finally:
                world.kill_controllers()
                await world.end_tasks()

        violations = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError) as error:
        if world is not None:
            world.say("the case could not run:", repr(error))
        else:
            print("the case could not run:", repr(error))
        return 2
    finally:
        if world is not None:
            for violation in locals().get("violations") or []:
                world.say("VIOLATION", violation)
            world.say("result:", "broken" if locals().get("violations") else "held or not judged")
            world.stop()
    return 1 if violations else 0
