"""Runs trio functions in virtual time, deterministically."""

import functools
import random

import trio
from trio import testing

_SEED = 20261204


def run(function, *args, seed: int = _SEED):
    """Run an async function; sleeping takes no real time.

    Trio shuffles the runnable tasks; the seed makes their order, and so
    every test, repeatable.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    random.seed(seed)
    clock = testing.MockClock(autojump_threshold=0)
    return trio.run(functools.partial(function, *args), clock=clock)
