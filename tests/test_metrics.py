"""Tests of the metrics: limited label values and the rendered text."""

import prometheus_client

from samphirevale import metrics
from tests import base


class MetricsTest(base.TestCase):
    """Counted values and their labels."""

    def test_labels_are_bounded(self):
        # Uses a separate metric, as other tests in the process count stages
        # too.
        counter = prometheus_client.Counter
        family = metrics.BoundedMetric(counter, "bounded", "A test's.", "stage")
        bound = metrics.LABEL_BOUNDS["stage"]
        for number in range(bound + 10):
            family.labels(stage=f"stage-{number}").inc()
        text = metrics.render().decode()
        lines = [
            line
            for line in text.splitlines()
            if line.startswith("samphirevale_bounded_total")
        ]
        self.assertEqual(bound + 1, len(lines))
        self.assertIn('samphirevale_bounded_total{stage="other"} 10.0', lines)

    def test_cost(self):
        metrics.count_cost("rerank", "farm", "wasted", 12.5, 3)
        text = metrics.render().decode()
        labels = '{account="farm",stage="rerank",use="wasted"}'
        self.assertIn(
            f"samphirevale_busy_milliseconds_total{labels} 12.5", text
        )
        self.assertIn(f"samphirevale_tokens_total{labels} 3.0", text)

    def test_dropped(self):
        metrics.count_dropped_answer("late")
        self.assertIn(
            'samphirevale_answers_dropped_total{reason="late"} 1.0',
            metrics.render().decode(),
        )

    def test_every_label_has_a_bound(self):
        for name, family in vars(metrics).items():
            if isinstance(family, metrics.BoundedMetric):
                with self.subTest(name):
                    labels = set(family._known_values)
                    self.assertLessEqual(labels, set(metrics.LABEL_BOUNDS))
