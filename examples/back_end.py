"""Example back end that implements docs/INTERFACES.md: back_end.py NAME ADDRESS:PORT

One lock guards all state. The back end serves one control group and keeps the record of every
request; a long-running server has to expire its records by age.
"""
import json
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import SimpleNamespace
from urllib.parse import parse_qsl, urlencode, urlsplit
from urllib.request import urlopen

BOOT, LOCK, now = random.getrandbits(53), threading.RLock(), time.monotonic
HEADERS = "Service Shard Epoch Key Request-Id Attempt Deadline-Ms Repeatable".split()
me = SimpleNamespace(name="", term=0, session=BOOT, until=0, nonce=BOOT, nonces={}, drained=None, in_flight=0)
shards = {}

def shard_of(service, number):
    return shards.setdefault((service, int(number)), SimpleNamespace(
        epoch=0, released=0, held=False, asked=-9, fetching=False, in_flight=0, whole_from=1e99, record={}))

def expire_lease():
    if 0 < me.until <= now():
        me.session, me.until, me.nonces = me.session + 1, 0, {}
        for shard in shards.values():
            shard.held = shard.fetching = False

def shard_hash(service, shard, epoch):
    value = 0xCBF29CE484222325
    for byte in f"{service}/{shard}/{epoch}".encode():
        value = ((value ^ byte) * 0x100000001B3) % 2**64
    return value

def holdings(_):
    held = [{"service": name, "shard": number, "epoch": s.epoch} for (name, number), s in shards.items() if s.held]
    return {"session": me.session, "shards": held}

def heartbeat(body):
    renewed, nonce, lease = False, 0, body.get("lease")
    if body["term"] >= me.term:
        if lease and lease["session"] == me.session and lease["nonce"] in me.nonces:
            until = me.nonces[lease["nonce"]] + min(lease["duration_ms"], 60_000) / 1000
            renewed = until > now()
            me.until = max(me.until, until) if renewed else me.until
        me.term, me.nonce = body["term"], me.nonce + 1
        nonce, me.nonces = me.nonce, dict([*me.nonces.items(), (me.nonce, now())][-8:])
    held = holdings(body)["shards"]
    return {"boot": BOOT, "session": me.session, "nonce": nonce, "renewed": renewed, "held": len(held),
            "lease_remaining_ms": max(0, int((me.until - now()) * 1000)), "draining": bool(me.drained),
            "held_checksum": sum(shard_hash(**h) for h in held) % 2**64, "in_flight": me.in_flight}

def grant(body):
    answer, stale_term = {"boot": BOOT, "session": me.session, "accepted": [], "refused": []}, body["term"] < me.term
    me.term = max(me.term, body["term"])
    for item in body["grants"]:
        held, shard = {k: item[k] for k in ("service", "shard", "epoch")}, shard_of(item["service"], item["shard"])
        same = shard.held and shard.epoch == item["epoch"]
        reason = ("stale-term" if stale_term else "stale-session" if body["session"] != me.session else
                  "no-lease" if me.until <= now() else
                  "stale-epoch" if item["epoch"] <= shard.released or item["epoch"] < shard.epoch else
                  "draining" if me.drained and not same else None)
        answer["refused" if reason else "accepted"].append({**held, "reason": reason} if reason else held)
        if not reason and not same:
            take_ownership(shard, item, item.get("previous"))
    return answer

def take_ownership(shard, item, previous):
    if previous is None and shard.epoch == 0:
        shard.whole_from = 0
    elif not shard.epoch or shard.epoch not in (item["epoch"], previous and previous["epoch"]):
        shard.whole_from = now() + 900
    shard.epoch, shard.held, shard.asked = item["epoch"], True, -9
    if previous and previous["released"] and shard.whole_from > now():
        shard.fetching = True
        threading.Thread(target=fetch, args=(shard, item, previous), daemon=True).start()

def fetch(shard, item, previous):
    query = urlencode({"service": item["service"], "shard": item["shard"], "epoch": previous["epoch"]})
    try:
        record = json.load(urlopen(f"http://{previous['address']}/grebepin/v1/handover?{query}", timeout=1))
    except (OSError, ValueError):
        record = {"complete": False, "entries": []}
    with LOCK:
        if shard.fetching and shard.epoch == item["epoch"]:
            shard.fetching, shard.whole_from = False, 0 if record["complete"] else shard.whole_from
            shard.record = {e["request_id"]: e["state"] for e in record["entries"]} | shard.record

def release(body):
    answer = {"released": [], "busy": []}
    for item in body["shards"] if body["term"] >= me.term else []:
        shard = shard_of(item["service"], item["shard"])
        if shard.epoch <= item["epoch"] and (shard.in_flight or shard.fetching):
            shard.asked = now()
            answer["busy"].append({**item, "in_flight": shard.in_flight})
            continue
        if shard.epoch <= item["epoch"]:
            shard.held, shard.released = False, item["epoch"]
        answer["released"].append(item)
    return answer

def drain(body):
    me.drained = now() if body["draining"] else None
    return {"draining": body["draining"]}

def not_owner(shard, epoch):
    if shard.epoch != epoch:
        return "wrong-epoch"
    return "no-lease" if me.until <= now() else None if shard.held else "wrong-epoch"

def cancel(body):
    shard, request = shard_of(body["service"], body["shard"]), body["request_id"]
    state = shard.record.get(request)
    if state != "ran":
        if not_owner(shard, body["epoch"]):
            state = "unknown"
        elif state != "not-run":
            proven = state == "running" or body["attempt"] == "1" or shard.whole_from <= now()
            state = shard.record[request] = "not-run" if proven else "unknown"
    return {"state": state, "epoch": shard.epoch if shard.held else 0}

