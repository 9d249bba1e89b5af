"""Small stand-ins for a deployment: the platform's store, servers, clients and the processes.

Everything listens on loopback addresses with free ports. What is sent, answered and run is
written to a record file. Only the Python standard library is used, so nothing has to be built.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "gradedyke")
HOST = "ficu95.example"
ENGINE = "huvo11a"
ROUTE = "/pufi791/"


class CannotRun(Exception):
    """The case could not be run (exit code 2)."""


GIVEN_PORTS = set()


def free_port(host="127.0.0.1"):
    """A port below the range that the system hands out for outgoing connections, given once."""
    while True:
        port = random.randrange(15_000, 30_000)
        if port in GIVEN_PORTS:
            continue
        GIVEN_PORTS.add(port)
        try:
            with socket.socket() as s:
                s.bind((host, port))
            return port
        except OSError:
            continue


class Record:
    """Writes one line for each thing that was sent, answered, run or done."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        if text:
            name, _, value = text.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it; it never fails."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def put(self, key, value):
        """Writes a key; `value` is bytes, or else it is encoded as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.notify(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.notify({"key": key, "revision": self.revision, "deleted": True})

    def notify(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def get(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def serve(self, reader, writer):
        try:
            while True:
                request, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = request.split(" ", 2)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if path == "/gradedyke/kv-key":
            item = self.items.get(args["key"])
            return (200, item | {"store_revision": self.revision}) if item else (404, {})
        if path == "/gradedyke/kv-range":
            after = args.get("after", "")
            keys = [k for k in sorted(self.items) if k.startswith(args["path_prefix"]) and k > after]
            page = [self.items[k] for k in keys[:500]]
            return 200, {
                "items": page,
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if path == "/gradedyke/kv-watch":
            after, prefix = int(args["after"]), args["path_prefix"]
            end = time.monotonic() + int(args["wait_ms"]) / 1e3
            while True:
                changed = self.changed
                found = [
                    e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/gradedyke/kv-txn":
            txn = json.loads(body)
            for row in txn.get("expect_rev", []):
                held = self.items.get(row["key"])
                if (held["revision"] if held else 0) != row["revision"]:
                    rows = [self.items.get(r["key"]) for r in txn["expect_rev"]]
                    return 412, {"items": [r for r in rows if r]}
            for put in txn.get("puts", []):
                self.put(put["key"], base64.b64decode(put["value"]))
            for key in txn.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        return 404, {}


class Engine:
    """A model server: runs each turn and streams `events(body)` as server-sent events."""

    def __init__(self, number, record, events, pause_s=0.002):
        self.id = f"i-{number:08x}"
        self.record = record
        self.events = events
        self.pause_s = pause_s
        self.runs = {}
        self.port = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 24)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "service": ENGINE, "address": f"127.0.0.1:{self.port}", "zone": "north-a",
            "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "call_seq": 1,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                request, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(request, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, headers, body, writer):
        ident = headers.get("x-gradedyke-request-id", "")
        head = f"X-Gradedyke-Request-Id: {ident}\r\n"
        if headers.get("x-gradedyke-expect-instance", self.id) != self.id:
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\n{head}X-Gradedyke-Not-Run: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return await writer.drain()
        previous = headers.get("x-gradedyke-previous-turn")
        self.runs[ident] = (previous, body)
        self.record.line(f"run      {ident} by {self.id} previous={previous} body={len(body)} B")
        writer.write(
            f"HTTP/1.1 200 OK\r\n{head}X-Gradedyke-Server-Stamp: 3e1b.{ident}\r\n"
            "X-Gradedyke-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number, data in enumerate(self.events(ident, body), 1):
            lines = "".join(f"data: {text}\n" for text in data.split("\n"))
            event = f"id: {number}\n{lines}\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Answer:
    def __init__(self, status, whole, body, text=""):
        self.status, self.whole, self.body, self.text = status, whole, body, text

    @property
    def is_whole(self):
        return self.status == 200 and self.whole


class Process:
    """One process of the deployment, started with the command of the deploy file."""

    def __init__(self, role, name, settings, folder, record):
        self.role, self.name, self.record = role, name, record
        self.folder = os.path.join(folder, name)
        self.settings = settings
        self.child = None
        os.makedirs(self.folder)

    @property
    def data(self):
        return os.path.join(self.folder, "data")

    def start(self):
        path = os.path.join(self.folder, "boot.jsonc")
        with open(path, "w") as f:
            json.dump(self.settings, f)
        log = open(os.path.join(self.folder, "log"), "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GRADEDYKE_NODE_FILE"] = path
        self.child = subprocess.Popen(
            [BINARY, "serve", self.role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        self.record.line(f"start    {self.name}")

    def signal(self, number):
        if self.child:
            self.child.send_signal(number)

    def kill(self):
        if self.child:
            self.child.kill()
            self.child.wait()
            self.child = None
            self.record.line(f"kill     {self.name}")

    def wipe(self):
        """Loses power and its disk."""
        self.kill()
        shutil.rmtree(self.data, ignore_errors=True)
        self.settings["first_start"] = False
        self.record.line(f"wipe     {self.name}: its disk is lost")


class Deployment:
    """A store, engines, three keepers and entries, like a small deployment of the users."""

    def __init__(self, case_folder, events, keepers=3, entries=2, engines=2):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.engines = [Engine(n + 1, self.record, events) for n in range(engines)]
        self.counts = keepers, entries
        self.keepers, self.entries, self.callers = [], [], []

    def settings(self, name, zone, **more):
        zones = ["north-a", "north-b", "north-c"]
        return {
            "name": name, "data_centre": zone, "data_centres": zones,
            "regions": {z: "north" for z in zones}, "platform": self.store.address,
            "seeds": self.seeds, "first_start": True, "tolerate": 1, "grace_s": 8,
            "drain_ms": 2000, "in_force_ms": 2000, "decisions": {"off": ["program_plan"]},
        } | more

    async def start(self):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/release/gradedyke is not built")
        await self.store.start()
        self.store.put("op/config", self.manifest())
        for engine in self.engines:
            await engine.start()
            self.store.put(f"servers/{engine.id}", engine.entry())
        keepers, entries = self.counts
        ports = [free_port() for _ in range(keepers)]
        self.seeds = [f"127.0.0.1:{p}" for p in ports][:3]
        zones = ["north-a", "north-b", "north-c"]
        for n in range(keepers):
            name, zone = f"store-{n + 1}", zones[n % 3]
            settings = self.settings(name, zone, listen={"peer": f"127.0.0.1:{ports[n]}"})
            keeper = Process("keeper", name, settings, self.folder, self.record)
            settings["data_folder"] = keeper.data
            self.keepers.append(keeper)
        for n in range(entries):
            name, zone = f"front-{n + 1}", zones[n % 3]
            listen = {k: f"127.0.0.1:{free_port()}" for k in ("caller", "ready", "peer")}
            settings = self.settings(name, zone, listen=listen)
            self.entries.append(Process("entry", name, settings, self.folder, self.record))
            self.callers.append(listen["caller"])
        for process in self.keepers + self.entries:
            process.start()
        await self.wait_until(self.is_complete, 20, "the deployment did not come up")
        await asyncio.sleep(1)

    def manifest(self):
        route = {
            "name": "r-1", "host": HOST, "path_prefix": ROUTE, "kind": "streaming",
            "timeout_ms": 5000, "slo_ms": 200, "priority": 0, "service": ENGINE,
            "max_attempts": 2, "retains": True, "retention_s": 60.0, "sticky": True,
            "resumable": False, "gap_aim_ms": 400,
        }
        engine = {"slots": 64, "kv_capacity": 211374, "tokens_per_event": 3}
        return {
            "version": 7, "routes": [route],
            "services": [
                {"name": ENGINE, "health_path": "/health", "max_conns": 370, "engine": engine}
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 4194304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }

    def members(self):
        return (self.store.get("gradedyke/view") or {}).get("members", [])

    def is_complete(self):
        members = self.members()
        ready = all(self.is_listening(c) for c in self.callers)
        return ready and len(members) >= 3 and all(m["active"] for m in members)

    @staticmethod
    def is_listening(address):
        host, port = address.rsplit(":", 1)
        try:
            socket.create_connection((host, int(port)), 0.2).close()
            return True
        except OSError:
            return False

    async def wait_until(self, condition, seconds, problem):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(problem)
            await asyncio.sleep(0.05)

    async def send(self, ident, body, previous=None, budget=None, program="p", usage="1000,30",
                   entry=0, deadline_ms=5000, headers=()):
        """One client attempt. Returns its answer; status 0 if there was none."""
        lines = [
            f"POST {ROUTE}2f HTTP/1.1", f"Host: {HOST}", f"X-Gradedyke-Request-Id: {ident}",
            "X-Gradedyke-Model: m", f"X-Gradedyke-Token-Usage: {usage}",
            f"X-Gradedyke-Prompt-Prefix: 5c1e07a2:800,{ident}:200",
            f"X-Gradedyke-Deadline-Ms: {deadline_ms}", f"X-Gradedyke-Program-Id: {program}",
            f"X-Gradedyke-Session-Id: s-{program}", "X-Gradedyke-Program-Deadline: 60000",
            f"Content-Length: {len(body)}", "Connection: close", *headers,
        ]
        if previous is not None:
            lines.append(f"X-Gradedyke-Previous-Turn: {previous}")
        if budget is not None:
            lines.append(f"X-Gradedyke-Token-Budget: {budget}")
        self.record.line(f"sent     {ident} previous={previous} body={len(body)} B")
        answer = await self.exchange("\r\n".join(lines).encode() + b"\r\n\r\n" + body, entry)
        state = "whole" if answer.whole else "not whole"
        self.record.line(f"answered {ident} status={answer.status} {state} {answer.text}")
        return answer

    async def exchange(self, request, entry):
        host, port = self.callers[entry].rsplit(":", 1)
        status, body = 0, b""
        try:
            async with asyncio.timeout(7):
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
                try:
                    writer.write(request)
                    await writer.drain()
                    line, headers = await read_head(reader)
                    status = int(line.split(" ")[1])
                    body = await read_body(reader, headers)
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return Answer(status, False, body)
        text = "" if status == 200 else body.decode("latin-1").strip()
        return Answer(status, True, body, text)

    def stop(self):
        """Ends every process that was started, and removes the temporary folder."""
        for process in self.keepers + self.entries:
            if process.child:
                process.child.kill()
        for process in self.keepers + self.entries:
            if process.child:
                process.child.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


# A script may run for 120 s.
LONGEST_S = 110


def run(case_folder, events, case, **counts):
    """Runs a case; its function returns whether the rule held.

    Exits with 0 if it held, 1 if it was broken, and 2 if the case could not run for any reason, an
    error of the script or a signal to it among them.
    """

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(case_folder, events, **counts)
        try:
            async with asyncio.timeout(LONGEST_S):
                await deployment.start()
                held = await case(deployment, os.environ.get("TROUBLE", "1") != "0")
            deployment.record.line("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except BaseException as problem:
            deployment.record.line(f"cannot run: {type(problem).__name__} {problem}")
            return 2
        finally:
            deployment.stop()

    try:
        code = asyncio.run(main())
    except BaseException as problem:
        print(f"{type(problem).__name__}: {problem}")
        code = 2
    print({0: "held", 1: "broken", 2: "could not run"}[code], flush=True)
    os._exit(code)
