"""The process of a dispatcher is replaced in a tier of twelve whose dispatchers send each other datagrams."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins as s

DISPATCHERS = 12
DEADLINE_MS = 5000
# In seconds. The new process has to say yes within 6 s; SIGKILL follows SIGTERM after 3 s and 0.7 s.
REPLACE_AT = 4.0
LOAD_FOR = 16.0
EVERY = 0.1
YES_WITHIN = 6.0
KILL_AFTER = 3.7


def body(run):
    record = run.record
    clients = s.listen()
    listen = clients.getsockname()[1]
    consoles = [(s.HOST, s.free_port()), (s.HOST, s.free_port())]
    discovery = s.Discovery()
    workers = [s.HttpWorker(f"s-{i}", (s.HOST, listen), record, lambda job: (0.3, "done")) for i in range(3)]
    for worker in workers:
        discovery.put(worker.name, worker.server.text)
    # The other eleven dispatchers of the tier: addresses that take datagrams and never answer.
    others = []
    for _ in range(DISPATCHERS - 1):
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind((s.HOST, 0))
        others.append(peer)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((s.HOST, 0))
        own = f"{s.HOST}:{sock.getsockname()[1]}"
    described = s.settings([("quote", "repeatable", DEADLINE_MS, 500)], peers=True)
    described.update(instances=DISPATCHERS, self_index=0, prices={"peer": 0.01})
    peers = [own] + [f"{s.HOST}:{peer.getsockname()[1]}" for peer in others]

    def start(label, at, seed):
        # Each start has a seed and a second address of its own; all else is the same.
        console = f"{at[0]}:{at[1]}"
        path = run.write_json(f"{label}.json", s.config(
            "n0", listen, discovery.server.text, described, seed=seed, admin_addr=console, peer_listen=own, peers=peers))
        return run.start(label, path, None, {"GW_ADMIN_ADDR": console}, inherit=clients)

    old = start("old", consoles[0], "5f0c2a91d3e44b17")
    s.wait_until(lambda: s.console(consoles[0], "health").startswith("OK"), 20, "the old process says yes")
    answered, breaks = {}, []

    def send(number):
        reference = f"c-{number}"
        headers = (("X-Call-Id", reference), ("X-Call-Class", "quote"), ("X-Caller", "acme"), ("X-Budget-Ms", str(DEADLINE_MS)))
        try:
            status, _, text = s.http_call((s.HOST, listen), "POST", "/api", headers, f"quote {number}".encode(), 7.0)
        except (OSError, EOFError) as reason:
            status, text = 0, str(reason).encode()
        answered[reference] = status
        record.line("client-answer", id=reference, status=status, body=repr(text.decode("latin-1")))

    def replace():
        new = start("new", consoles[1], "77aa01c4be20f9d3")
        until = time.monotonic() + YES_WITHIN
        while True:
            if new.poll() is not None:
                last = run.log_text(new).strip().splitlines()[-1:]
                record.line("new-process-ended", code=new.poll(), log=repr(last))
                breaks.append(f"the new process ended by itself with code {new.poll()}, {last}")
                return
            said = s.console(consoles[1], "health")
            if said.startswith("OK"):
                break
            if time.monotonic() > until:
                record.line("new-process-says-no", answer=repr(said))
                breaks.append(f"the new process did not say yes within {YES_WITHIN} s: {said}")
                return
            time.sleep(0.05)
        record.line("new-process-says-yes", pid=new.pid)
        run.signal(old, signal.SIGTERM)
        try:
            old.wait(KILL_AFTER)
        except Exception:
            run.signal(old, signal.SIGKILL)
        record.line("old-ended", code=old.poll())

    threads, began, number, replaced = [], time.monotonic(), 0, None
    while time.monotonic() < began + LOAD_FOR:
        if s.TROUBLE and replaced is None and time.monotonic() >= began + REPLACE_AT:
            replaced = s.spawn(replace)
        threads.append(s.spawn(send, number))
        number += 1
        time.sleep(EVERY)
    for thread in threads:
        thread.join()
    if replaced is not None:
        replaced.join()
    served = sum(1 for status in answered.values() if status == 200)
    print(f"sent {number}, served {served}")
    if served == 0:
        raise s.CannotRun("no job was served")
    if not s.TROUBLE and old.poll() is not None:
        breaks.append("the dispatcher ended")
    return breaks


s.run_case(__file__, body)
