"""Instance that gets each signal again at each step of its handler.

Handlers run in the main thread between any two steps of it, also of another handler.
"""

import signal
import sys

from fescueflow.gateway.process import run

SIGNALS_MAX = 30


class InterruptedHandler:
    """Handler that is interrupted by its own signal.

    Parameters
    ----------
    handler : callable
    """

    def __init__(self, handler):
        self._handler = handler
        self._left = SIGNALS_MAX
        self._number = 0

    def __call__(self, number, frame):
        """Run the handler."""
        if sys.gettrace():
            self._handler(number, frame)
            return
        self._number = number
        sys.settrace(self._interrupt)
        try:
            self._handler(number, frame)
        finally:
            sys.settrace(None)

    def _interrupt(self, _frame, _event, _argument):
        if self._left:
            self._left -= 1
            signal.raise_signal(self._number)
        return self._interrupt


def main():
    """Run an instance whose handlers are interrupted."""
    install = signal.signal

    def install_interrupted(number, handler):
        known = callable(handler) and number in (signal.SIGTERM, signal.SIGHUP)
        return install(number, InterruptedHandler(handler) if known else handler)

    signal.signal = install_interrupted
    return run()


if __name__ == "__main__":
    sys.exit(main())
