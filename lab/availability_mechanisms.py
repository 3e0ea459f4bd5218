"""Ablations of what decides which endpoints may get work.

See mechanisms.py for the format.
"""

from lab.mechanisms import ablate_module as _ablate

CORDONS = "cordoned data centres get no new work"
COLD = "cold endpoints get no more calls than they bear"
DEMAND = "no item waits while an endpoint of its region is idle"
SHARES = "accounts get their fair shares of what is scarce"
SLOW = "items avoid endpoints that have turned slow"
HOMES = "requests stay in their home regions"

_CORDONS = "tests.availability.test_cordons.CordonsTest"
_CORDON_SESSIONS = "tests.platform.test_cordons"
_WARM_UPS = "tests.availability.test_warm_ups"
_COLD_SESSIONS = "tests.platform.test_cold_servers.ColdServerTest"
_ROUTING = "tests.test_item_routing.RoutedItemRunnerTest"
_HOMES = "tests.platform.test_homes.HomesTest"

TEST_ABLATIONS = (
    _ablate(
        "cordoned data centres left out of all lists",
        CORDONS,
        "cluster_state",
        "            if endpoint.data_centre not in cordoned\n"
        "            and wanted.permits(endpoint)\n",
        "            if wanted.permits(endpoint)\n",
        "tests.test_cluster_state.UsableEndpointsTest"
        ".test_endpoints_in_cordoned_data_centres_are_in_no_list",
    ),
    _ablate(
        "items queued in a cordoned data centre handed back",
        CORDONS,
        "gateway",
        "            await self._withdraw_cordoned(now)\n",
        "",
        f"{_CORDON_SESSIONS}.CordonTest"
        ".test_queued_items_move_to_another_data_centre",
    ),
    _ablate(
        "cordons carried over a return of the store from a copy",
        CORDONS,
        "availability/cordons",
        "        self._carried = self.list_cordoned(now)\n",
        "",
        f"{_CORDONS}.test_copy_that_lacks_a_cordon_does_not_end_it_at_once",
    ),
    _ablate(
        "older list of cordons ignored",
        CORDONS,
        "availability/cordons",
        "if listed.version <= self.newest.version:",
        "if False:",
        f"{_CORDONS}.test_older_list_changes_nothing",
    ),
    _ablate(
        "cordons told by other entries adopted",
        CORDONS,
        "cluster_watch",
        "            self.cordon_watch.adopt_report(entry, known.cordoned)\n",
        "            pass\n",
        f"{_CORDON_SESSIONS}.ToldCordonTest"
        ".test_entry_cut_off_from_the_store_is_told_by_the_other",
    ),
    _ablate(
        "no request before the cordons are known",
        CORDONS,
        "proxying",
        "if not cluster.cordons.is_known():",
        "if False:",
        f"{_CORDON_SESSIONS}.CordonTest"
        ".test_entry_that_has_not_learned_the_cordons_is_not_ready",
    ),
    _ablate(
        "new start taken as cold",
        COLD,
        "availability/warm_ups",
        "if at_first or before == endpoint.started:",
        "if True:",
        f"{_WARM_UPS}.WarmUpsTest"
        ".test_new_start_is_cold_for_the_time_of_its_service",
        f"{_COLD_SESSIONS}"
        ".test_server_that_has_started_gets_no_more_than_it_bears",
    ),
    _ablate(
        "endpoint that is back after an outage not taken as cold",
        COLD,
        "availability/warm_ups",
        "if at_first or before == endpoint.started:",
        "if at_first:",
        f"{_WARM_UPS}.WarmUpsTest"
        ".test_endpoint_that_is_back_after_an_outage_is_not_cold",
    ),
    _ablate(
        "number of entries that share a cold rate limited",
        COLD,
        "availability/warm_ups",
        "return max(fitting, default=1)",
        "return 1000",
        f"{_WARM_UPS}.FleetTest.test_no_second_brings_more_than_the_bound",
    ),
    _ablate(
        "part of the bound kept for differing lists of entries",
        COLD,
        "availability/warm_ups",
        "SHARERS_SHARE = 0.75",
        "SHARERS_SHARE = 1.0",
        f"{_WARM_UPS}.FleetTest"
        ".test_lists_that_lack_some_names_stay_within_the_bound",
    ),
    _ablate(
        "entry that knows no entries has no share",
        COLD,
        "availability/warm_ups",
        "if not names or rate <= 0:",
        "if rate <= 0:",
        f"{_WARM_UPS}.WarmUpsTest"
        ".test_entry_that_knows_no_entries_has_no_share",
    ),
    _ablate(
        "start that a report names taken as cold",
        COLD,
        "notice_handler",
        "if started is not None and self._cluster.warm_ups.record_named(",
        "if None and self._cluster.warm_ups.record_named(",
        f"{_COLD_SESSIONS}.test_start_that_a_report_names_is_cold",
    ),
    _ablate(
        "stated cold time of a registration adopted",
        COLD,
        "cluster_watch",
        "        turns_cold |= cold.record_cold(endpoint, stated, now)\n",
        "",
        f"{_COLD_SESSIONS}.test_cold_time_of_a_registration_holds",
    ),
    _ablate(
        "homes of the account bind",
        HOMES,
        "routes",
        "return route.regions & account_regions",
        "return route.regions",
        f"{_HOMES}.test_homes_of_route_and_account_both_bind",
    ),
    _ablate(
        "stages bound to the homes of their request",
        HOMES,
        "availability/eligibility",
        "return Eligibility(None, self.data_centres)",
        "return Eligibility(None, None)",
        f"{_HOMES}.test_requests_and_their_stages_stay_in_the_homes_of_a_route",
    ),
    _ablate(
        "owner chooses among the endpoints of a region",
        DEMAND,
        "cluster_state",
        "return self._regions.get(place, place) == self._regions.get(\n"
        "            other_place, other_place\n"
        "        )",
        "return place == other_place",
        f"{_ROUTING}.test_owner_uses_an_idle_endpoint_of_another_data_centre",
    ),
    _ablate(
        "items kept in their region",
        HOMES,
        "item_routing",
        "and self._cluster.are_in_one_region(candidate, endpoint)",
        "",
        f"{_ROUTING}.test_items_stay_in_the_region_of_their_endpoint",
    ),
    _ablate(
        "transfers weighed by the owner",
        DEMAND,
        "item_routing",
        "* stage_times.compute_transfer_cost(",
        "* 0 * stage_times.compute_transfer_cost(",
        f"{_ROUTING}.test_owner_weighs_transfers_against_the_wait",
    ),
    _ablate(
        "owners chosen by their processor time",
        DEMAND,
        "ownership",
        "(owned[member.name] + count) / member.processor",
        "owned[member.name]",
        "tests.test_ownership.OwnersTest.test_stronger_entries_own_more",
    ),
    _ablate(
        "slowness of calls learned",
        SLOW,
        "batch_dispatch",
        "queue.slowness.record_call(configured, now - started_at, now)",
        "pass",
        "tests.test_batch_dispatch.BatchDispatcherTest"
        ".test_slow_endpoint_is_expected_to_stay_slow",
    ),
    _ablate(
        "slowness in the estimates",
        SLOW,
        "batching",
        "    busy *= state.slowness\n",
        "",
        "tests.endpoint_load.test_slowness.SlowEndpointTest"
        ".test_more_requests_are_on_time_than_by_the_configured_speed",
    ),
    _ablate(
        "running call that is overdue not taken as done",
        SLOW,
        "endpoint_load/slowness",
        "return abs(expected_end - now)",
        "return max(expected_end - now, 0.0)",
        "tests.endpoint_load.test_slowness.SlownessTest"
        ".test_overdue_call_is_expected_to_last_as_long_again",
    ),
    _ablate(
        "accounts above their share refused first",
        SHARES,
        "stage_admission",
        "    share *= request.standing\n",
        "",
        "tests.fair_shares.test_standing.AccountBurstTest"
        ".test_other_accounts_are_served_though_one_sends_most",
    ),
    _ablate(
        "usage of other entries counted",
        SHARES,
        "fair_shares/demands",
        "        self._reported[entry] = list(reported)\n",
        "        self._reported[entry] = []\n",
        "tests.fair_shares.test_demands.ServiceDemandsTest"
        ".test_demands_at_other_entries_count_until_they_are_gone",
    ),
    _ablate(
        "items moved to an idle endpoint",
        DEMAND,
        "batch_dispatch",
        "        await self._wake_idle(endpoint)\n",
        "",
        "tests.test_batch_dispatch.MovedItemsTest"
        ".test_idle_endpoint_takes_what_would_wait_longest",
    ),
    _ablate(
        "items moved only if they gain more than their transfers",
        DEMAND,
        "item_moves",
        "- seconds_here - len(group) * cost",
        "- seconds_here",
        "tests.test_batch_dispatch.MovedItemsTest"
        ".test_items_stay_where_their_transfers_cost_more",
    ),
    _ablate(
        "moved items released where they ran",
        DEMAND,
        "item_moves",
        "            ticket.endpoint = free.endpoint\n",
        "",
        "tests.test_batch_dispatch.MovedItemsTest"
        ".test_idle_endpoint_takes_what_would_wait_longest",
    ),
    _ablate(
        "slowness that endpoints state adopted",
        SLOW,
        "notice_handler",
        "            self._record_slowness(endpoint, notice.slowness)\n",
        "            pass\n",
        "tests.test_notice_handler.NoticeHandlerTest"
        ".test_stated_slowness_and_cold_time_are_applied",
    ),
)
