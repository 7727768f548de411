"""Stand-ins of the third review, with the standard library alone.

They start the programs of the deploy file as processes, and simulate the
operator, backend servers ("runners") and consumers, as the users' pages say.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FRONTEND, READINESS, CONTROL = 8227, 8220, 8229
PORT_RANGE = (7340, 7355)
#: SO_LINGER that resets a connection when it is closed.
RESET_LINGER = struct.pack("ii", 1, 0)
HOST = "shop.example"
KEY = "key-1"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "downgrade_ms": 250, "max_skew_ms": 5000,
    "fail_closed": False, "revoke_ms": 5000, "retry_budget": 0.2,
    "retry_window_s": 10, "retry_slack": 58, "recovery_s": 12,
    "event_delay_ms": 120, "reuse_window_s": 5.1,
}


class CannotRun(Exception):
    """The case could not run, which says nothing of the rule."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._started = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")
        self._file.flush()


def find_network():
    """Return the second octet of a range of unused loopback addresses."""
    octets = list(range(20, 250))
    random.shuffle(octets)
    for octet in octets:
        try:
            with socket.socket() as probe:
                probe.bind((f"127.{octet}.1.1", FRONTEND))
            with socket.socket() as probe:
                probe.bind((f"127.{octet}.1.1", CONTROL))
            return octet
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


@dataclass
class Machine:
    name: str
    ip: str
    zone: str
    has_disk: bool
    processes: dict = field(default_factory=dict)


