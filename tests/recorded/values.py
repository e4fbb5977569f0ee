"""What the recorded files hold, as plain literals."""

UNIX_S = 1_796_454_238

SETTINGS = {
    'agent': {
        'process_id': 'agent-zone-a',
        'host': {'id': 'h1', 'region': 'r', 'availability_zone': 'zone-a'},
        'control': {'address': '127.0.0.1', 'port': 7001},
        'advertise': {'address': '10.1.0.9', 'port': 7001},
        'platform': {'address': '127.0.0.1', 'port': 7000},
        'seeds': [{'address': '127.0.0.1', 'port': 7002}],
        'log': {'level': 'info'},
        'metrics': '127.0.0.1:7380',
    },
    'entry': {
        'process_id': 'entry-zone-a',
        'host': {'id': 'h1', 'region': 'r', 'availability_zone': 'zone-a'},
        'agent': {'address': '127.0.0.1', 'port': 7001},
        'listen': {'address': '127.0.0.1', 'port': 8001},
        'drain_delay_ms': 500,
        'drain_timeout_ms': 5000,
        'max_in_flight': 256,
        'tracing': {'sample_share': 0.01, 'kept_traces': 500},
    },
    'aggregator': {
        'process_id': 'aggregator-zone-a',
        'host': {'id': 'h1', 'region': 'r', 'availability_zone': 'zone-a'},
        'agent': {'address': '127.0.0.1', 'port': 7001},
        'listen': {'address': '127.0.0.1', 'port': 8101},
        'platform': {'address': '127.0.0.1', 'port': 7000},
        'max_queued_items': 1000,
        'store_calls': {'reads_per_s': 150, 'writes_per_s': 30},
    },
    'operator': {
        'platform': {'address': '127.0.0.1', 'port': 7000},
        'agents': [{'address': '127.0.0.1', 'port': 7001}],
        'entries': [{'address': '127.0.0.1', 'port': 8001}],
    },
    'host': {
        'process_id': 'front-1',
        'host': {'id': 'front-1', 'region': 'r', 'availability_zone': 'z1'},
        'callers': '10.1.0.9:8104',
        'metrics': '10.1.0.9:7380',
        'peers': '10.1.0.9:7395',
        'processor': {'share': 0.537, 'cores': 2},
        'link_mbps': 1000,
        'readiness': '10.1.0.9:8108',
        'store': '10.2.0.7:8102',
        'retry_share': 0.2,
        'retry_burst': 56,
        'stop_within_s': 6,
    },
}

REGISTER = {
    'availability_zones': {
        'zone-a': {'region': 'serra'},
        'zone-b': {'region': 'serra'},
    },
    'services': {
        'lots-1': {
            'index': 'lots',
            'slots': 2,
            'connections': 25,
            'connection_cost_ms': 6,
        },
    },
    'indexes': {'lots': {'maps': {'1': {'shards_per_service': 4}}}},
    'backend_servers': {
        'lots-1-a': {
            'service': 'lots-1',
            'availability_zone': 'zone-a',
            'address': '127.0.0.1',
            'port': 9001,
            'host': 'h7',
            'leaving': True,
        },
    },
}

RULES = {
    'ranks': {
        'urgent': {'target_ms': 360, 'minimum_share': 0.5},
        'standard': {'target_ms': 1500, 'minimum_share': 0.2},
        'bulk': {'target_ms': 30000, 'minimum_share': 0.1},
    },
    'work': {
        'lot-history': {'rank': 'urgent'},
        'record-lot': {'rank': 'bulk', 'repeatable': False},
    },
    'hedging': {'extra_load_share': 0.04, 'minimum_delay_ms': 7},
    'retries': {'budget_share': 0.2, 'backoff_ms': 4},
    'customers': {'maximum_share': 0.3},
}

TRACE = {'trace_id': b'0123', 'parent_span_id': b'45', 'sampled': True}
SPAN = {
    'trace_id': b'0123',
    'span_id': b'67',
    'parent_span_id': b'45',
    'name': 'aggregator.query',
    'process': 'aggregator-zone-a',
    'start_unix_s': 1796454238.5,
    'duration_us': 1200,
    'attributes': {'shards': '4'},
}
SNAPSHOT = {'index': 'lots', 'version': 2, 'map_revision': 1}

