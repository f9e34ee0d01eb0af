"""A job put with a delay, and a planned restart meanwhile."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

BUDGET_MS = 6000
# In seconds: the delay of the delayed job, and how long after it was accepted SIGTERM comes.
DELAY = 12
TERM_AFTER = 1.0
# SIGKILL may follow SIGTERM after the longest deadline (3 s where it is longer) and 0.7 s. More time is left here.
EXIT_WITHIN = 30.0


def body(run):
    record = run.record
    listen, front = s.free_port(), s.free_port()
    discovery = s.Discovery()
    workers = [s.HttpWorker(f"s-{i}", (s.HOST, listen), record, lambda job: (0.3, "done")) for i in range(3)]
    for worker in workers:
        discovery.put(worker.name, worker.server.text)
    described = s.settings([("chart", "repeatable", 5000, 500), ("statement", "by_key", 15000, 800)])
    operator = run.write_json("operator.json", {"beanstalkd": {
        "listen": f"{s.HOST}:{front}",
        "tubes": [{"tube": "statements", "class": "statement", "tenant": "acme", "budget_ms": BUDGET_MS, "answers": "done"}]}})

    def start(label, seed):
        path = run.write_json(f"{label}.json", s.config("n1", listen, discovery.server.text, described, seed=seed))
        process = run.start(label, path, operator)
        s.wait_until(lambda: s.is_up(listen), 20, f"{label} is ready")
        return process

    first = start("first", "5f0c2a91d3e44b17")
    client = s.Beanstalkd((s.HOST, front))
    client.command("use statements")

    def put(delay):
        reply = client.command(f"put 0 {delay} 60 9", b"statement")
        record.line("client-put", delay_s=delay, reply=reply)
        if not reply.startswith("INSERTED "):
            raise s.CannotRun(f"put was answered {reply}")
        return int(reply.split(" ")[1])

    answers = {}

    def fetch_until(until, wanted):
        """Reserves from the answers tube until an answer to `wanted` came, as a client that waits there does."""
        connection = None
        while time.monotonic() < until and wanted not in answers:
            try:
                if connection is None:
                    connection = s.Beanstalkd((s.HOST, front), timeout=3.0)
                    connection.command("watch done")
                got = connection.reserve(1)
                if got is None:
                    continue
                number, text = got
                head = text.split(b"\n")[0].decode()
                record.line("client-answer", head=repr(head))
                answers[int(head.split(" ")[0])] = head
                connection.command(f"delete {number}")
            except (OSError, EOFError):
                connection = None
                time.sleep(0.1)

    # The front works: a job without a delay gets its answer.
    plain = put(0)
    fetch_until(time.monotonic() + 10, plain)
    if plain not in answers:
        raise s.CannotRun("a job without a delay got no answer")

    delayed, accepted_at = put(DELAY), time.monotonic()
    due = accepted_at + DELAY + BUDGET_MS / 1000.0 + 0.5
    fetching = s.spawn(fetch_until, due, delayed)
    if s.TROUBLE:
        time.sleep(TERM_AFTER)
        run.signal(first, signal.SIGTERM)
        until = time.monotonic() + EXIT_WITHIN
        while first.poll() is None and time.monotonic() < until:
            time.sleep(0.02)
        record.line("first-ended", code=first.poll())
        if first.poll() is None:
            raise s.CannotRun("the process did not end after SIGTERM")
        # The planned restart ends: the next process takes the name and the addresses.
        start("second", "77aa01c4be20f9d3")
    fetching.join()
    record.line("delayed-job", id=delayed, answer=answers.get(delayed))
    if delayed in answers:
        return []
    return [f"job {delayed} was accepted with INSERTED and got no final answer within its delay and budget"]


s.run_case(__file__, body)
