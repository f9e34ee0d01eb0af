"""Stand-ins shared by the cases: discovery, HTTP workers, a beanstalkd server with its worker, and a client.

Standard library only. Every address is a loopback address with a free port. All times in the record are
milliseconds since the start of the script, by the monotonic clock.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now_ms(self):
        return (time.monotonic() - self.began) * 1000.0

    def line(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now_ms():10.1f} {what} {text}\n")
                self.file.flush()


class Run:
    """One run of a case: its folder, its record, its processes. Ends everything at the end."""

    def __init__(self, case_dir):
        self.dir = tempfile.mkdtemp(prefix="lineroute-review-")
        self.record = Record(os.path.join(case_dir, "record.txt"))
        self.processes = []
        self.log_paths = []

    def path(self, name):
        return os.path.join(self.dir, name)

    def write_json(self, name, value):
        # Written whole and renamed, as a platform writes a new configuration.
        path = self.path(name)
        with open(path + ".next", "w", encoding="utf-8") as file:
            json.dump(value, file)
        os.rename(path + ".next", path)
        return path

    def start(self, label, config, operator=None, env=None, inherit=None):
        """Starts a dispatcher with the deploy file's `run`; `inherit`: a listening socket that becomes descriptor 3."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if operator is not None:
            command += f" --operator {operator}"
        tmp = self.path("tmp")
        os.makedirs(tmp, exist_ok=True)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environment.update({"GW_CONFIG": config, "TMPDIR": tmp})
        environment.update(env or {})
        log = open(self.path(f"{label}.log"), "wb")
        kwargs = {}
        if inherit is not None:
            source = inherit.fileno()

            def make_fd_3():
                if source == 3:
                    os.set_inheritable(3, True)
                else:
                    os.dup2(source, 3, inheritable=True)

            kwargs = {"preexec_fn": make_fd_3, "close_fds": False}
            environment["GW_FD"] = "3"
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log, **kwargs
        )
        log.close()
        process.label = label
        process.log_path = self.path(f"{label}.log")
        self.processes.append(process)
        self.record.line("process-started", label=label, pid=process.pid)
        return process

    def signal(self, process, number):
        self.record.line("signal", label=process.label, pid=process.pid, signal=signal.Signals(number).name)
        process.send_signal(number)

    def log_text(self, process):
        with open(process.log_path, "r", encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.dir, keep, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)
        self.record.file.close()


def run_case(case_file, body):
    """Runs `body(run)`, which returns a list of breaks; exits with 0, 1 or 2 as the review asks."""
    run = Run(os.path.dirname(os.path.abspath(case_file)))
    code = 2
    run.record.line("begin", trouble=int(TROUBLE))
    # A script that is ended early still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks = body(run)
        for text in breaks:
            run.record.line("BREAK", text=repr(text))
            print("broken:", text)
        run.record.line("verdict", broken=len(breaks))
        print("rule broken" if breaks else "rule held")
        code = 1 if breaks else 0
    except CannotRun as reason:
        run.record.line("cannot-run", reason=repr(str(reason)))
        print("could not run:", reason)
    except Exception:
        traceback.print_exc()
    finally:
        run.close()
    sys.stdout.flush()
    os._exit(code)


def listen(port=0):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen(512)
    return sock


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


