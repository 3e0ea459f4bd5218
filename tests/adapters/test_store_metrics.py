"""Tests of adapters.store_metrics."""

from samphirevale import errors, metrics
from samphirevale.adapters import store_metrics
from tests import base


class MeasureCallsTest(base.TestCase):
    """The `result` label under which a call is counted."""

    async def test_each_result_of_a_call_has_its_own_label(self):
        errors_by_result = {
            name: error("x") for error, name in store_metrics.RESULTS.items()
        }
        errors_by_result |= {"done": None, "failed": RuntimeError()}

        @store_metrics.measure_calls("metered")
        async def call(error):
            if error is not None:
                raise error
            return 7

        self.assertEqual(await call(None), 7)
        for error in filter(None, errors_by_result.values()):
            with self.assertRaises(type(error)):
                await call(error)
        text = metrics.render().decode()
        for result in errors_by_result:
            labels = f'{{kind="metered",result="{result}"}}'
            self.assertIn(f"store_calls_total{labels} 1.0", text)
        self.assertIsInstance(
            errors_by_result["conflict"], errors.StoreConflictError
        )
