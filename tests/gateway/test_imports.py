"""Test of what a process of the gateway loads."""

import subprocess
import sys
import unittest

SCRIPT = """
import sys
import fescueflow.gateway.process
unwanted = {"capnp", "fescueflow.schema", "fescueflow.rights"}
print(sorted(unwanted.intersection(sys.modules)))
"""


class ImportTest(unittest.TestCase):
    """Guards against starts that load packages which only ``serve`` needs."""

    def test_gateway_loads_no_schema(self):
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
