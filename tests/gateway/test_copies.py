"""End-to-end tests of copying shared prefixes between upstreams."""

import unittest

from tests.gateway.gateway_case import GatewayTestCase, make_table


class CopyTest(GatewayTestCase):
    """Guards against reading prompts again although an upstream holds them."""

    prompt = {"X-Prefix-Hash": "5c:10000,e4:100", "X-Token-Count": "10100,80"}

    def setUp(self):
        super().setUp()
        engine = {
            "slots": 8,
            "kv_capacity": 690039,
            "kv_token_bytes": 35136,
            "link_mbps": 550000.0,
        }
        service = {"name": "engines", "max_connections": 100, "engine": engine}
        self.store.put("op/config", make_table(2, services=[service]))
        self.assertEqual(self.call("/stream/1", headers=self.prompt)[0], 200)
        self.wait_for(lambda: self.gateway.is_ready())

    def find_holder(self):
        """Return the index of the upstream that has read the prompt."""
        return self.count_arrivals().index(1)

    def test_part_is_copied_from_a_draining_upstream(self):
        holder = self.upstreams[self.find_holder()]
        other = self.upstreams[1 - self.find_holder()]
        entry = holder.make_entry(state="draining")
        self.store.put(f"servers/{holder.name}", entry)

        def is_served_by_other():
            self.assertEqual(self.call("/stream/1", headers=self.prompt)[0], 200)
            return bool(other.arrivals)

        self.wait_for(is_served_by_other)
        self.assertEqual(other.arrivals[0][1]["Kv-Fetch"], holder.address)
        self.assertEqual(self.call("/stream/1", headers=self.prompt)[0], 200)
        self.assertNotIn("Kv-Fetch", other.arrivals[-1][1])

    def test_presumed_holder_is_told_where_else_the_part_may_be(self):
        """An engine that has evicted the part would read 10,000 tokens again."""
        index = self.find_holder()
        other = self.upstreams[1 - index]
        platform_state = self.gateway._platform_state
        self.wait_for(lambda: len(platform_state.list_upstreams("engines", 0.0)) == 2)
        self.assertEqual(self.call("/stream/1", headers=self.prompt)[0], 200)
        _, headers, _ = self.upstreams[index].arrivals[-1]
        self.assertEqual(headers["Kv-Fetch"], other.address)

    def test_prompt_without_a_shared_part_has_no_source(self):
        sent = {"X-Prefix-Hash": ":5000,e4:10", "X-Token-Count": "5010,80"}
        self.assertEqual(self.call("/stream/1", headers=sent)[0], 200)
        for upstream in self.upstreams:
            for _, headers, _ in upstream.arrivals:
                if headers["X-Prefix-Hash"] == sent["X-Prefix-Hash"]:
                    self.assertNotIn("Kv-Fetch", headers)

    def test_restarted_upstream_is_not_a_copy_source(self):
        holder = self.upstreams[self.find_holder()]
        other = self.upstreams[1 - self.find_holder()]
        self.store.put(f"servers/{holder.name}", holder.make_entry(born=2))
        # The restarted upstream has an empty cache; instances detect it within 0.5 s.
        selector = self.gateway._selector
        self.wait_for(lambda: not selector._holders._prefixes["5c"].used_at)
        self.store.put(
            f"servers/{holder.name}", holder.make_entry(born=2, state="draining")
        )

        # A request before this would make the upstream a holder again.
        platform_state = self.gateway._platform_state
        self.wait_for(lambda: len(platform_state.list_upstreams("engines", 0.0)) == 1)
        self.assertEqual(self.call("/stream/1", headers=self.prompt)[0], 200)
        self.assertNotIn("Kv-Fetch", other.arrivals[0][1])

    def test_caller_cannot_set_the_copy_source(self):
        sent = {**self.prompt, "Kv-Fetch": "127.0.0.1:9"}
        self.assertEqual(self.call("/stream/1", headers=sent)[0], 200)
        addresses = {upstream.address for upstream in self.upstreams}
        for upstream in self.upstreams:
            for _, headers, _ in upstream.arrivals:
                allowed = {None} | addresses - {upstream.address}
                self.assertIn(headers.get("Kv-Fetch"), allowed)


if __name__ == "__main__":
    unittest.main()
