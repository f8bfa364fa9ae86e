"""Runs trio functions in virtual time, the same way every time."""

import functools
import random

import trio
from trio import testing

_SEED = 20261204


def run(function, *args, seed: int = _SEED):
    """Run an async function; sleeping costs no real time.

    Trio shuffles the tasks that can run; a seed makes the order, and with
    it every test, repeatable.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random.seed(seed)
    clock = testing.MockClock(autojump_threshold=0)
    return trio.run(functools.partial(function, *args), clock=clock)