def outcome(query):
    shard = shard_of(query["service"], query["shard"])
    state = shard.record.get(query["request_id"], "unseen" if shard.whole_from <= now() else "unknown")
    return {"state": state if shard.held or state == "ran" else "unknown", "epoch": shard.epoch if shard.held else 0}

def handover(query):
    shard = shard_of(query["service"], query["shard"])
    settled = not shard.held and not shard.in_flight and shard.epoch == int(query["epoch"])
    shard.released = max(shard.released, shard.epoch) if settled else shard.released
    entries = [{"request_id": request, "state": state} for request, state in shard.record.items()]
    return {"complete": settled and shard.whole_from <= now(), "entries": entries}

def health(_):
    return {"state": "draining" if me.drained else "ok"}

def load(_):
    return {"slots": 100, "in_flight": me.in_flight, "waiting": 0}

def admission_refusal(shard, ask):
    """Returns the reason of a refusal, "ran" for a request that ran earlier, or None if it may run."""
    first, repeatable = ask["Attempt"] == "1", ask["Repeatable"] == "true"
    state = shard.record.get(ask["Request-Id"])
    refusal = ("deadline" if int(ask["Deadline-Ms"]) < 1 else not_owner(shard, int(ask["Epoch"])) or
               ("releasing" if now() - shard.asked < 2 else "already-running" if state == "running" else
                "record-incomplete" if state == "unknown" and not repeatable else
                "cancelled" if state in ("not-run", "unknown") else
                "ran" if state == "ran" and not repeatable else
                "releasing" if shard.fetching and not repeatable else
                "record-incomplete" if not (first or repeatable or state or shard.whole_from <= now()) else
                "draining" if me.drained and now() - me.drained > 1.5 else None))
    return refusal

def serve(ask, seconds):
    with LOCK:
        expire_lease()
        shard, request = shard_of(ask["Service"], ask["Shard"]), ask["Request-Id"]
        refusal, session = admission_refusal(shard, ask), me.session
        if refusal:
            return refusal
        shard.record[request], shard.in_flight, me.in_flight = "running", shard.in_flight + 1, me.in_flight + 1
    time.sleep(seconds)  # Stands for the work before its effect.
    with LOCK:
        expire_lease()
        shard.in_flight, me.in_flight = shard.in_flight - 1, me.in_flight - 1
        refusal = not_owner(shard, int(ask["Epoch"]))
        if session != me.session or me.until - now() < 0.02:
            refusal = refusal or "no-lease"
        if not refusal and shard.record[request] != "running":
            return "cancelled"
        if refusal:
            shard.record.pop(request)
            return refusal
        shard.record[request] = "ran"  # The effect has to take place here, under the lock.

CALLS = {
    "GET": {"holdings": holdings, "handover": handover, "outcome": outcome, "health": health, "load": load},
    "POST": {"heartbeat": heartbeat, "grant": grant, "release": release, "cancel": cancel, "drain": drain},
}

class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"  # Enables persistent connections.
    disable_nagle_algorithm = True

    def handle_any(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        if not url.path.startswith("/grebepin/"):
            return self.serve_router(query)
        try:
            if self.command == "POST":
                query = json.loads(body) | {"attempt": self.headers.get("Grebepin-Attempt")}
            self.control(url.path, CALLS[self.command], query)
        except (ValueError, KeyError, TypeError):
            self.answer(400, "malformed")

    do_GET = do_HEAD = do_POST = do_PUT = do_PATCH = do_DELETE = handle_any

    def control(self, path, calls, question):
        call = calls.get(path.removeprefix("/grebepin/v1/"))
        if not call or question.get("server", me.name) != me.name:
            return self.answer(421 if call else 404, "not here")
        with LOCK:
            expire_lease()
            answer = call(question)
        self.answer(200, json.dumps(answer))

    def serve_router(self, query):
        ask = {name: self.headers.get("Grebepin-" + name) for name in HEADERS}
        try:
            numbers = [int(ask[name]) for name in ("Shard", "Epoch", "Attempt", "Deadline-Ms")]
            valid = all(ask.values()) and min(numbers) >= 0 and numbers[2] > 0 and ask["Repeatable"] in ("true", "false")
        except (TypeError, ValueError):
            valid = False
        refusal = serve(ask, float(query.get("work_ms", 0)) / 1000) if valid else "bad-request"
        headers = {"Grebepin-Request-Id": ask["Request-Id"] or "-"}
        if refusal == "ran":
            headers["Grebepin-Ran-Earlier"] = "true"
        elif refusal:
            return self.answer(503, refusal, headers | {"Grebepin-Refusal": refusal})
        self.answer(200, json.dumps({"server": me.name, "request_id": ask["Request-Id"], "key": ask["Key"]}), headers)

    def answer(self, status, text, headers={}):
        self.send_response(status)
        for name, value in {**headers, "Content-Length": len(text.encode())}.items():
            self.send_header(name, str(value))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(text.encode())

    def log_message(self, *_):
        pass


if __name__ == "__main__":
    me.name, address = sys.argv[1], sys.argv[2].rsplit(":", 1)
    server = ThreadingHTTPServer((address[0], int(address[1])), Handler)
    print(f"listening on {server.server_address[0]}:{server.server_address[1]}", flush=True)
    server.serve_forever()
