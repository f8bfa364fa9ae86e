"""A trio loop in virtual time that synchronous code can call into."""

import functools
import queue
import threading

from common import virtual_time

_STOP = None


class VirtualLoop:
    """Runs async functions for a state machine, whose rules are not async.

    The loop has a thread of its own and blocks there between calls, so the
    two threads never run at once, every example starts at time 0, and the
    same calls give the same result.
    """

    def __init__(self, seed):
        self._requests = queue.SimpleQueue()
        self._answers = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._run, args=(seed,), daemon=True
        )
        self._thread.start()

    def call(self, function, *args):
        """Run an async function and return its result."""
        self._requests.put(functools.partial(function, *args))
        result, error = self._answers.get()
        if error is not None:
            raise error
        return result

    def stop(self):
        """Stop the loop and its thread."""
        self._requests.put(_STOP)
        self._thread.join()

    def _run(self, seed):
        try:
            virtual_time.run(self._serve, seed=seed)
        except BaseException as error:
            # A task of the cluster crashed; the waiting call raises its error.
            self._answers.put((None, error))

    async def _serve(self):
        while True:
            request = self._requests.get()
            if request is _STOP:
                return
            try:
                self._answers.put((await request(), None))
            except Exception as error:
                self._answers.put((None, error))
