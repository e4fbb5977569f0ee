"""The publish protocol with lost answers, competing writes and old values."""

import copy
import unittest

import curio
import hypothesis
from hypothesis import strategies

from cardamomflow import (
    configuration,
    differences,
    errors,
    exitstatus,
    fleet,
    platform,
    publications,
    publishing,
)
from standins import fakes
from standins import store as store_module
from tests import test_documents

AGENT = fleet.Endpoint('127.0.0.1', 7000)
EVENTS = (
    'applied',
    'not_applied',
    'late',
    'arrive',
    'rival',
    'error',
    'drop',
    'restored',
    'stale',
    'fresh',
    'none',
)


def make_proposal(based_on, publish_id='own', slots=2, **fields):
    register = copy.deepcopy(test_documents.REGISTER)
    register['services']['lots-1']['slots'] = slots
    return publications.Proposal(
        register, test_documents.RULES, based_on, publish_id, **fields
    )


class ScriptedPlatform(fakes.FakePlatform):
    """Applies one event of a script before each call."""

    def __init__(self, store, events):
        super().__init__(store)
        self._events = list(events)

    async def _begin(self, kind):
        if self._events:
            self._apply_event(self._events.pop(0))
        await super()._begin(kind)

    def _apply_event(self, event):
        faults = self.store.faults
        match event:
            case 'applied' | 'not_applied' | 'late':
                faults.losses = [store_module.Loss(event)]
            case 'arrive':
                self.store.apply_late_writes()
            case 'rival':
                publish_directly(self.store, 'rival', 5)
            case 'error' | 'drop':
                faults.outage = store_module.Outage(event)
            case 'restored':
                faults.outage = store_module.Outage.NONE
            case 'stale' | 'fresh':
                steps = {'stale': 1, 'fresh': 0}[event]
                faults.stale_steps_by_key = {configuration.KEY: steps}


def publish_directly(store, publish_id, slots):
    """Publish a change to the current value, without faults."""
    entry = store.current(configuration.KEY)
    stored = publications.StoredConfiguration(entry)
    proposal = make_proposal(stored.revision, publish_id, slots)
    payload = configuration.compress(stored.make_successor(proposal))
    store.apply(
        store_module.Write(
            configuration.KEY, payload, stored.modification_number
        )
    )


def stored_configuration(store):
    return publications.StoredConfiguration(store.current(configuration.KEY))


def publish(store, proposal, events=(), reports=(), resolve_s=60):
    publisher = publishing.Publisher(
        ScriptedPlatform(store, events), resolve_s, retry_delay_s=0.001
    )
    return curio.run(publisher.publish, proposal, reports)


