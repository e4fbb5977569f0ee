"""Names of what is counted, as data; owns no values.

`telemetry` counts under the short names and serves the exposed ones, which
carry the unit. Label values are members of enumerations or error codes.
"""

from typing import NamedTuple


class Measure(NamedTuple):
    """One thing that is counted or measured.

    Attributes
    ----------
    name : str
        Under which the code counts, without the value of the label.
    exposed : str
        With the unit; `_total` of counters is added by the exposition.
    label : str
        Name of the label, empty without one.
    meaning : str
    """

    name: str
    exposed: str
    label: str
    meaning: str


COUNTERS = (
    Measure(
        'host.ended',
        'host_requests',
        'ending',
        'Requests of a host by ending.',
    ),
    Measure(
        'host.failed',
        'host_failed_requests',
        'code',
        'Refused or failed requests by error code.',
    ),
    Measure(
        'host.attempts',
        'host_failed_attempts',
        'outcome',
        'Attempts at backend servers without a whole answer.',
    ),
    Measure(
        'host.sent',
        'host_sent_attempts',
        'kind',
        'Attempts at backend servers; a further one is a hedge or a repeat.',
    ),
    Measure(
        'host.handed_over',
        'host_handed_over',
        '',
        'Messages that asked another host for parts of a query.',
    ),
    Measure(
        'host.handed_over_unused',
        'host_unused_answers',
        '',
        'Answers of other hosts with a part that came from elsewhere before.',
    ),
    Measure(
        'host.taken_over',
        'host_taken_over',
        '',
        'Messages of other hosts that asked for parts of a query.',
    ),
    Measure(
        'host.feed_messages',
        'host_feed_messages',
        '',
        'Updates and heartbeats of the change feed to subscribers.',
    ),
    Measure(
        'host.silent_owners',
        'host_silent_owners',
        '',
        'Messages to other hosts that gave no sign in time.',
    ),
    Measure(
        'host.taken_back',
        'host_taken_back',
        'reason',
        'Messages to other hosts whose parts this host asked for after all.',
    ),
    Measure('log.lost', 'lost_log_lines', '', 'Log lines without reader.'),
    Measure(
        'entry.answered',
        'entry_answered_requests',
        'rank',
        'Requests answered, whole or partial.',
    ),
    Measure(
        'entry.partial',
        'entry_partial_answers',
        'rank',
        'Answers with a missing shard.',
    ),
    Measure(
        'entry.failed',
        'entry_failed_requests',
        'code',
        'Refused or failed requests by error code.',
    ),
    Measure(
        'entry.shards_needed',
        'entry_needed_shards',
        '',
        'Shards asked for; extra load is attempts divided by these.',
    ),
    Measure(
        'entry.shard_attempts',
        'entry_shard_attempts',
        '',
        'Shards sent to aggregators.',
    ),
    Measure(
        'entry.second_aggregator',
        'entry_second_aggregator_queries',
        '',
        'Queries that asked a second aggregator before the deadline.',
    ),
    Measure(
        'entry.waited_late',
        'entry_waited_late_queries',
        '',
        'Queries without any shard at their deadline that waited on.',
    ),
    Measure(
        'entry.replanned',
        'entry_replanned_queries',
        '',
        'Queries started again because their snapshot was gone.',
    ),
    Measure(
        'link.closed', 'closed_links', '', 'Links between entry and aggregator.'
    ),
    Measure(
        'link.connect_failed',
        'failed_dials',
        '',
        'Dials that ended without a first frame.',
    ),
    Measure(
        'link.demand_dials',
        'demand_dials',
        '',
        'Dials that a request started.',
    ),
    Measure(
        'link.demand_failed',
        'failed_demand_dials',
        '',
        'Requests whose dial failed or took too long; nothing was sent.',
    ),
    Measure(
        'link.idle_closed',
        'idle_closed_links',
        '',
        'Links without a standing need, closed after 60 s without attempt.',
    ),
    Measure(
        'link.answers_ignored',
        'ignored_answers',
        '',
        'Answers that nobody waits for, or of another request.',
    ),
    Measure('aggregator.queries', 'aggregator_queries', '', 'Queries taken.'),
    Measure(
        'aggregator.cancelled',
        'aggregator_cancelled_queries',
        '',
        'Queries given up by the entry.',
    ),
    Measure(
        'aggregator.refused',
        'aggregator_refused_requests',
        'code',
        'Refused before any work.',
    ),
    Measure(
        'aggregator.answers_undelivered',
        'aggregator_undelivered_answers',
        '',
        'Answers whose entry was gone.',
    ),
    Measure('backend.calls', 'backend_calls', '', 'Calls.'),
    Measure(
        'backend.attempts',
        'backend_attempts',
        '',
        'Items that the calls carried.',
    ),
    Measure(
        'backend.hedges', 'backend_hedges', '', 'Attempts beside an open one.'
    ),
    Measure(
        'backend.retries', 'backend_retries', '', 'Attempts after a failed one.'
    ),
    Measure(
        'backend.retries_refused',
        'backend_refused_retries',
        '',
        'Retries without budget.',
    ),
    Measure('backend.cancels', 'backend_cancels', '', 'Attempts cancelled.'),
    Measure(
        'backend.outcome',
        'backend_ended_calls',
        'outcome',
        'Calls by outcome.',
    ),
    Measure(
        'backend.answers_rejected',
        'backend_rejected_answers',
        '',
        'Answers that did not match.',
    ),
    Measure(
        'backend.answers_late',
        'backend_late_answers',
        '',
        'Answers that were not needed any more.',
    ),
    Measure(
        'backend.status_failed',
        'backend_failed_status_polls',
        '',
        'Status polls without answer.',
    ),
    Measure(
        'backend.status_rejected',
        'backend_rejected_status_polls',
        '',
        'Status polls with an answer that can not be used.',
    ),
    Measure(
        'queue.refused',
        'queue_refused_items',
        'rank',
        'Items refused on arrival.',
    ),
    Measure(
        'queue.expired',
        'queue_expired_items',
        'code',
        'Items dropped from the queue.',
    ),
    Measure(
        'operations.platform_delayed',
        'delayed_store_calls',
        'urgency',
        'Calls that waited for the budget of `store_calls`.',
    ),
    Measure(
        'operations.refused_by_backend',
        'operations_refused_by_backend',
        '',
        'Operations that a backend server refused before starting.',
    ),
    Measure(
        'operations.store_calls',
        'operation_store_calls',
        'kind',
        'Calls at the store, and those that ended without a usable answer.',
    ),
    Measure('operations', 'operations', 'outcome', 'Operations by outcome.'),
    Measure('ownership.dropped', 'dropped_services', '', 'Services given up.'),
    Measure(
        'process.paused',
        'process_pauses',
        '',
        'Pauses of the process noticed by its clock.',
    ),
    Measure(
        'agent.configurations_ignored',
        'agent_ignored_configurations',
        '',
        'Configurations that are not newer.',
    ),
    Measure(
        'agent.configurations_invalid',
        'agent_invalid_configurations',
        '',
        'Configurations that can not be read.',
    ),
    Measure(
        'agent.datagrams_invalid',
        'agent_invalid_datagrams',
        '',
        'Datagrams that can not be read.',
    ),
    Measure(
        'agent.datagrams_unsent',
        'agent_unsent_datagrams',
        '',
        'Datagrams that the system did not take.',
    ),
    Measure(
        'agent.links_refused',
        'agent_refused_links',
        '',
        'Links over the limit of an agent.',
    ),
    Measure(
        'agent.platform_failed',
        'agent_failed_store_calls',
        '',
        'Calls at the store without a usable answer.',
    ),
    Measure(
        'agent.pulls_failed',
        'agent_failed_pulls',
        '',
        'Configurations that another agent did not deliver.',
    ),
    Measure(
        'agent.signs_unsent',
        'agent_unsent_signs',
        '',
        'Signs of life that the system did not take.',
    ),
    Measure(
        'agent.syncs_failed',
        'agent_failed_syncs',
        '',
        'Exchanges of members that failed.',
    ),
)

