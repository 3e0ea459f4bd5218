"""Tests of adapters.metering."""

from samphirevale import errors, metrics
from samphirevale.adapters import metering
from tests import base


class CountCallsTest(base.TestCase):
    """Under which result a call is counted."""

    async def test_every_end_of_a_call_is_counted_as_its_own(self):
        ends = {name: error("x") for error, name in metering.RESULTS.items()}
        ends |= {"done": None, "failed": RuntimeError()}

        @metering.count_calls("metered")
        async def call(error):
            if error is not None:
                raise error
            return 7

        self.assertEqual(await call(None), 7)
        for error in filter(None, ends.values()):
            with self.assertRaises(type(error)):
                await call(error)
        text = metrics.render().decode()
        for result in ends:
            labels = f'{{kind="metered",result="{result}"}}'
            self.assertIn(f"store_calls_total{labels} 1.0", text)
        self.assertIsInstance(ends["conflict"], errors.StoreConflictError)