# Fields of one message of each kind, in the order of the recorded frames.
WIRE = {
    'query': {
        'attempt_id': 1,
        'request_id': 'r1',
        'customer': 'fjord',
        'rank': 1,
        'budget_ms': 340,
        'snapshot': SNAPSHOT,
        'tasks': [{'service': 'lots-1', 'shards': [0, 3]}],
        'query': b'{"text":"lot 7"}',
        'limit': 10,
        'trace': TRACE,
    },
    'query_answer': {
        'attempt_id': 1,
        'request_id': 'r1',
        'snapshot': SNAPSHOT,
        'answered': [{'service': 'lots-1', 'shards': [0]}],
        'failures': [{'service': 'lots-1', 'shard': 3, 'reason': 'no_replica'}],
        'rows': b'[{"id":"a"}]',
        'attempts': 3,
        'needed': 2,
        'spans': [SPAN],
    },
    'operation': {
        'attempt_id': 2,
        'request_id': 'r2',
        'customer': 'fjord',
        'rank': 2,
        'budget_ms': 1900,
        'service': 'lots-1',
        'key': 'k1',
        'issued_at': UNIX_S,
        'deferred': True,
        'payload': b'{"kg": 410}',
        'trace': TRACE,
        'lookup': True,
    },
    'operation_answer': {
        'attempt_id': 2,
        'request_id': 'r2',
        'outcome': 3,
        'error_code': 'already_claimed',
        'error_message': 'text',
        'result': b'{"paid": 1}',
        'spans': [SPAN],
    },
    'refusal': {
        'attempt_id': 3,
        'request_id': 'r3',
        'error_code': 'stopping',
        'error_message': 'text',
    },
    'cancel': {'attempt_id': 4},
    'holdings': {
        'backends': [
            {
                'backend_id': 'lots-1-a',
                'service': 'lots-1',
                'accepts_new_work': True,
                'holdings': [
                    {'version': 2, 'map_revision': 1, 'shards': [0, 1]}
                ],
            }
        ],
    },
    'ping': {'nonce': 5, 'interval_ms': 1000},
    'pong': {'nonce': 5, 'interval_ms': 2000},
    'going_away': {},
    'parts_request': {
        'attempt_id': 6,
        'request': {
            'id': b'r6',
            'method': b'GET',
            'target': b'/lookup/x',
            'headers': [{'name': b'host', 'content': b'shop.example'}],
            'body': b'pay',
        },
        'services': ['a', 'b'],
        'route': 'lookup',
        'rank': 3,
        'attempts': 2,
        'target_us': 480_000,
        'budget_us': 1_900_000,
        'limit': 3,
        'asked_by': 'front-1',
    },
    'parts_answer': {
        'attempt_id': 6,
        'parts': [{'service': 'a', 'stamp': 'a0.1'}],
        'records': b'0123456789abcdef',
        'missing': [
            {'service': 'b', 'reason': 'no_answer', 'may_have_run': True}
        ],
        'is_last': True,
    },
    'parts_end': {'attempt_id': 6, 'cancel': True},
    'feed_request': {
        'revision': 7,
        'stop': True,
        'renews': True,
        'sent_ms': 123_456,
    },
    'feed_update': {
        'before': 7,
        'revision': 9,
        'content': b'packed',
        'age_ms': 12,
        'outage_ms': 500,
        'requested_ms': 123_456,
    },
}

MEMBER = {
    'member_id': 'agent-zone-a',
    'host_id': 'h1',
    'region': 'serra',
    'availability_zone': 'zone-a',
    'address': '10.1.0.9',
    'port': 7001,
    'aggregators': [
        {'id': 'aggregator-zone-a', 'address': '10.1.0.9', 'port': 8101}
    ],
    'entries': [{'id': 'entry-zone-a', 'address': '10.1.0.9', 'port': 8001}],
    'incarnation': 4,
    'state': 2,
    'configuration_revision': 2,
}
CONTROL = {
    'sync_request': {
        'sender_id': 'agent-zone-b',
        'members': [MEMBER],
        'configuration_revision': 2,
    },
    'sync_answer': {'members': [MEMBER], 'configuration_revision': 2},
    'pull_configuration': {'newer_than': 1},
    'configuration': {'revision': 2, 'compressed': b'compressed'},
    'local_hello': {
        'process_id': 'entry-zone-a',
        'program': 'entry',
        'endpoint': {
            'id': 'entry-zone-a',
            'address': '10.1.0.9',
            'port': 8001,
        },
    },
    'local_view': {
        'members': [MEMBER],
        'zones': [
            {
                'availability_zone': 'zone-a',
                'aggregators': [
                    {
                        'id': 'aggregator-zone-a',
                        'address': '10.1.0.9',
                        'port': 8101,
                    }
                ],
            }
        ],
        'configuration': {'revision': 2, 'compressed': b'compressed'},
        'host_signs': [
            {'host_id': 'h7', 'address': '10.1.0.7', 'leaving': True}
        ],
        'other_zones_silent_ms': 900,
    },
    'local_leaving': {'process_id': 'entry-zone-a'},
}

DATAGRAM = {
    'sender_id': 'agent-zone-b',
    'configuration_revision': 2,
    'updates': [MEMBER],
}
DATAGRAMS = {
    'probe': {'sequence': 1, 'on_behalf_of': 'a', 'target_id': 'b'},
    'ack': {'sequence': 1, 'member_id': 'b'},
    'indirect_probe': {
        'sequence': 2,
        'target_id': 'b',
        'target_address': '10.1.0.8',
        'target_port': 7001,
    },
}
