"""Tests of requests that run while the settings or the configuration change."""

import threading
from dataclasses import replace

from tests.gateway.fake_servers import make_event
from tests.gateway.gateway_case import ROUTES, WAIT_S, GatewayTestCase, make_table
from tests.gateway.raw_callers import connect, list_statuses, read_all, render_request

# End of a head that asks for the close of the connection, up to which callers read.
CLOSE = b"\r\nConnection: close\r\n\r\n"


class ChangeMeanwhileTest(GatewayTestCase):
    """Guards against requests that end because of a change that came after them."""

    def setUp(self):
        super().setUp()
        self.released = threading.Event()
        self.addCleanup(self.released.set)
        self.set_script(self.answer, self.answer)
        self.callers = [self.send(path) for path in ("/single/1", "/once/1", "/safe/1")]
        self.wait_for(lambda: sum(self.count_arrivals()) == len(self.callers))

    def answer(self, handler):
        if handler.path != "/single/1":
            self.released.wait(WAIT_S)
            handler.send_sealed()
            return
        handler.start_stream()
        handler.send_event(1)
        self.released.wait(WAIT_S)
        handler.send_event(2)
        handler.end_stream()

    def send(self, path):
        caller = connect(self.ports["callers"])
        self.addCleanup(caller.close)
        caller.sendall(render_request(path).replace(b"\r\n\r\n", CLOSE))
        return caller

    def check_answers(self):
        self.released.set()
        stream, *others = [read_all(caller)[0] for caller in self.callers]
        self.assertIn(make_event(2), stream)
        self.assertTrue(stream.endswith(b"0\r\n\r\n"))
        self.assertEqual([list_statuses(data) for data in others], [[200], [200]])

    def test_settings(self):
        boot = self.gateway._boot
        self.gateway._load = lambda: replace(boot, grace_s=0.1, repeat_base=0.0)
        self.gateway.request_reload()
        self.wait_for(lambda: self.gateway._boot.grace_s == 0.1)
        self.check_answers()

    def test_configuration_without_the_routes(self):
        self.store.put("op/config", make_table(2, routes=ROUTES[:1]))
        self.wait_for(lambda: self.call("/safe/2")[0] == 404)
        self.check_answers()

    def test_configuration_without_the_key(self):
        tenants = [{"name": "c1", "api_keys": ["k2"]}]
        self.store.put("op/config", make_table(2, tenants=tenants))
        self.wait_for(lambda: self.call("/safe/2")[0] == 401)
        self.check_answers()

    def test_upstreams_that_are_removed(self):
        for upstream in self.upstreams:
            self.store.put(f"servers/{upstream.name}", None)
        self.wait_for(lambda: not self.gateway._platform_state.list_all())
        self.check_answers()

    def test_upstreams_that_leave(self):
        for upstream in self.upstreams:
            entry = upstream.make_entry(state="draining", sequence=2)
            self.store.put(f"servers/{upstream.name}", entry)
        self.wait_for(lambda: self.call("/safe/2")[0] == 503)
        self.check_answers()
