"""Demonstrate a fleet of nine instances with stand-ins, faults and operator actions."""

import sys
import time

from tests.standins.caller import Caller
from tests.standins.content import make_message
from tests.standins.deployment import FIRST_USER, LEDGER, MODEL, Deployment
from tests.standins.fleet import Fleet, FleetError

SYSTEM_PROMPT = "You answer for the tenants of one housing association. " * 200
PAYOUT = b'{"account": "4711", "amount": 250}'


class DemoError(Exception):
    """A check of the demo failed."""


def report(text):
    print(text, flush=True)


def require(condition, problem):
    if not condition:
        raise DemoError(problem)


class Demo:
    """Steps of the demo, run against a started fleet."""

    def __init__(self, deployment, fleet):
        self.deployment, self.fleet = deployment, fleet
        self.history = [{"role": "system", "content": SYSTEM_PROMPT}]
        self.caller = Caller(fleet.get_addresses, "customer-3", seed=1)

    def ask_chat(self, turn):
        message = make_message("customer-3", "chat-1", turn, text="What is due?")
        self.history.append({"role": "user", "content": message})
        result = self.caller.chat(MODEL, "chat-1", list(self.history))
        require(result.whole, f"chat turn {turn}: {result.kind.value} {result.detail}")
        self.history.append({"role": "assistant", "content": result.content})
        engine = self.deployment.engines[result.upstream]
        entry = [e for e in engine.ledger.get_entries() if e.message == message][-1]
        report(
            f"  turn {turn}: {len(result.gaps_s) + 1} tokens from {result.upstream} "
            f"through {result.instance}, first after "
            f"{result.first_token_s * 1000:.0f} ms, {entry.cached_tokens} of "
            f"{entry.prompt_tokens} prompt tokens were cached"
        )
        return result, entry

    def serve_chat(self):
        report(
            "A chat is streamed and returns to the engine that has its prefix cached."
        )
        first, _ = self.ask_chat(1)
        second, entry = self.ask_chat(2)
        require(first.upstream == second.upstream, "the chat moved to another engine")
        require(entry.cached_tokens > 0, "no prefix of the returning chat was cached")

    def serve_quote(self):
        report("A plain service returns a complete answer.")
        result = self.caller.call_service(
            LEDGER, "POST", "/quotes", b'{"unit": 12}', idempotent=True
        )
        require(result.whole, f"quote: {result.kind.value} {result.detail}")
        report(f"  {result.upstream} answered in {result.total_s * 1000:.0f} ms")

    def repeat_payout(self):
        report("A payout is sent twice with one request id to two instances.")
        request_id = self.caller.take_request_id(LEDGER)
        require(request_id is not None, "no instance issued a request id")
        addresses = [i.http_address for i in self.fleet.get_running()][:2]
        results = [
            self.caller.call_service(
                LEDGER, "POST", "/payouts", PAYOUT, False, request_id, address
            )
            for address in addresses
        ]
        for result in results:
            require(result.whole, f"payout: {result.kind.value} {result.detail}")
        require(results[0].body == results[1].body, "the two answers differ")
        runs = sum(
            service.ledger.count_executions()[request_id]
            for service in self.deployment.services.values()
        )
        require(runs == 1, f"the payout ran {runs} times")
        report("  it ran once; both calls got the same answer")

    def kill_instance(self):
        victim = self.fleet.get_running()[0].id
        report(f"{victim} is killed; callers use another instance.")
        self.fleet.kill(victim)
        self.ask_chat(3)
        self.serve_quote()

    def publish_revision(self, description, **changes):
        revision = self.deployment.publish(**changes)
        started = time.monotonic()
        running = [i.id for i in self.fleet.get_running()]
        self.fleet.wait_until(
            lambda: all(
                self.fleet.read_configuration(name).get("revision") == revision
                for name in running
            ),
            5.0,
            f"revision {revision} in force on {len(running)} instances",
        )
        took_s = time.monotonic() - started
        report(
            f"{description}: revision {revision} is in force on all {len(running)} "
            f"instances after {took_s:.2f} s."
        )

    def withdraw_zone(self):
        zone = self.deployment.preset.zones[0]
        self.publish_revision(f"{zone} is withdrawn", withdrawn=[zone])
        time.sleep(self.fleet.timings["address_keep_ms"] / 1000)
        withdrawn = set(self.fleet.get_zone(zone))
        outside = {
            name
            for number, name in enumerate(self.deployment.engines)
            if self.deployment.get_zone(number) != zone
        }
        for turn in range(4, 7):
            result, _ = self.ask_chat(turn)
            require(
                result.instance not in withdrawn,
                "an instance in the withdrawn zone served the chat",
            )
            require(
                result.upstream in outside,
                "an engine in the withdrawn zone served the chat",
            )

    def run(self):
        self.serve_chat()
        self.serve_quote()
        self.repeat_payout()
        self.kill_instance()
        self.publish_revision("A higher limit is published", warm_limit=24)
        self.withdraw_zone()
        breaches = self.fleet.count_breaches()
        require(not breaches, f"invariants were breached: {breaches}")
        errors = self.deployment.get_errors()
        require(not errors, f"stand-ins failed: {errors}")


def main():
    started = time.monotonic()
    try:
        with Deployment(FIRST_USER) as deployment:
            count = len(deployment.get_upstreams())
            report(f"{count} upstreams and the platform stand-ins are running.")
            with Fleet(deployment, 9) as fleet:
                took_s = time.monotonic() - started
                report(f"9 instances in 3 zones are ready after {took_s:.1f} s.")
                Demo(deployment, fleet).run()
            left = [i.id for i in fleet.instances.values() if i.is_running()]
            require(not left, f"processes are still running: {left}")
    except (DemoError, FleetError, OSError) as error:
        print(f"demo failed: {error}", file=sys.stderr, flush=True)
        return 1
    report("All checks passed; all processes have ended.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
