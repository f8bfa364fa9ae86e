"""What is learned of the speed of engines, by service."""

import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import first_event_model

_LOG = logbook.Logger('foxtailrelay.dispatch')
# A server that was not measured for so long is forgotten.
_EVICT_AFTER_S = 600.0


class ServiceSpeeds:
    """Models of the services whose engines answer requests.

    A node and its dispatcher share them.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of measurements.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._model_by_service: dict[
            str, first_event_model.FirstEventModel
        ] = {}
        self._measured_s: dict[tuple[str, tuple[str, int]], float] = {}

    def in_use(
        self, service: str
    ) -> first_event_model.FirstEventFigures | None:
        """Return the figures to use in place of the assumed ones, if any."""
        model = self._model_by_service.get(service)
        return model.in_use if model else None

    def learned_tokens_per_s(self, service: str) -> float | None:
        """Return the prompt tokens per second of an engine of mean speed.

        None while not enough is known, also if the assumed figures hold.
        """
        model = self._model_by_service.get(service)
        learned = model.learned if model else None
        return learned.tokens_per_s if learned else None

    def learned_by_service(self) -> dict[str, float]:
        """Return the learned prompt tokens per second of each service."""
        return {
            service: learned.tokens_per_s
            for service, model in self._model_by_service.items()
            if (learned := model.learned) is not None
        }

    def speed(self, server: backend_server.BackendServer) -> float:
        """Return the lasting speed of a server relative to its service."""
        model = self._model_by_service.get(server.service)
        return model.speed(server.instance_key) if model else 1.0

    def record(
        self,
        server: backend_server.BackendServer,
        sample: first_event_model.FirstEventSample,
    ) -> None:
        """Record a measured time to a first event."""
        service = server.service
        model = self._model_by_service.get(service)
        if model is None:
            model = first_event_model.FirstEventModel()
            self._model_by_service[service] = model
        before = model.in_use
        model.record(server.instance_key, sample)
        self._measured_s[service, server.instance_key] = self._clock.boot_s()
        if (before is None) != (model.in_use is None):
            self._log_use(service, model)

    def evict(self) -> None:
        """Forget servers that were not measured for long."""
        before_s = self._clock.boot_s() - _EVICT_AFTER_S
        for key, measured_s in list(self._measured_s.items()):
            if measured_s < before_s:
                del self._measured_s[key]
                service, instance_key = key
                self._model_by_service[service].forget(instance_key)

    def _log_use(
        self, service: str, model: first_event_model.FirstEventModel
    ) -> None:
        learned = model.learned or first_event_model.ASSUMED
        _LOG.info(
            'service-speed-learned',
            extra={
                'service': service,
                'empty_prompt_s': round(learned.empty_prompt_s, 4),
                'tokens_per_s': round(learned.tokens_per_s),
                'in_use': model.in_use is not None,
            },
        )