class PublishTest(unittest.TestCase):
    def setUp(self):
        self.store = store_module.Store()
        publish(self.store, make_proposal(0, 'first'))

    def assert_refused(self, error_type, *arguments, **keywords):
        with self.assertRaises(error_type) as caught:
            publish(self.store, *arguments, **keywords)
        return caught.exception

    def test_next_revision_is_readable_as_a_configuration(self):
        """Guards against documents that agents can't decode."""
        published = publish(self.store, make_proposal(1, slots=3))
        self.assertEqual(
            (published.revision, published.newest_revision), (2, 2)
        )
        entry = self.store.current(configuration.KEY)
        found = configuration.Configuration.decode(entry.value)
        self.assertEqual(found.revision, 2)
        self.assertEqual(found.register.services_by_name['lots-1'].slots, 3)
        self.assertEqual(
            published.changes, ('~ register.services.lots-1.slots: 2 -> 3',)
        )

    def test_lost_answer_with_effect_is_a_success(self):
        """Guards against "failed" for a change that is in force."""
        published = publish(
            self.store, make_proposal(1), ['none', 'applied', 'none']
        )
        self.assertEqual(published.revision, 2)
        self.assertEqual(stored_configuration(self.store).publish_id, 'own')
        self.assertEqual(self.store.current(configuration.KEY).revision, 2)

    def test_lost_answer_without_effect_is_sent_again(self):
        """Guards against "published" for a write that never arrived."""
        published = publish(
            self.store, make_proposal(1), ['none', 'not_applied']
        )
        self.assertEqual(published.revision, 2)
        self.assertEqual(stored_configuration(self.store).publish_id, 'own')

    def test_late_write_can_not_follow_a_reported_conflict(self):
        """Guards against "not published" for a write that is applied later."""
        self.assert_refused(
            publishing.PublishConflict,
            make_proposal(1),
            ['none', 'late', 'none', 'rival'],
        )
        self.assertEqual(self.store.apply_late_writes(), 0)
        self.assertEqual(stored_configuration(self.store).publish_id, 'rival')

    def test_lost_success_under_a_rivals_publication_is_a_success(self):
        """Guards against a conflict reported for a published change."""
        published = publish(
            self.store, make_proposal(1), ['none', 'applied', 'rival']
        )
        self.assertEqual(
            (published.revision, published.newest_revision), (2, 3)
        )

    def test_loser_of_a_race_sees_what_the_winner_changed(self):
        """Guards against a conflict that does not name the other change."""
        conflict = self.assert_refused(
            publishing.PublishConflict,
            make_proposal(1, slots=3),
            ['none', 'rival'],
        )
        self.assertEqual(conflict.exit_status, exitstatus.ExitStatus.CONFLICT)
        self.assertIn('lots-1.slots: 2 -> 5', conflict.message)
        self.assertIn('--based-on 2', conflict.message)

    def test_change_based_on_an_old_revision_shows_all_changes_since(self):
        """Guards against silently undoing changes of other operators."""
        publish_directly(self.store, 'a', 3)
        publish_directly(self.store, 'b', 4)
        conflict = self.assert_refused(
            publishing.PublishConflict, make_proposal(1)
        )
        self.assertEqual(
            conflict.changes,
            [
                'revision 2 changed:',
                '  ~ register.services.lots-1.slots: 2 -> 3',
                'revision 3 changed:',
                '  ~ register.services.lots-1.slots: 3 -> 4',
            ],
        )

    def test_conflict_names_revisions_without_known_changes(self):
        """Guards against a list of changes that is silently incomplete."""
        publish_directly(self.store, 'same', 2)
        for slots in range(publications.KEPT_PUBLICATIONS):
            publish_directly(self.store, 'rival', slots + 3)
        conflict = self.assert_refused(
            publishing.PublishConflict, make_proposal(1)
        )
        self.assertEqual(
            conflict.changes[:3],
            [
                'revision 2 changed:',
                '  (its changes are not kept)',
                'revision 3 changed:',
            ],
        )
        publish_directly(self.store, 'same', slots + 3)
        conflict = self.assert_refused(
            publishing.PublishConflict, make_proposal(conflict.stored_revision)
        )
        self.assertEqual(conflict.changes[-1], '  nothing')

    def test_unreachable_platform_means_not_published(self):
        """Guards against "unknown" for a write that was never sent."""
        for events in (['error'], ['none', 'error']):
            error = self.assert_refused(
                errors.PlatformUnavailable, make_proposal(1), events
            )
            self.assertEqual(
                error.exit_status, exitstatus.ExitStatus.UNAVAILABLE
            )

    def test_outage_after_a_lost_answer_is_unknown(self):
        """Guards against a guess while the platform is unreachable."""
        error = self.assert_refused(
            errors.OutcomeUnknown,
            make_proposal(1),
            ['none', 'late', 'error'],
            resolve_s=0,
        )
        self.assertEqual(
            error.exit_status, exitstatus.ExitStatus.UNKNOWN_OUTCOME
        )
        self.assertIn('--publish-id own', error.message)

    def test_repeat_with_the_publish_id_publishes_once(self):
        """Guards against a second revision for the same publication."""
        self.assert_refused(
            errors.OutcomeUnknown,
            make_proposal(1),
            ['none', 'applied', 'error'],
            resolve_s=0,
        )
        self.store.faults.outage = store_module.Outage.NONE
        publish_directly(self.store, 'rival', 4)
        repeat_proposal = make_proposal(1, repeated=True)
        published = publish(self.store, repeat_proposal)
        self.assertEqual(
            (published.revision, published.newest_revision), (2, 3)
        )
        self.assertEqual(stored_configuration(self.store).publish_id, 'rival')

    def test_repeat_without_proof_of_the_outcome_stays_unknown(self):
        """Guards against ignoring that an earlier run may have published."""
        repeat_proposal = make_proposal(1, repeated=True)
        self.assert_refused(errors.OutcomeUnknown, repeat_proposal, ['error'])
        self.store.faults.outage = store_module.Outage.NONE
        for slots in range(publications.KEPT_PUBLICATIONS + 1):
            publish_directly(self.store, 'rival', slots + 3)
        self.assert_refused(errors.OutcomeUnknown, repeat_proposal)

    def test_repeat_does_not_trust_an_old_value(self):
        """Guards against "not published" read from a stale copy."""
        publish_directly(self.store, 'own', 3)
        repeat_proposal = make_proposal(2, 'lost', repeated=True)
        self.assert_refused(errors.OutcomeUnknown, repeat_proposal, ['stale'])

    def test_old_value_after_a_restart_is_refused(self):
        """Guards against a revision number that is assigned twice."""
        publish_directly(self.store, 'second', 3)
        self.store.roll_back(configuration.KEY, 1)
        reports = [
            fleet.RevisionReport(AGENT, 1),
            fleet.RevisionReport(AGENT, None, problem='no answer'),
            fleet.RevisionReport(AGENT, 2),
        ]
        error = self.assert_refused(
            publishing.PlatformBehind, make_proposal(1), (), reports
        )
        self.assertIn('--recover --based-on 2', error.message)
        recovery = make_proposal(2, 'recovered', recover=True)
        published = publish(self.store, recovery, (), reports)
        self.assertEqual(published.revision, 3)

    def test_recovery_from_a_stale_read_is_a_conflict(self):
        """Guards against a recovery that overwrites a revision not lost."""
        publish_directly(self.store, 'second', 3)
        self.assert_refused(
            publishing.PublishConflict,
            make_proposal(2, recover=True),
            ['stale', 'fresh'],
            [fleet.RevisionReport(AGENT, 2)],
        )
        self.assertEqual(stored_configuration(self.store).publish_id, 'second')

    def test_silent_fleet_is_refused(self):
        """Guards against publishing below a revision that was not reported."""
        reports = [fleet.RevisionReport(AGENT, None, problem='no answer')]
        error = self.assert_refused(
            publishing.FleetUnreachable, make_proposal(1), (), reports
        )
        self.assertIn('127.0.0.1:7000: no answer', error.message)

    def test_invalid_documents_are_refused_before_any_call(self):
        """Guards against an invalid configuration in the platform."""
        proposal = make_proposal(1)
        proposal.register['services']['lots-1']['slots'] = 0
        proposal = proposal._replace(rules={})
        self.store.calls_by_kind.clear()
        error = self.assert_refused(errors.InvalidDocument, proposal)
        sources = {problem.source for problem in error.problems}
        self.assertEqual(sources, {'register', 'rules'})
        self.assertEqual(self.store.calls_by_kind, {})

    def test_foreign_value_under_the_key_is_not_overwritten(self):
        """Guards against overwriting a value that is not a configuration."""
        self.store.apply(
            store_module.Write(
                configuration.KEY, configuration.compress({'history': [1]}), 1
            )
        )
        self.assert_refused(errors.InvalidDocument, make_proposal(1))


class ReportedResultTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(EVENTS), max_size=10),
        strategies.booleans(),
    )
    def test_reported_result_matches_the_platform(self, events, repeat):
        """Guards against an order of faults that leads to a wrong result."""
        store = store_module.Store()
        publish_directly(store, 'first', 2)
        outcome = self.outcome(store, make_proposal(1), events)
        if repeat and outcome == 'unknown':
            repeat_proposal = make_proposal(1, repeated=True)
            outcome = self.outcome(store, repeat_proposal, events)
        store.apply_late_writes()
        publication = stored_configuration(store).find_publication(2) or {}
        is_published = publication.get('publish_id') == 'own'
        hypothesis.event(outcome)
        if outcome != 'unknown':
            self.assertEqual(outcome == 'published', is_published)

    def outcome(self, store, proposal, events):
        publisher = publishing.Publisher(
            ScriptedPlatform(store, events), 0.004, retry_delay_s=0.0005
        )
        try:
            curio.run(publisher.publish, proposal)
        except errors.OutcomeUnknown:
            return 'unknown'
        except (errors.Conflict, errors.PlatformUnavailable):
            return 'not published'
        return 'published'


class DifferenceTest(unittest.TestCase):
    def test_added_removed_and_changed_paths(self):
        """Guards against changes that an operator is not shown."""
        old = {'revision': 1, 'register': {'a': {'x': 1}, 'b': 2}, 'rules': {}}
        new = {
            'revision': 2,
            'register': {'a': {'x': 1.5}, 'c': {'d': [1]}},
            'rules': {},
        }
        found = differences.difference(old, new)
        self.assertEqual(
            [str(change) for change in found],
            [
                '~ register.a.x: 1 -> 1.5',
                '- register.b: 2',
                '+ register.c: {"d": [1]}',
            ],
        )

    def test_long_difference_is_bounded_in_the_document(self):
        """Guards against a history over the size limit of the platform."""
        store = store_module.Store()
        proposal = make_proposal(0)
        backends = proposal.register['backend_servers']
        for number in range(publications.KEPT_PUBLICATIONS * 2):
            publish_directly(store, f'p{number}', number + 1)
        stored = stored_configuration(store)
        for number in range(100):
            backends[f's{number}'] = {
                **backends['lots-1-a'],
                'port': 10000 + number,
            }
        document = stored.make_successor(proposal)
        history = document['history']
        self.assertEqual(len(history), publications.KEPT_PUBLICATIONS)
        self.assertLessEqual(
            len(history[-1]['changes']), publications.KEPT_CHANGES + 1
        )
        self.assertLess(
            len(configuration.compress(document)), platform.MAX_VALUE_BYTES
        )
