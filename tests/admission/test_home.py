"""Grants by one home and slots from a remote home."""

import unittest
from dataclasses import replace

from returns.result import Success

from fescueflow.configuration import Group
from fescueflow.core import ListState, UpstreamKind
from fescueflow.schema import (
    SlotGrant,
    SlotOutcome,
    SlotRefusalReason,
    SlotRequest,
)
from tests.rights.simulation import Engine, Simulation

WARM = Group("g", UpstreamKind.ENGINE, 8, 2, 100.0)


def make_simulation(group=WARM, size=3, upstreams=1, **changes):
    simulation = Simulation(1, size=size, upstreams=upstreams, group=group, **changes)
    simulation.run(14)
    return simulation


def find_home(simulation, upstream):
    return next(n for n in simulation.nodes.values() if n.rights.is_home(upstream))


class TestHome(unittest.TestCase):
    def setUp(self):
        self.simulation = make_simulation()
        self.upstream = self.simulation.upstreams[0]
        self.home = find_home(self.simulation, self.upstream)
        self.other = next(
            n for n in self.simulation.nodes.values() if n is not self.home
        )

    def acquire(self, key, node=None, **changes):
        demand = self.simulation.demand(self.upstream, key, **changes)
        return (node or self.home).admission.acquire(demand)

    def refuse_reason(self, key, **changes):
        return self.acquire(key, **changes).failure().reason

    def test_warm_report_starts_at_warm_limit(self):
        """Guards against a new home that throttles a warm engine."""
        for index in range(8):
            self.assertIsInstance(self.acquire(f"k{index}"), Success)
        self.assertEqual(self.refuse_reason("k8"), SlotRefusalReason.OVER_BOUND)

    def test_refused_connection_sets_cold_limit_at_once(self):
        """Guards against full load on an upstream that turned cold."""
        slot = self.acquire("a").unwrap()
        self.home.admission.release(slot, SlotOutcome.REFUSED_BY_UPSTREAM)
        self.acquire("b")
        self.acquire("c")
        self.assertEqual(self.refuse_reason("d"), SlotRefusalReason.OVER_BOUND)
        self.assertTrue(self.home.admission.get_status()[0].cold)

    def test_new_engine_incarnation_sets_cold_limit(self):
        """Guards against full load on a restarted engine."""
        self.simulation.engines["u0"] = Engine(self.simulation.clock.now - 2)
        self.simulation.engines["u0"].incarnation = "e2"
        self.simulation.run(2)
        status = self.home.admission.get_status()[0]
        self.assertEqual((status.cold, status.limit), (True, 2))

    def test_report_that_turns_cold_sets_cold_limit(self):
        """Guards against full load on an engine that is cold by its report only."""
        self.simulation.engines["u0"].warm = False
        self.simulation.run(2)
        status = self.home.admission.get_status()[0]
        self.assertEqual((status.cold, status.limit), (True, 2))

    def test_repeat_gets_the_same_slot(self):
        """Guards against two slots for one demand after a lost response."""
        first = self.acquire("same", self.other).unwrap()
        again = self.acquire("same", self.other).unwrap()
        self.assertEqual(first.id, again.id)
        self.assertEqual(self.home.admission.get_status()[0].in_flight, 1)

    def test_release_frees_once(self):
        """Guards against a repeated release that frees another slot."""
        slot = self.acquire("a", self.other).unwrap()
        self.acquire("b", self.other)
        for _ in range(2):
            self.other.admission.release(slot, SlotOutcome.COMPLETED, 0.1)
            self.simulation.step()
        pool = self.home.admission._home.list_pools()[0]
        self.assertEqual(len(pool.slots), 1)

    def test_start_by_stays_within_the_lease(self):
        """Guards against a start after another home has leased the share."""
        self.simulation.clock.now += 1.0
        shares = self.home.rights.get_shares("u0")
        slot = self.acquire("a", self.other).unwrap()
        latest = max(lease.expires_at for lease in shares.leases)
        self.assertLessEqual(slot.start_by, latest)

    def test_silent_home_is_unavailable(self):
        """Guards against a requester that hangs when its home is dead."""
        self.home.paused_until = float("inf")
        answer = self.acquire("a", self.other)
        self.assertEqual(answer.failure().reason, SlotRefusalReason.UNAVAILABLE)

    def test_withdrawn_and_leaving_upstreams_get_nothing(self):
        """Guards against new work once an upstream is withdrawn or leaving."""
        configuration = self.simulation.store.value
        changes = [
            {"withdrawn": frozenset([self.upstream.zone])},
            {"leaving": frozenset(["u0"])},
        ]
        for change in changes:
            self.simulation.store.value = replace(configuration, **change)
            reason = self.refuse_reason(str(change), wait_s=5.0)
            self.assertEqual(reason, SlotRefusalReason.UNAVAILABLE)
        self.simulation.store.value = configuration
        leaving = replace(self.upstream, state=ListState.LEAVING)
        self.simulation.set_listed(self.simulation.names, [leaving])
        self.simulation.run(5)
        self.assertEqual(self.refuse_reason("l"), SlotRefusalReason.UNAVAILABLE)

    def test_paused_home_admits_nothing(self):
        """Guards against a frozen home that resumes and keeps granting slots."""
        self.simulation.clock.now += 5
        self.assertEqual(self.refuse_reason("a"), SlotRefusalReason.NO_SHARES)

    def test_slots_of_a_gone_instance_are_reclaimed(self):
        """Guards against capacity that is lost when its holder dies."""
        for index in range(8):
            self.acquire(f"k{index}", self.other)
        self.simulation.kill(self.other.name)
        self.simulation.run(7)
        self.assertIsInstance(self.acquire("next"), Success)

    def test_wait_ends_with_the_wait_bound(self):
        """Guards against a wait that exceeds ``wait_s`` of the demand."""
        for index in range(8):
            self.acquire(f"k{index}")
        started_at = self.simulation.clock.now
        reason = self.refuse_reason("late", wait_s=0.2)
        self.assertEqual(reason, SlotRefusalReason.OVER_BOUND)
        self.assertAlmostEqual(self.simulation.clock.now - started_at, 0.2, places=3)

    def test_remote_grant_counts_from_before_the_request(self):
        """Guards against a slow response that moves ``start_by`` past the lease."""

        def delay(handler):
            def answer(sender, content):
                result = handler(sender, content)
                self.simulation.clock.now += 0.5
                return result

            return answer

        handlers = self.home.frames.handlers
        handlers[SlotRequest] = delay(handlers[SlotRequest])
        asked_at = self.simulation.clock.now
        slot = self.acquire("a", self.other).unwrap()
        self.assertLessEqual(slot.start_by, asked_at + 1.0)

    def test_unknown_priority_is_refused(self):
        """Guards against a handler that fails on a priority of a newer version."""
        handler = self.home.frames.handlers[SlotRequest]
        answer = handler(self.other.sender, SlotRequest("k", "u0", "c", 9, 1, 0, 1000))
        self.assertNotIsInstance(answer, SlotGrant)

    def test_released_slot_goes_to_the_queue(self):
        """Guards against waiting entries that are not served after a release."""
        slots = [self.acquire(f"k{index}").unwrap() for index in range(8)]
        pool = self.home.admission._home.list_pools()[0]
        own = self.home.member
        demand = self.simulation.demand(self.upstream, "waits", wait_s=9.0)
        entry = self.home.admission._home._enqueue(
            pool, (own.instance, own.incarnation), demand, self.simulation.clock.now
        )
        self.assertFalse(entry.event.is_set())
        self.home.admission.release(slots[0], SlotOutcome.COMPLETED)
        self.assertIsInstance(entry.result, Success)


