"""The process is replaced while jobs of clients that send no call id are out."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

DEADLINE_MS = 15000
# In seconds.
RUN_TIME = 4.0
YES_WITHIN = 6.0
KILL_AFTER = 3.7
JOBS = 6


def body(run):
    record = run.record
    socket = s.listen()
    listen = socket.getsockname()[1]
    consoles = [(s.HOST, s.free_port()), (s.HOST, s.free_port())]
    discovery = s.Discovery()
    workers = [s.HttpWorker(f"s-{i}", (s.HOST, listen), record, lambda job: (RUN_TIME, "done")) for i in range(2)]
    for worker in workers:
        discovery.put(worker.name, worker.server.text)
    described = s.settings([("report", "repeatable", DEADLINE_MS, 9000)])
    operator = run.write_json("operator.json", {"routes": [{"path": "/reports", "class": "report"}]})
    path = run.write_json("config.json", s.config("n1", listen, discovery.server.text, described))

    def start(label, at):
        return run.start(label, path, operator, {"GW_ADMIN_ADDR": f"{at[0]}:{at[1]}"}, inherit=socket)

    old = start("old", consoles[0])
    s.wait_until(lambda: s.console(consoles[0], "health").startswith("OK"), 20, "the old process says yes")
    answered = {}

    def send(number):
        text = f"report {number}"
        record.line("client-sent", body=repr(text))
        try:
            status, _, got = s.http_call(
                (s.HOST, listen), "POST", "/reports", (("X-Budget-Ms", str(DEADLINE_MS)),), text.encode(), DEADLINE_MS / 1000 + 2)
        except (OSError, EOFError) as reason:
            status, got = 0, str(reason).encode()
        answered[number] = (status, got.decode("latin-1"))
        record.line("client-answer", to=repr(text), status=status, body=repr(got.decode("latin-1").strip()))

    threads = []
    for number in range(JOBS):
        threads.append(s.spawn(send, number))
        time.sleep(0.05)
    if s.TROUBLE:
        new = start("new", consoles[1])
        until = time.monotonic() + YES_WITHIN
        while not s.console(consoles[1], "health").startswith("OK"):
            if time.monotonic() > until:
                raise s.CannotRun("the new process does not say yes")
            time.sleep(0.02)
        record.line("new-process-says-yes", pid=new.pid)
        run.signal(old, signal.SIGTERM)
        time.sleep(0.8)
    for number in range(JOBS, 2 * JOBS):
        threads.append(s.spawn(send, number))
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    breaks = []
    for number, (status, text) in sorted(answered.items()):
        if status == 200 and text != f"result of report {number}":
            breaks.append(f"the client that sent 'report {number}' was answered {text!r}")
    print({n: a for n, a in sorted(answered.items())})
    return breaks


s.run_case(__file__, body)