GAUGES = (
    Measure(
        'configuration.revision',
        'configuration_revision',
        '',
        'Revision in force.',
    ),
    Measure(
        'agent.configuration_revision',
        'agent_configuration_revision',
        '',
        'Revision that an agent holds.',
    ),
    Measure(
        'host.platform_age',
        'host_platform_age_seconds',
        '',
        'Time since the platform answered.',
    ),
    Measure(
        'host.known_hosts', 'host_known_hosts', '', 'Hosts that share limits.'
    ),
    Measure(
        'host.backend_servers',
        'host_listed_backend_servers',
        '',
        'Backend servers that are listed or kept after a lapse.',
    ),
    Measure(
        'host.open_requests', 'host_open_requests', '', 'Requests in progress.'
    ),
    Measure(
        'loop.lag',
        'event_loop_lag_seconds',
        '',
        'Largest lateness of the event loop since it was read last.',
    ),
)

DURATIONS = (
    Measure(
        'host.latency',
        'host_request_duration_seconds',
        'rank',
        'From a whole request to its ending, answered or not.',
    ),
    Measure(
        'entry.latency',
        'entry_request_duration_seconds',
        'rank',
        'From a request to its answer.',
    ),
)

# Targets of requests lie between 50 ms and 6 s; a bound near each of them
# shows the share that kept it.
DURATION_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.36, 0.5, 1, 2, 6)
