"""Keyed jobs at plain HTTP workers, whose connections are reset under requests that have begun."""

import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

JOBS = 60
# In seconds.
RUN_TIME = 0.2
EVERY = 0.1
# How long all workers drop a repeat of a key.
KEY_TTL = 25.0
# One request in twenty has its connection reset after it has begun.
RESET_EVERY = 20


class Filing:
    """What the workers share: the documents that were filed, and the keys of the last 25 s."""

    def __init__(self):
        self.lock = threading.Lock()
        self.keys = {}
        self.filed = []
        self.requests = 0


class PlainWorker:
    """A plain HTTP/1.1 server that files a document for each POST, and drops the repeat of a key."""

    def __init__(self, name, filing, record):
        self.name, self.filing, self.record = name, filing, record
        self.sock = s.listen()
        self.text = f"{s.HOST}:{self.sock.getsockname()[1]}"
        s.spawn(self.accept)

    def accept(self):
        while True:
            connection, _ = self.sock.accept()
            s.spawn(self.serve, connection)

    def serve(self, connection):
        reader = s.Reader(connection)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                start, headers, body = reader.message()
                key, document = headers.get("idempotency-key"), body.decode()
                with self.filing.lock:
                    self.filing.requests += 1
                    reset = s.TROUBLE and self.filing.requests % RESET_EVERY == 7
                    known = key is not None and time.monotonic() - self.filing.keys.get(key, -1e9) < KEY_TTL
                    if not known:
                        self.filing.filed.append((document, self.name))
                        if key is not None:
                            self.filing.keys[key] = time.monotonic()
                self.record.line("dropped-repeat" if known else "filed", worker=self.name, document=repr(document),
                                 key=key, id=headers.get("x-call-id"), start=repr(start))
                time.sleep(RUN_TIME)
                if reset:
                    self.record.line("reset", worker=self.name, document=repr(document))
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return
                answer = f"filed {document}".encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        except (OSError, EOFError):
            pass
        finally:
            connection.close()


def body(run):
    record = run.record
    listen = s.free_port()
    discovery = s.Discovery()
    filing = Filing()
    workers = [PlainWorker(f"w-{i}", filing, record) for i in range(4)]
    for worker in workers:
        discovery.put(worker.name, worker.text, kind="web")
    described = s.settings([("statement", "by_key", 15000, 2000)], kinds=("web",))
    operator = run.write_json("operator.json", {"workers": [{"kind": "web", "protocol": "http"}]})
    path = run.write_json("config.json", s.config("n1", listen, discovery.server.text, described))
    run.start("n1", path, operator)
    s.wait_until(lambda: s.is_up(listen), 20, "the dispatcher is ready")
    answered = {}

    def send(number):
        headers = (("X-Call-Id", f"c-{number}"), ("X-Call-Class", "statement"), ("X-Caller", "acme"),
                   ("X-Budget-Ms", "15000"), ("Idempotency-Key", f"key-{number}"))
        record.line("client-sent", id=f"c-{number}", key=f"key-{number}", document=repr(f"statement {number}"))
        try:
            status, _, text = s.http_call((s.HOST, listen), "POST", "/api", headers, f"statement {number}".encode(), 17.0)
        except (OSError, EOFError) as reason:
            status, text = 0, str(reason).encode()
        answered[number] = status
        record.line("client-answer", id=f"c-{number}", status=status, body=repr(text.decode("latin-1")))

    threads = []
    for number in range(JOBS):
        threads.append(s.spawn(send, number))
        time.sleep(EVERY)
    for thread in threads:
        thread.join()
    if not any(status == 200 for status in answered.values()):
        raise s.CannotRun("no job was served")
    places = {}
    for document, worker in filing.filed:
        places.setdefault(document, []).append(worker)
    print(f"sent {JOBS}, served {sum(1 for v in answered.values() if v == 200)}, filed {len(filing.filed)}")
    return [f"{document!r} was filed {len(at)} times, at {at}" for document, at in sorted(places.items()) if len(at) > 1]


s.run_case(__file__, body)
