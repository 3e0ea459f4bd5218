"""Tests of the choice of a route and its service."""

from samphirevale import routes
from tests import base, proxy_fakes

NO_PRIORITY = routes.Account("free", None)


class RouteTableTest(base.TestCase):
    """Tests routes, ranks and services."""

    def test_longest_prefix_is_chosen(self):
        table = proxy_fakes.build_table(
            [
                proxy_fakes.build_route(name="short"),
                proxy_fakes.build_route(name="long", path_prefix="/p/q/"),
            ]
        )
        self.assertEqual("long", table.find_route("H.example", "/p/q/r").name)
        self.assertEqual("short", table.find_route("h.example", "/p/qr").name)
        self.assertIsNone(table.find_route("h.example", "/other/"))
        self.assertIsNone(table.find_route("other", "/p/q/"))

    def test_ranks_are_relative_to_the_most_urgent_account(self):
        first = routes.Account("first", 1)
        second = routes.Account("second", 2)
        table = proxy_fakes.build_table(
            [], accounts={"k1": first, "k2": second, "k3": NO_PRIORITY}
        )
        route = proxy_fakes.build_route(priority=1)
        ranks = [
            table.compute_rank(route, account)
            for account in (first, second, NO_PRIORITY, None)
        ]
        self.assertEqual([1, 2, 1, 1], ranks)

    def test_service_is_chosen_by_its_share(self):
        route = proxy_fakes.build_route(
            splits=(routes.Split("a", 90), routes.Split("b", 10))
        )
        self.assertEqual("a", routes.choose_service(route, 0.89))
        self.assertEqual("b", routes.choose_service(route, 0.91))

    def test_repeatable_or_resumable_requests_may_run_again(self):
        route = proxy_fakes.build_route(repeatable=True)
        self.assertTrue(route.may_run_again())
        route = route._replace(streamed=True)
        self.assertFalse(route.may_run_again())
        self.assertTrue(route._replace(resumable=True).may_run_again())
