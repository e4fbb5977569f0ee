"""Names of log events."""

import pathlib
import re
import unittest

from cardamomflow import events

ROOT = pathlib.Path(__file__).resolve().parent.parent
_UNNAMED = re.compile(
    r'journal\.(?:debug|info|warning|error)\(\s*f?[\'"]', re.MULTILINE
)


class EventTest(unittest.TestCase):
    def test_every_line_names_an_event(self):
        """Guards against log lines that can't be selected by event name."""
        unnamed = [
            path.name
            for path in (ROOT / 'cardamomflow').rglob('*.py')
            if _UNNAMED.search(path.read_text())
        ]
        self.assertEqual(unnamed, [])

    def test_every_event_is_documented_and_used(self):
        """Guards against documentation that lags behind the code."""
        page = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
        code = ''.join(
            path.read_text() for path in (ROOT / 'cardamomflow').rglob('*.py')
        )
        for event in events.Event:
            with self.subTest(event.name):
                self.assertTrue(f'`{event}`' in page)
                self.assertTrue(f'events.Event.{event.name}' in code)


if __name__ == '__main__':
    unittest.main()
