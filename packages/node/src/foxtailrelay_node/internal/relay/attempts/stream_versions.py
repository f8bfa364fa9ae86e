"""Keeps each stream at the software version that began it."""

from foxtailrelay_core import errors
from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import step_reader
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import event_splitter
from foxtailrelay_node.internal.relay.peers import stream_search
from foxtailrelay_node.internal.relay.policy import event_steps
from foxtailrelay_node.internal.relay.policy import stream_position
from foxtailrelay_node.internal.relay.policy import stream_start
from foxtailrelay_node.internal.relay.policy import stream_version

_LOG = logbook.Logger('foxtailrelay.requests')
# Beyond the route's timeout, a stream that its caller takes up may be so old.
_WINDOW_MARGIN_S = 2.0
# A caller may come back for this time after its deadline.
_KEEP_AFTER_DEADLINE_S = 30.0
_MAX_KEEP_S = 600.0
# The list of another node may be current.
_OTHER_NODE_RETRY_AFTER_S = 0.3
# A server that replaces failed ones takes seconds to boot.
_NO_SERVER_RETRY_AFTER_S = 1.0


class StreamVersions:
    """Records where streams begin and chooses who may go on with them.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context
        self._starts = stream_start.StreamStarts()
        self._steps = event_steps.EventSteps()

    def begin_answer(
        self,
        position: stream_position.StreamPosition,
        server: backend_server.BackendServer,
    ) -> None:
        """Begin with the events of a server's answer."""
        version = (server.service, server.version)
        position.begin_answer(
            lambda first_id: self._starts.find_fault(
                version, server.id, first_id
            ),
            self._steps.largest_step(version),
        )

    async def read_step(
        self,
        position: stream_position.StreamPosition,
        server: backend_server.BackendServer,
        events: list[event_splitter.Event],
        splitter: event_splitter.EventSplitter,
        backend: backend_connection.BackendConnection,
    ) -> None:
        """Read how a server counts, unless its version has shown it.

        Does nothing if the first event of the answer was not refused.
        """
        if self._steps.is_open((server.service, server.version)):
            await step_reader.read_step(position, events, splitter, backend)

    def record_step(
        self,
        position: stream_position.StreamPosition,
        server: backend_server.BackendServer,
    ) -> None:
        """Record at the end of an answer how its events were numbered."""
        if position.first_step is not None:
            self._steps.record(
                (server.service, server.version),
                server.id,
                position.first_step,
            )

    async def find_origin(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> jobs.Job:
        """Find where a stream began that the caller takes up.

        Returns the request with the service that began the stream, if its
        route still leads there.
        """
        if not is_resumed(job, progress):
            return job
        window_s = job.access.route.timeout_s + _WINDOW_MARGIN_S
        services = {entry.service for entry in job.access.route.services}
        for service in sorted(services, key=lambda s: s != job.service):
            found = await self._context.origins.find(
                messages.StreamQuery(
                    job.request.resumes,
                    service,
                    job.fingerprint,
                    int(window_s * 1000),
                    job.request.host,
                    job.request.path,
                )
            )
            if found.origin is not None:
                progress.origin = found.origin
                progress.position.record_later_event(
                    progress.origin.following_id
                )
                self._log_search(
                    job, progress, service, found, found.origin.version
                )
                return job._replace(service=service)
        # The history of a peer may be longer, but its list may be older.
        listed = self._context.servers.versions(job.service)
        current_services = self._context.state.find_services(
            job.request.host, job.request.path
        )
        if found.failure:
            progress.search_failure = found.failure
        elif current_services != services:
            progress.search_failure = 'the route was replaced a moment ago'
        elif services == {job.service} and listed == {found.sole_version}:
            progress.sole_version = found.sole_version
        self._log_search(job, progress, service, found, progress.sole_version)
        return job

    def _log_search(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        service: str,
        found: stream_search.StreamSearch,
        version: str,
    ) -> None:
        """Log what a take-up was decided on, also if it goes on."""
        if found.origin is not None:
            known_by = 'origin'
        else:
            known_by = 'sole-version' if version else 'nothing'
        self._context.metrics.take_ups.labels(known_by).inc()
        servers = self._context.servers
        _LOG.info(
            'take-up-searched',
            extra={
                'request': job.request.request_id,
                'resumes': job.request.resumes,
                'after': job.request.last_event_id,
                'service': service,
                'known_by': known_by,
                'version': version,
                'is_certain': found.origin is None or found.origin.is_certain,
                'listed': sorted(servers.versions(service)),
                'list_age_s': round(servers.age_s(), 3),
                'configuration_age_s': round(self._context.state.age_s(), 3),
                'failure': progress.search_failure,
                'own_sole': found.own_sole_version,
                'peer_soles': found.peer_sole_versions,
                'equal': found.equal_versions,
                'answered': found.answered_ids,
                'ended': found.ended_ids,
                'silent': found.silent_ids,
                'absent': found.absent_ids,
            },
        )

    def record_event(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        server: backend_server.BackendServer,
    ) -> None:
        """Record where a stream began, before its first event is sent."""
        if progress.is_origin_recorded or not job.access.route.is_resumable:
            return
        progress.is_origin_recorded = True
        if progress.origin is None:
            keep_s = job.deadline_s - self._context.now_s()
            keep_s = min(_MAX_KEEP_S, keep_s + _KEEP_AFTER_DEADLINE_S)
            origin = messages.StreamOrigin(
                _first_attempt_id(job.request),
                job.service,
                server.version,
                *server.instance_key,
                job.fingerprint,
                self._context.servers.is_current(),
                int(max(0.0, keep_s) * 1000),
            )
            check = progress.instance_check
            if check is not None:
                # The version of an instance that is not listed is unknown.
                origin = origin._replace(
                    version='',
                    started_ms=check.started_ms or 0,
                    is_certain=check.started_ms is not None,
                )
            progress.origin = origin
        self._context.origins.record(progress.origin)

    def record_break(self, progress: progresses.Progress) -> None:
        """Record that a stream goes on, for the node that takes it up."""
        position, origin = progress.position, progress.origin
        if (
            origin is None
            or position.last_id is None
            or not (position.is_certain and position.has_later_events)
            or position.last_id < origin.following_id
        ):
            return
        position.record_later_event(position.last_id + 1)
        progress.origin = origin._replace(following_id=position.last_id + 1)
        self._context.origins.record(progress.origin)

    def exclude_servers(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> set[str] | errors.Failure:
        """Return the servers that must not go on with a stream."""
        if not is_resumed(job, progress):
            return set()
        servers = self._context.servers
        requirement = stream_version.resolve(
            progress.origin,
            progress.sole_version,
            servers.is_current(),
            progress.search_failure,
        )
        usable = servers.usable(job.service)
        if isinstance(requirement, stream_version.Unresolved):
            failure = self._refuse_unresolved(requirement)
        elif not usable:
            failure = errors.Failure(
                errors.ErrorKind.NO_BACKEND,
                'no backend server is listed',
                retry_after_s=_NO_SERVER_RETRY_AFTER_S,
            )
        elif not any(requirement.allows(server) for server in usable):
            failure = errors.Failure(
                errors.ErrorKind.STREAM_VERSION_GONE,
                f'no backend server of {requirement.name} serves; send the '
                'request without the last event id to begin anew',
            )
        else:
            progress.requirement = requirement
            return {s.id for s in usable if not requirement.allows(s)}
        _LOG.info(
            'resume-refused',
            extra={
                'request': job.request.request_id,
                'resumes': job.request.resumes,
                'kind': failure.kind.value,
                'detail': failure.detail,
                'versions': sorted({s.version or 'unknown' for s in usable}),
            },
        )
        return failure

    @staticmethod
    def _refuse_unresolved(
        unresolved: stream_version.Unresolved,
    ) -> errors.Failure:
        if unresolved.is_node_specific:
            return errors.Failure(
                errors.ErrorKind.NOT_RUN,
                unresolved.why,
                retry_after_s=_OTHER_NODE_RETRY_AFTER_S,
            )
        return errors.Failure(
            errors.ErrorKind.STREAM_ORIGIN_UNKNOWN,
            f'{unresolved.why}; send the request without the last event id '
            'to begin anew',
        )


def _first_attempt_id(request: caller_request.CallerRequest) -> str:
    """Return the id that the caller names when it takes the stream up."""
    if request.last_event_id is not None and request.resumes:
        return request.resumes
    return request.request_id


def is_resumed(job: jobs.Job, progress: progresses.Progress) -> bool:
    """Whether the caller has events of this stream."""
    return job.access.route.is_stream and (
        progress.forwarded_event_id is not None
        or job.request.last_event_id is not None
    )
