"""Definitions of the metrics; holds no values.

`telemetry` records under the short names and serves the exposed names, which
include the unit. Label values are members of enumerations or error codes.
"""

from typing import NamedTuple


class MetricDefinition(NamedTuple):
    """Definition of one counter, gauge or histogram.

    Attributes
    ----------
    name : str
        Name in the code, without the value of the label.
    exposed_name : str
        Name on the metrics page, without the prefix, with the unit. The
        exposition appends `_total` to the names of counters.
    label : str
        Name of the label; empty if there is none. Several are separated by
        commas.
    help_text : str
    """

    name: str
    exposed_name: str
    label: str
    help_text: str


COUNTERS = (
    MetricDefinition(
        'host.ended',
        'host_requests',
        'ending',
        'Requests of a host by ending.',
    ),
    MetricDefinition(
        'host.failed',
        'host_failed_requests',
        'code',
        'Refused or failed requests by error code.',
    ),
    MetricDefinition(
        'account.requests',
        'account_requests',
        'account',
        'Requests of a host with a valid key, for the 100 largest accounts;'
        ' others are `other`.',
    ),
    MetricDefinition(
        'account.refused',
        'account_refused_requests',
        'account,code',
        'Requests of accounts that were refused and not run.',
    ),
    MetricDefinition(
        'host.attempts',
        'host_failed_attempts',
        'outcome',
        'Attempts at backend servers without a whole answer.',
    ),
    MetricDefinition(
        'host.sent',
        'host_sent_attempts',
        'kind',
        'Attempts at backend servers; a further one is a hedge or a repeat.',
    ),
    MetricDefinition(
        'host.notices',
        'host_backend_notices',
        'kind',
        'Backend servers that announced a stop or a pause, or resumed work.',
    ),
    MetricDefinition(
        'host.cold_requests',
        'host_cold_requests',
        'decision',
        'Requests to cold backend servers: sent, or held back at a free one.',
    ),
    MetricDefinition(
        'host.zone_attempts',
        'host_zone_attempts',
        'pair',
        'Attempts at backend servers of another zone, by own and other zone.',
    ),
    MetricDefinition(
        'host.zone_answer_bytes',
        'host_zone_answer_bytes',
        'pair',
        'Bytes of answers from another zone, by own and other zone.',
    ),
    MetricDefinition(
        'host.handed_over',
        'host_handed_over',
        '',
        'Messages that asked another host for parts of a query.',
    ),
    MetricDefinition(
        'host.granted_attempts',
        'host_granted_attempts',
        '',
        'Further attempts that other hosts asked for and may make.',
    ),
    MetricDefinition(
        'host.handed_over_unused',
        'host_unused_answers',
        '',
        'Answers of other hosts with a part that came from elsewhere before.',
    ),
    MetricDefinition(
        'host.taken_over',
        'host_taken_over',
        '',
        'Messages of other hosts that asked for parts of a query.',
    ),
    MetricDefinition(
        'host.feed_messages',
        'host_feed_messages',
        '',
        'Updates and heartbeats of the change feed to subscribers.',
    ),
    MetricDefinition(
        'host.account_checks',
        'host_account_checks',
        'outcome',
        'Checks for accounts after a key at a host that knows none; `answered`'
        ' by the store or another host, or `unanswered`, after which requests'
        ' with a key are refused.',
    ),
    MetricDefinition(
        'host.feed_probes',
        'host_feed_probes',
        '',
        'Messages that asked another host how new its knowledge is.',
    ),
    MetricDefinition(
        'host.feed_substitutes',
        'host_feed_substitutes',
        '',
        'Times that a host which the store turned away followed another one.',
    ),
    MetricDefinition(
        'host.silent_owners',
        'host_silent_owners',
        '',
        'Messages to other hosts that gave no sign in time.',
    ),
    MetricDefinition(
        'host.taken_back',
        'host_taken_back',
        'reason',
        'Messages to other hosts whose parts this host asked for after all.',
    ),
    MetricDefinition(
        'clients.evicted',
        'evicted_clients',
        'cause',
        'Connections refused or closed for what they hold or cost.',
    ),
    MetricDefinition(
        'host.tokens_used',
        'host_used_tokens',
        '',
        'Requests admitted within the limit of their account.',
    ),
    MetricDefinition(
        'host.tokens_returned',
        'host_returned_tokens',
        '',
        'Tokens of requests that were refused as not run.',
    ),
    MetricDefinition(
        'host.tokens_refused',
        'host_refused_tokens',
        'cause',
        'Requests without a token: limit used up, or no holder reached.',
    ),
    MetricDefinition(
        'host.tokens_borrowed',
        'host_borrowed_tokens',
        '',
        'Tokens that other hosts lent to this one.',
    ),
    MetricDefinition(
        'host.tokens_lent',
        'host_lent_tokens',
        '',
        'Tokens that this host lent to others.',
    ),
    MetricDefinition(
        'host.tokens_unanswered',
        'host_unanswered_token_requests',
        '',
        'Requests for tokens that got no answer in time.',
    ),
    MetricDefinition(
        'log.lost', 'lost_log_lines', '', 'Log lines without reader.'
    ),
    MetricDefinition(
        'entry.answered',
        'entry_answered_requests',
        'rank',
        'Requests answered, whole or partial.',
    ),
    MetricDefinition(
        'entry.partial',
        'entry_partial_answers',
        'rank',
        'Answers with a missing shard.',
    ),
    MetricDefinition(
        'entry.failed',
        'entry_failed_requests',
        'code',
        'Refused or failed requests by error code.',
    ),
    MetricDefinition(
        'entry.shards_needed',
        'entry_needed_shards',
        '',
        'Shards asked for; extra load is attempts divided by these.',
    ),
    MetricDefinition(
        'entry.shard_attempts',
        'entry_shard_attempts',
        '',
        'Shards sent to aggregators.',
    ),
    MetricDefinition(
        'entry.second_aggregator',
        'entry_second_aggregator_queries',
        '',
        'Queries that asked a second aggregator before the deadline.',
    ),
    MetricDefinition(
        'entry.waited_late',
        'entry_waited_late_queries',
        '',
        'Queries without any shard at their deadline that waited on.',
    ),
    MetricDefinition(
        'entry.replanned',
        'entry_replanned_queries',
        '',
        'Queries started again because their snapshot was gone.',
    ),
    MetricDefinition(
        'link.closed', 'closed_links', '', 'Links between entry and aggregator.'
    ),
    MetricDefinition(
        'link.connect_failed',
        'failed_dials',
        '',
        'Dials that ended without a first frame.',
    ),
    MetricDefinition(
        'link.demand_dials',
        'demand_dials',
        '',
        'Dials that a request started.',
    ),
    MetricDefinition(
        'link.demand_failed',
        'failed_demand_dials',
        '',
        'Requests whose dial failed or took too long; nothing was sent.',
    ),
    MetricDefinition(
        'link.idle_closed',
        'idle_closed_links',
        '',
        'Links without a standing need, closed after 60 s without attempt.',
    ),
    MetricDefinition(
        'link.answers_ignored',
        'ignored_answers',
        '',
        'Answers that nobody waits for, or of another request.',
    ),
    MetricDefinition(
        'aggregator.queries', 'aggregator_queries', '', 'Queries taken.'
    ),
    MetricDefinition(
        'aggregator.cancelled',
        'aggregator_cancelled_queries',
        '',
        'Queries given up by the entry.',
    ),
    MetricDefinition(
        'aggregator.refused',
        'aggregator_refused_requests',
        'code',
        'Refused before any work.',
    ),
    MetricDefinition(
        'aggregator.answers_undelivered',
        'aggregator_undelivered_answers',
        '',
        'Answers whose entry was gone.',
    ),
    MetricDefinition('backend.calls', 'backend_calls', '', 'Calls.'),
    MetricDefinition(
        'backend.attempts',
        'backend_attempts',
        '',
        'Items that the calls carried.',
    ),
    MetricDefinition(
        'backend.hedges', 'backend_hedges', '', 'Attempts beside an open one.'
    ),
    MetricDefinition(
        'backend.retries', 'backend_retries', '', 'Attempts after a failed one.'
    ),
    MetricDefinition(
        'backend.retries_refused',
        'backend_refused_retries',
        '',
        'Retries without budget.',
    ),
    MetricDefinition(
        'backend.cancels', 'backend_cancels', '', 'Attempts cancelled.'
    ),
    MetricDefinition(
        'backend.outcome',
        'backend_ended_calls',
        'outcome',
        'Calls by outcome.',
    ),
    MetricDefinition(
        'backend.answers_rejected',
        'backend_rejected_answers',
        '',
        'Answers that did not match.',
    ),
    MetricDefinition(
        'backend.answers_late',
        'backend_late_answers',
        '',
        'Answers that were not needed any more.',
    ),
    MetricDefinition(
        'backend.status_failed',
        'backend_failed_status_polls',
        '',
        'Status polls without answer.',
    ),
    MetricDefinition(
        'backend.status_rejected',
        'backend_rejected_status_polls',
        '',
        'Status polls with an answer that can not be used.',
    ),
    MetricDefinition(
        'queue.refused',
        'queue_refused_items',
        'rank',
        'Items refused on arrival.',
    ),
    MetricDefinition(
        'queue.expired',
        'queue_expired_items',
        'code',
        'Items dropped from the queue.',
    ),
    MetricDefinition(
        'operations.platform_delayed',
        'delayed_store_calls',
        'urgency',
        'Calls that waited for the budget of `store_calls`.',
    ),
    MetricDefinition(
        'operations.refused_by_backend',
        'operations_refused_by_backend',
        '',
        'Operations that a backend server refused before starting.',
    ),
    MetricDefinition(
        'operations.store_calls',
        'operation_store_calls',
        'kind',
        'Calls at the store, and those that ended without a usable answer.',
    ),
    MetricDefinition(
        'operations', 'operations', 'outcome', 'Operations by outcome.'
    ),
    MetricDefinition(
        'ownership.dropped', 'dropped_services', '', 'Services given up.'
    ),
    MetricDefinition(
        'process.paused',
        'process_pauses',
        '',
        'Pauses of the process noticed by its clock.',
    ),
    MetricDefinition(
        'agent.configurations_ignored',
        'agent_ignored_configurations',
        '',
        'Configurations that are not newer.',
    ),
    MetricDefinition(
        'agent.configurations_invalid',
        'agent_invalid_configurations',
        '',
        'Configurations that can not be read.',
    ),
    MetricDefinition(
        'agent.datagrams_invalid',
        'agent_invalid_datagrams',
        '',
        'Datagrams that can not be read.',
    ),
    MetricDefinition(
        'agent.datagrams_unsent',
        'agent_unsent_datagrams',
        '',
        'Datagrams that the system did not take.',
    ),
    MetricDefinition(
        'agent.links_refused',
        'agent_refused_links',
        '',
        'Links over the limit of an agent.',
    ),
    MetricDefinition(
        'agent.platform_failed',
        'agent_failed_store_calls',
        '',
        'Calls at the store without a usable answer.',
    ),
    MetricDefinition(
        'agent.pulls_failed',
        'agent_failed_pulls',
        '',
        'Configurations that another agent did not deliver.',
    ),
    MetricDefinition(
        'agent.signs_unsent',
        'agent_unsent_signs',
        '',
        'Signs of life that the system did not take.',
    ),
    MetricDefinition(
        'agent.syncs_failed',
        'agent_failed_syncs',
        '',
        'Exchanges of members that failed.',
    ),
)