class TestGroupLoad(unittest.TestCase):
    def test_no_engine_exceeds_the_bound(self):
        """Guards against one engine that takes much more than the mean."""
        group = Group("g", UpstreamKind.ENGINE, 100, 100, 1.25)
        simulation = make_simulation(group, size=3, upstreams=3)
        for index in range(60):
            upstream = simulation.upstreams[0 if index % 2 else index % 3]
            node = simulation.nodes[f"i{index % 3}"]
            simulation.request(node, upstream, 100.0)
            simulation.run(0.3)
            loads = [len(engine.running) for engine in simulation.engines.values()]
            self.assertLessEqual(max(loads), 1.25 * (sum(loads) + 1) / 3 + 1)
        self.assertGreater(sum(loads), 10)

    def test_slots_that_are_never_started_leave_the_mean(self):
        """Guards against slots of a frozen instance that raise the load bound."""
        group = Group("g", UpstreamKind.ENGINE, 100, 100, 1.25)
        simulation = make_simulation(group, size=3, upstreams=3)
        holder = simulation.nodes["i0"]
        for number in range(3):
            for upstream in simulation.upstreams:
                demand = simulation.demand(upstream, f"{upstream.id}-{number}")
                holder.admission.acquire(demand).unwrap()
            simulation.run(0.3)
        simulation.run(3)
        demands = [
            simulation.demand(simulation.upstreams[0], f"next{n}") for n in range(2)
        ]
        answers = [holder.admission.acquire(demand) for demand in demands]
        self.assertIsInstance(answers[0], Success)
        reason = answers[1].failure().reason
        self.assertEqual(reason, SlotRefusalReason.OVER_BOUND)


class TestService(unittest.TestCase):
    def test_new_home_of_a_service_starts_cold_and_counts_carried_load(self):
        """Guards against a new home that ignores requests of its predecessor."""
        group = Group("g", UpstreamKind.SERVICE, 4, 2, 1.25)
        simulation = make_simulation(group, size=3, upstreams=1)
        upstream = simulation.upstreams[0]
        home = find_home(simulation, upstream)
        others = [n for n in simulation.nodes.values() if n is not home]
        for index in range(2):
            demand = simulation.demand(upstream, f"k{index}")
            others[0].admission.acquire(demand).unwrap()
        simulation.kill(home.name)
        simulation.run(20)
        new_home = find_home(simulation, upstream)
        answer = new_home.admission.acquire(simulation.demand(upstream, "new"))
        self.assertEqual(answer.failure().reason, SlotRefusalReason.OVER_BOUND)


if __name__ == "__main__":
    unittest.main()
