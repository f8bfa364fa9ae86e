"""Stand-ins for the platform and the backend servers, for development.

Each stand-in has a model that works in one process and in virtual time, and
an HTTP application around it that runs with ``python -m``::

    python -m foxtailrelay_standins log --port 9000

The models keep a record of every call that they really ran; tests take that
record as the truth.
"""

from foxtailrelay_standins import models

__all__ = ['models']
