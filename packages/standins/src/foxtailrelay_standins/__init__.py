"""Stand-ins for the platform and the backend servers, for development.

Each stand-in consists of a model, which also runs inside a test process and
in virtual time, and an HTTP application that serves the model::

    python -m foxtailrelay_standins log --port 9000

The models record every call that they run; tests compare the results of the
nodes with these records.
"""

from foxtailrelay_standins import models

__all__ = ['models']