GAUGES = (
    MetricDefinition(
        'configuration.revision',
        'configuration_revision',
        '',
        'Revision in force.',
    ),
    MetricDefinition(
        'agent.configuration_revision',
        'agent_configuration_revision',
        '',
        'Revision that an agent holds.',
    ),
    MetricDefinition(
        'host.platform_age',
        'host_platform_age_seconds',
        '',
        'Time since the platform answered.',
    ),
    MetricDefinition(
        'host.turned_away',
        'host_turned_away',
        '',
        'Whether the own calls to the store fail, 1 or 0.',
    ),
    MetricDefinition(
        'host.known_hosts', 'host_known_hosts', '', 'Hosts that share limits.'
    ),
    MetricDefinition(
        'host.backend_servers',
        'host_listed_backend_servers',
        '',
        'Backend servers that are listed or kept after a lapse.',
    ),
    MetricDefinition(
        'host.store_era',
        'host_store_era',
        '',
        'Highest era of the store in any answer; 0 if it is unknown.',
    ),
    MetricDefinition(
        'host.evacuated_zones',
        'host_evacuated_zones',
        '',
        'Zones whose backend servers get nothing more.',
    ),
    MetricDefinition(
        'host.token_roles',
        'host_token_roles',
        '',
        'Accounts whose tokens this host issues for its zone.',
    ),
    MetricDefinition(
        'host.cold_backend_servers',
        'host_cold_backend_servers',
        '',
        'Backend servers that are cold.',
    ),
    MetricDefinition(
        'host.open_requests', 'host_open_requests', '', 'Requests in progress.'
    ),
    MetricDefinition(
        'host.zone_share',
        'host_zone_share',
        '',
        'Largest share of a service whose requests may leave the zone.',
    ),
    MetricDefinition(
        'clients.held_head',
        'client_held_head_bytes',
        '',
        'Bytes held for incomplete heads.',
    ),
    MetricDefinition(
        'clients.held_body',
        'client_held_body_bytes',
        '',
        'Bytes held for incomplete bodies.',
    ),
    MetricDefinition(
        'clients.held_request',
        'client_held_request_bytes',
        '',
        'Bytes held for requests in progress and the parts of their answers.',
    ),
    MetricDefinition(
        'clients.held_answer',
        'client_held_answer_bytes',
        '',
        'Bytes held for answers that are being sent.',
    ),
    MetricDefinition(
        'clients.held_frame',
        'client_held_frame_bytes',
        '',
        'Bytes held for frames between processes.',
    ),
    MetricDefinition(
        'clients.connections',
        'client_connections',
        '',
        'Open connections of clients.',
    ),
    MetricDefinition(
        'loop.lag',
        'event_loop_lag_seconds',
        '',
        'Largest lateness of the event loop since it was read last.',
    ),
)

DURATIONS = (
    MetricDefinition(
        'host.latency',
        'host_request_duration_seconds',
        'rank',
        'From a whole request to its ending, answered or not.',
    ),
    MetricDefinition(
        'entry.latency',
        'entry_request_duration_seconds',
        'rank',
        'From a request to its answer.',
    ),
)

# The latency targets of requests lie between 50 ms and 6 s. A bound near each
# target shows the share of requests that met it.
DURATION_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.36, 0.5, 1, 2, 6)