def wait_until(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRun(f"{what}: not within {seconds} s")


# ---------------------------------------------------------------- HTTP


class Reader:
    """Reads HTTP/1.1 messages with a Content-Length, and lines, from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def until(self, end):
        while end not in self.buffer:
            self.more()
        text, self.buffer = self.buffer.split(end, 1)
        return text

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def message(self):
        head = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.until(b"\r\n").split(b";")[0], 16)
                chunk = self.exactly(size + 2)[:size]
                if size == 0:
                    break
                body += chunk
        else:
            body = self.exactly(int(headers.get("content-length", "0")))
        return head[0], headers, body


def http_call(address, method, path, headers=(), body=b"", timeout=5.0):
    """One request on a connection of its own. Returns status, headers and body; raises OSError or EOFError."""
    with socket.create_connection(address, timeout=timeout) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lines = [f"{method} {path} HTTP/1.1", "Host: app.svc", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        start, answer_headers, answer = Reader(sock).message()
        return int(start.split(" ")[1]), answer_headers, answer


class HttpServer:
    """Serves each connection on a thread of its own; `handle` returns (status, headers, body), or None to close."""

    def __init__(self, handle):
        self.handle = handle
        self.sock = listen()
        self.address = self.sock.getsockname()
        spawn(self.accept)

    @property
    def text(self):
        return f"{self.address[0]}:{self.address[1]}"

    def accept(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            spawn(self.serve, connection)

    def serve(self, connection):
        reader = Reader(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                start, headers, body = reader.message()
                method, path, _ = start.split(" ", 2)
                answer = self.handle(method, path, headers, body)
                if answer is None:
                    return
                status, extra, content = answer
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(content)}"]
                lines += [f"{name}: {value}" for name, value in extra]
                connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.close()


class Discovery:
    """The list of workers, asked for whole or by a watch."""

    def __init__(self):
        self.changed = threading.Condition()
        self.version = 1
        self.servers = {}
        self.versions = {}
        self.server = HttpServer(self.handle)

    def put(self, name, address, state="up", kind="m2", zone="a", started_ms=0):
        with self.changed:
            self.version += 1
            self.servers[name] = {
                "id": name, "addr": address, "zone": zone, "kind": kind, "cell": 1, "state": state, "weight": 1.0,
                "started_ms": started_ms,
            }
            self.versions[name] = self.version
            self.changed.notify_all()

    def handle(self, method, path, _headers, _body):
        if method != "GET" or not path.startswith("/discovery/hosts"):
            return 404, (), b""
        query = dict(pair.split("=", 1) for pair in path.partition("?")[2].split("&") if "=" in pair)
        with self.changed:
            if "after" not in query:
                listed = [s for s in self.servers.values() if s["state"] != "removed"]
                answer = {"version": self.version, "full": True, "servers": listed}
            else:
                after, wait = int(query["after"]), min(int(query.get("wait_ms", "0")), 60000) / 1000.0
                self.changed.wait_for(lambda: self.version > after, timeout=wait)
                news = [s for name, s in self.servers.items() if self.versions[name] > after]
                answer = {"version": self.version, "full": False, "servers": news}
        return 200, (("Content-Type", "application/json"),), json.dumps(answer).encode()


class HttpWorker:
    """A worker of the platform's protocol: 202, then calls to the dispatcher's address until they are answered.

    `plan(job)` returns (seconds, state): how long the job runs, and what is told of it then.
    """

    def __init__(self, name, call_back, record, plan):
        self.name, self.call_back, self.record, self.plan = name, call_back, record, plan
        self.attempts = []
        self.given_up = set()
        self.lock = threading.Lock()
        self.server = HttpServer(self.handle)

    def handle(self, method, path, headers, body):
        if method == "GET" and path in ("/alive", "/metrics/load"):
            return 200, (), b""
        if method == "DELETE" and path.startswith("/jobs/"):
            reference = path[len("/jobs/"):]
            self.record.line("given-up", worker=self.name, id=reference)
            with self.lock:
                self.given_up.add(reference)
            return 200, (), b""
        reference = headers.get("x-call-id")
        if method != "POST" or reference is None:
            return 404, (), b""
        job = {"id": reference, "body": body, "headers": headers, "at": self.record.now_ms()}
        with self.lock:
            self.attempts.append(job)
        self.record.line("attempt", worker=self.name, id=reference, body=body.decode("latin-1"))
        spawn(self.work, job)
        return 202, (), b""

    def work(self, job):
        self.tell({"id": job["id"], "from": self.name, "state": "started"})
        seconds, state = self.plan(job)
        time.sleep(seconds)
        self.record.line("ran", worker=self.name, id=job["id"], state=state)
        message = {"id": job["id"], "from": self.name, "state": state}
        if state == "done":
            message["result"] = "result of " + job["body"].decode("latin-1")
        self.tell(message)

    def tell(self, message):
        for _ in range(10):
            try:
                status, _, _ = http_call(
                    self.call_back, "POST", "/_jobs/news", (("Connection", "close"),), json.dumps(message).encode(), 2.0
                )
                if status in (200, 204):
                    return
            except (OSError, EOFError):
                pass
            time.sleep(0.05)


# ---------------------------------------------------------------- beanstalkd


class BeanstalkdServer:
    """A beanstalkd server with the commands that lineroute uses towards workers, from the published protocol.

    Its worker runs in this process: it reserves from the work tube, runs `slots` jobs at a time, and puts its
    answers into the tube that the job names, in the form that README.md gives.
    """

    def __init__(self, name, record, slots, run_time, work_tube="work"):
        self.name, self.record, self.run_time, self.work_tube = name, record, run_time, work_tube
        self.changed = threading.Condition()
        self.jobs = {}
        self.next_id = 0
        self.runs = []
        self.sock = listen()
        self.address = self.sock.getsockname()
        self.text = f"{self.address[0]}:{self.address[1]}"
        spawn(self.accept)
        for _ in range(slots):
            spawn(self.work)

    # The server.

    def accept(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            spawn(self.serve, connection)

    def insert(self, tube, body):
        with self.changed:
            self.next_id += 1
            self.jobs[self.next_id] = {"tube": tube, "body": body, "state": "ready", "owner": None, "reserves": 0}
            self.changed.notify_all()
            return self.next_id

    def reserve(self, owner, tubes, seconds):
        def first():
            ready = [i for i, j in self.jobs.items() if j["state"] == "ready" and j["tube"] in tubes]
            return min(ready, default=None)

        with self.changed:
            if not self.changed.wait_for(lambda: first() is not None, timeout=seconds):
                return None
            number = first()
            job = self.jobs[number]
            job.update(state="reserved", owner=owner, reserves=job["reserves"] + 1)
            return number, job["body"]

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader, used, watched = Reader(connection), "default", {"default"}
        try:
            while True:
                words = reader.until(b"\r\n").decode("latin-1").split(" ")
                command, reply = words[0], None
                if command == "use":
                    used = words[1]
                    reply = f"USING {used}"
                elif command == "watch":
                    watched.add(words[1])
                    reply = f"WATCHING {len(watched)}"
                elif command == "ignore":
                    watched.discard(words[1])
                    reply = f"WATCHING {len(watched)}"
                elif command == "list-tube-used":
                    reply = f"USING {used}"
                elif command == "put":
                    body = reader.exactly(int(words[4]) + 2)[:-2]
                    number = self.insert(used, body)
                    self.record.line("put", server=self.name, job=number, head=body.split(b"\n")[0].decode())
                    reply = f"INSERTED {number}"
                elif command in ("reserve", "reserve-with-timeout"):
                    got = self.reserve(connection, watched, float(words[1]) if len(words) > 1 else 3600)
                    if got is None:
                        reply = "TIMED_OUT"
                    else:
                        reply = f"RESERVED {got[0]} {len(got[1])}\r\n{got[1].decode('latin-1')}"
                elif command == "delete":
                    with self.changed:
                        job = self.jobs.get(int(words[1]))
                        mine = job is not None and (job["state"] == "ready" or job["owner"] is connection)
                        if mine:
                            del self.jobs[int(words[1])]
                    reply = "DELETED" if mine else "NOT_FOUND"
                    if mine and job["state"] == "ready":
                        self.record.line("withdrawn", server=self.name, job=words[1])
                elif command == "stats-job":
                    with self.changed:
                        job = self.jobs.get(int(words[1]))
                        text = job and f"---\nid: {words[1]}\nstate: {job['state']}\nreserves: {job['reserves']}\n"
                    self.record.line("stats-job", server=self.name, job=words[1], state=job and job["state"])
                    reply = "NOT_FOUND" if job is None else f"OK {len(text)}\r\n{text}"
                else:
                    reply = "UNKNOWN_COMMAND"
                connection.sendall(reply.encode("latin-1") + b"\r\n")
        except (OSError, EOFError, ValueError, IndexError):
            pass
        finally:
            with self.changed:
                for job in self.jobs.values():
                    if job["owner"] is connection:
                        job.update(state="ready", owner=None)
                self.changed.notify_all()
            connection.close()

    # Its worker.

    def work(self):
        owner = object()
        while True:
            got = self.reserve(owner, {self.work_tube}, 3600)
            if got is None:
                continue
            number, data = got
            head, _, body = data.partition(b"\n")
            answers, reference, _key = head.decode().split(" ")
            run = {"id": reference, "server": self.name, "began": self.record.now_ms(), "ended": None}
            with self.changed:
                self.runs.append(run)
            self.record.line("run-begins", server=self.name, job=number, id=reference)
            self.insert(answers, f"{number} started\n".encode())
            time.sleep(self.run_time(reference, body))
            run["ended"] = self.record.now_ms()
            self.record.line("run-ends", server=self.name, job=number, id=reference)
            with self.changed:
                del self.jobs[number]
            self.insert(answers, f"{number} served\n".encode() + b"result of " + body)


class Beanstalkd:
    """A client's connection to a beanstalkd server."""

    def __init__(self, address, timeout=30.0):
        self.sock = socket.create_connection(address, timeout=timeout)
        self.reader = Reader(self.sock)

    def command(self, line, body=None):
        data = line.encode() + b"\r\n" + (body + b"\r\n" if body is not None else b"")
        self.sock.sendall(data)
        return self.reader.until(b"\r\n").decode("latin-1")

    def reserve(self, seconds):
        """Returns (id, body), or None if nothing came in time."""
        reply = self.command(f"reserve-with-timeout {seconds}")
        if not reply.startswith("RESERVED "):
            return None
        _, number, size = reply.split(" ")
        return int(number), self.reader.exactly(int(size) + 2)[:-2]


# ---------------------------------------------------------------- settings


def settings(classes, kinds=("m2",), **allowed):
    """Settings of a small deployment. `classes`: (name, effect, deadline in ms, aim in ms)."""
    described = []
    for name, effect, deadline, aim in classes:
        one = {"name": name, "aim_ms": aim, "deadline_ms": deadline, "credit": 1.0, "late_share": 0.3, "effect": effect}
        if effect == "by_key":
            one.update(group="all", key_ttl_ms=25000)
        described.append(one)
    rights = {
        "max_attempts": 4, "cancel": True, "retry_after": True, "max_retry_after_ms": 2000, "keepalive_ms": 10000,
        "connect_timeout_ms": 120, "may_probe": True, "parallel_tries": False, "most_held": 20000,
    }
    rights.update(allowed)
    return {
        "instances": 1, "discovery": "ask", "azs": ["a"], "zone": 0, "skus": list(kinds), "classes": described,
        "tenants": [{"name": "acme", "quota_per_s": 100, "share": 1.0}], "allowed": rights,
        "rules": {"answer_slack_ms": 8, "ask_within_ms": 10000, "drain_grace_ms": 750, "cold_from": 0.3,
                  "warm_up_ms": 8500, "overload_factor": 4, "overload_for_ms": 1500},
        "specifics": {"class_stretch": [2.0] * len(described), "tells_start": True},
    }


def config(name, listen_port, discovery, described, seed="5f0c2a91d3e44b17", **more):
    value = {
        "name": name, "listen": f"{HOST}:{listen_port}", "discovery": discovery, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": described,
    }
    value.update(more)
    return value


def is_up(port):
    try:
        return http_call((HOST, port), "GET", "/up", timeout=1.0)[0] == 200
    except (OSError, EOFError):
        return False


def console(address, line):
    """One call at the second address; returns its answer, or the reason why there is none."""
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.sendall(line.encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                chunk = sock.recv(4096)
                if not chunk:
                    break
                data += chunk
            return data.decode().strip()
    except OSError as reason:
        return f"no answer: {reason}"
