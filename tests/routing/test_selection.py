"""Tests of the selection of route, customer and service."""

import unittest

from fescueflow.routing import (
    NoRoute,
    ServiceId,
    UnknownKey,
    choose_service,
    find_customer,
    find_route,
)
from tests.routing.builders import make_customer, make_route, make_table


class FindRouteTest(unittest.TestCase):
    """Guards against requests that reach the service of another route."""

    def test_longest_prefix_of_the_host(self):
        short, long = make_route("/chat/"), make_route("/chat/long/")
        other = make_route("/chat/long/er/", host="other.example")
        table = make_table(short, long, other)
        found = find_route(table, "Fleet.Example:80", "/chat/long/er/1")
        self.assertEqual(found, long)

    def test_no_route(self):
        table = make_table(make_route("/chat/"))
        for host, path in (("fleet.example", "/chats/"), ("x.example", "/chat/")):
            with self.assertRaises(NoRoute):
                find_route(table, host, path)


class FindCustomerTest(unittest.TestCase):
    """Guards against requests of callers whose API key was revoked."""

    def test_unknown_key(self):
        table = make_table(make_route(), customers={"k": make_customer()})
        route = make_route()
        self.assertEqual(find_customer(table, route, "k"), make_customer())
        for key in ("other", "", None):
            with self.assertRaises(UnknownKey):
                find_customer(table, route, key)

    def test_public_route_and_no_customers(self):
        table = make_table(make_route(), customers={"k": make_customer()})
        self.assertIsNone(find_customer(table, make_route(is_public=True), None))
        self.assertIsNone(find_customer(make_table(), make_route(), None))


class ChooseServiceTest(unittest.TestCase):
    """Guards against traffic shares that differ from the weights."""

    def test_weights(self):
        a, b = ServiceId("a"), ServiceId("b")
        route = make_route(targets=((a, 90), (b, 10)))
        chosen = [choose_service(route, f"id{n}") for n in range(2000)]
        self.assertAlmostEqual(chosen.count(b) / 2000, 0.1, delta=0.03)
        self.assertEqual(chosen[0], choose_service(route, "id0"))

    def test_service_without_weight_gets_nothing(self):
        a, b = ServiceId("a"), ServiceId("b")
        route = make_route(targets=((a, 0), (b, 5)))
        chosen = {choose_service(route, f"id{n}") for n in range(200)}
        self.assertEqual(chosen, {b})


if __name__ == "__main__":
    unittest.main()