class Deployment:
    """Machines with the programs of the deploy file."""

    def __init__(self, record, *, bounds=None, limits=None, diskless=1, cloud=None):
        self.record = record
        self.network = find_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self._bounds = BOUNDS | (bounds or {})
        self._limits = {
            "cpu_share": 0.968, "cores": 2, "memory_mb": 150, "max_fds": 4100,
            "link_mbps": 1000.0, "disk_mb": 64,
        } | (limits or {})
        self._cloud = cloud
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._commands = {name: role["run"].split(" ") for name, role in roles.items()}
        self._bootstrap = True
        self.machines = [
            Machine(f"disk-{zone}", f"127.{self.network}.{n + 1}.1", zone, True)
            for n, zone in enumerate("abc")
        ]
        self.machines += [
            Machine(f"edge-{n}", f"127.{self.network}.{100 + n}.1", "abc"[n % 3], False)
            for n in range(diskless)
        ]
        self.controls = [f"{m.ip}:{CONTROL}" for m in self.machines if m.has_disk]

    async def start(self, machine, role):
        process = machine.processes.get(role)
        if process is not None and process.returncode is None:
            return
        is_control = role == "carob-control"
        listen = {
            "frontend": f"{machine.ip}:{FRONTEND}",
            "readiness": f"{machine.ip}:{READINESS}",
        }
        if is_control:
            listen = {"control": f"{machine.ip}:{CONTROL}"}
        data = self.folder / f"data-{machine.name}"
        settings = {
            "node_name": machine.name, "role": role, "machine_class": "edge",
            "serves": ["control_plane" if is_control else "edge"],
            "ip": machine.ip, "zone": machine.zone, "region": "r",
            "zones": {"a": "r", "b": "r", "c": "r"}, "listen": listen,
            "port_range": list(PORT_RANGE), "seeds": self.controls[:3],
            "bootstrap": self._bootstrap, "fault_counted": machine.has_disk,
            "limits": self._limits,
            "data_dir": str(data) if is_control else None,
            "discovery": "registration", "entrypoint": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self._bounds, "config_mode": "highest",
        }
        if self._cloud:
            settings["cloud"] = self._cloud
        if is_control:
            data.mkdir(exist_ok=True)
        path = self.folder / f"{machine.name}.{role}.json"
        path.write_text(json.dumps(settings))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        env |= {"CAROBSPRING_NODE_FILE": str(path),
                "PYTHONPATH": str(ROOT / "target/deps")}
        log = open(self.folder / f"{machine.name}.{role}.log", "ab")
        machine.processes[role] = await asyncio.create_subprocess_exec(
            *self._commands[role], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()

    async def start_all(self):
        for machine in self.machines:
            if machine.has_disk:
                await self.start(machine, "carob-control")
            await self.start(machine, "carob-entry")
        self._bootstrap = False

    def read_log(self, machine, role):
        return (self.folder / f"{machine.name}.{role}.log").read_text(errors="replace")

    async def stop_all(self):
        processes = [p for m in self.machines for p in m.processes.values()]
        for process in processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until_serving(self, runners, path="/read/x", timeout_s=20.0):
        """Wait until every entry passes requests on to every runner."""
        ends_at = time.monotonic() + timeout_s
        for machine in self.machines:
            served = set()
            while not served >= {each.runner_id for each in runners}:
                if time.monotonic() > ends_at:
                    raise CannotRun(f"{machine.name} doesn't serve all runners")
                answer = await Consumer(machine).call(path)
                if answer.status == 200:
                    served.add(answer.body.decode(errors="replace").split(" ")[0])
                await asyncio.sleep(0.02)


# ---------------------------------------------------------------- HTTP


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def iterate_body(reader, headers):
    """Yield the parts of a body; raise an error if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    elif "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            data = await reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            yield data
    else:
        while data := await reader.read(65536):
            yield data


@dataclass
class Answer:
    #: 0 if there was none.
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


_numbers = iter(range(1, 10**9))
_prefix = f"{os.getpid():x}{int(time.time()):x}"


def make_attempt_id():
    return f"{_prefix}{next(_numbers):06x}"


class Consumer:
    """Sends requests to one entry, each on a channel of its own."""

    def __init__(self, machine):
        self._machine = machine

    async def call(self, path, *, method="GET", body=b"", deadline_ms=10000,
                   headers=None, attempt_id="", on_data=None):
        values = {
            "Host": HOST, "Carobspring-Attempt-Id": attempt_id or make_attempt_id(),
            "Carobspring-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}", "Connection": "close",
        } | (headers or {})
        if body or method == "POST":
            values["Content-Length"] = str(len(body))
        answer = Answer()
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = await asyncio.open_connection(
                    self._machine.ip, FRONTEND
                )
                head = "".join(f"{name}: {value}\r\n" for name, value in values.items())
                writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
                first, answer.headers = await read_head(reader)
                answer.status = int(first.split(" ")[1])
                async for data in iterate_body(reader, answer.headers):
                    answer.body += data
                    if on_data is not None:
                        on_data(data)
                answer.is_complete = True
        except (OSError, EOFError, TimeoutError, ValueError,
                asyncio.LimitOverrunError) as error:
            answer.error = repr(error)
        finally:
            if writer is not None:
                writer.close()
        return answer


async def call_control(address, method, path, body=None, timeout_s=1.0):
    """Call one control daemon; return the status and body, 0 without one."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data
            )
            first, headers = await read_head(reader)
            content = b"".join([part async for part in iterate_body(reader, headers)])
            status = int(first.split(" ")[1])
            if status == 307:
                location = headers["location"].removeprefix("http://")
                address = location.partition("/")[0]
                return await call_control(address, method, path, body, timeout_s)
            return status, content
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Operator:
    def __init__(self, deployment):
        self._controls = deployment.controls
        self._record = deployment.record

    async def put(self, configuration, timeout_s=20.0):
        """Send a configuration, to one daemon after the other, until it is 200."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            for control in self._controls:
                status, _ = await call_control(
                    control, "PUT", "/v1/config", configuration
                )
                if status == 200:
                    version = configuration["version"]
                    self._record.write(f"operator: {control} acknowledged {version}")
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("no control daemon takes the configuration")


def build_configuration(version, **changes):
    def route(name, kind, **values):
        return {
            "name": name, "host": HOST, "path_prefix": f"/{name}/",
            "route_type": kind, "timeout_ms": 10000, "slo_ms": 500, "priority": 1,
            "service": "svc", "attempts": 2, "public": False, "affinity": False,
            "resumable": False, "itl_target_ms": 0,
        } | values

    return {
        "version": version,
        "routes": [
            route("read", "idempotent"),
            route("book", "non_idempotent", attempts=1),
            route("stream", "streaming", resumable=True, itl_target_ms=600),
            route("desk", "idempotent", service="desk"),
        ],
        "services": [
            {"name": "svc", "health_path": "/healthz", "max_conns": 370,
             "protocol": "h1", "tls": False},
            {"name": "desk", "health_path": "/healthz", "max_conns": 110,
             "protocol": "h1", "tls": False},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    } | changes


# ------------------------------------------------------------- runners


class Runner:
    """A backend server of a service.

    It answers 421 to requests for another identifier, 400 to those without
    one, and runs the rest: ``/stream/`` as events, all else at once.
    """

    PORT = 8080

    def __init__(self, deployment, number, *, version="v1", zone="a", service="svc"):
        self._deployment = deployment
        self._record = deployment.record
        self.ip = f"127.{deployment.network}.{200 + number}.1"
        self.runner_id = f"i-{number}{random.getrandbits(28):07x}"
        self.version, self.zone, self.service = version, zone, service
        self.event_count, self.event_interval_s = 40, 0.1
        self.state = "ready"
        #: How late the check-ins of a boot begin to arrive.
        self.check_in_delay_s = 0.0
        self.checked_in = asyncio.Event()
        self.runs = []
        self._writers = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._born = int(time.time() * 1000)
        self._seq = 0
        self.checked_in = asyncio.Event()
        self._server = await asyncio.start_server(self._serve, self.ip, self.PORT)
        self._check_ins = asyncio.create_task(self._check_in())
        self._record.write(
            f"runner {self.runner_id}: starts, version {self.version}, "
            f"born {self._born}"
        )

    async def crash(self):
        """End like a killed process: what it has open is reset."""
        if self._server is None:
            return
        self._record.write(f"runner {self.runner_id}: crashes")
        self._check_ins.cancel()
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _check_in(self):
        index = random.randrange(len(self._deployment.controls))
        await asyncio.sleep(self.check_in_delay_s)
        while True:
            self._seq += 1
            body = {
                "service": self.service, "address": f"{self.ip}:{self.PORT}",
                "zone": self.zone, "version": self.version, "slots": 64,
                "state": self.state, "cold_left_ms": 0, "seq": self._seq,
                "born": self._born,
            }
            controls = self._deployment.controls
            control = controls[index % len(controls)]
            status, _ = await call_control(
                control, "PUT", f"/v1/instances/{self.runner_id}", body
            )
            if status != 200:
                index += 1
                continue
            if not self.checked_in.is_set():
                self.checked_in.set()
                self._record.write(
                    f"runner {self.runner_id}: check-in of {self.version} "
                    f"acknowledged by {control}"
                )
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                first, headers = await read_head(reader)
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                await self.answer(first, headers, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    def send(self, writer, status, headers, body=b""):
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(
            f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
            .encode() + body
        )

    async def answer(self, first, headers, body, writer):
        method, path, _ = first.split(" ")
        attempt_id = headers.get("carobspring-attempt-id", "")
        if path == "/healthz":
            self.send(writer, 200, {"Carobspring-Upstream-Instance": self.runner_id})
            return
        if not attempt_id:
            self.send(writer, 400, {"Carobspring-Not-Executed": "1"})
            return
        own = {"Carobspring-Attempt-Id": attempt_id}
        if headers.get("carobspring-expected-instance", self.runner_id) != self.runner_id:
            self.send(writer, 421, own | {"Carobspring-Not-Executed": "1"})
            return
        self.runs.append(attempt_id)
        own["Carobspring-Upstream-Signature"] = f"{self.runner_id}.{attempt_id}"
        await self.run(method, path, headers, body, own, writer)

    async def run(self, method, path, headers, body, own, writer):
        if not path.startswith("/stream/"):
            text = f"{self.runner_id} {attempt_of(own)}".encode()
            self.send(writer, 200, own, text)
            return
        last = int(headers.get("last-event-id", "0"))
        self._record.write(
            f"runner {self.runner_id} ({self.version}): runs {attempt_of(own)} "
            f"after event {last}"
        )
        lines = "".join(f"{name}: {value}\r\n" for name, value in own.items())
        writer.write(
            f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(last + 1, self.event_count + 1):
            event = f"id: {number}\ndata: {number} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(b"0\r\n\r\n")


def attempt_of(own):
    return own["Carobspring-Attempt-Id"]


def run_case(folder, play, *, timeout_s=110.0):
    """Run a case: exit with 1 if the rule was broken, 0 if not, 2 if unknown."""
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {with_trouble}")

    async def run():
        state = {}
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(timeout_s):
                return await play(record, with_trouble, state)
        finally:
            if "deployment" in state:
                await state["deployment"].stop_all()

    try:
        is_broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        # Also what the script itself gets wrong says nothing of the rule.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    verdict = "the rule was broken" if is_broken else "the rule held"
    record.write(verdict)
    print(verdict)
    raise SystemExit(1 if is_broken else 0)
