"""Ablations of the mechanisms that implement the brief's requirements.

An ablation replaces exact source text, so it fails visibly once the code
changes. tests/lab/test_ablations.py checks that each text occurs in the
source tree.
"""

from typing import NamedTuple

AT_MOST_ONCE = "a request that is not idempotent runs at most once"
TRUE_REFUSALS = "a request that is refused as not run did not run"
OWN_COMPLETE_ANSWERS = (
    "answers are complete and belong to the caller's own request"
)
LEAVING = "a node or endpoint that leaves gets no new work"
GRACEFUL_SHUTDOWN = "a graceful shutdown interrupts no request"
CONFIGURATION = "configuration takes effect everywhere and never reverts"
RECALL = "a recalled batch stops serving everywhere"
LEASES = "a lease that expires while its holder is paused"
OPERATORS = "concurrent orders of two operators, and lost answers"
CRASHES = "an input that crashes the endpoints that run it"
DEADLINES = "an answer or a refusal within the deadline"
INPUT = "malformed and unfriendly input"


class Edit(NamedTuple):
    """A text replacement in one file.

    Attributes:
        file: the file's path, relative to the repository's root.
        text: the text to replace; occurs exactly once in the file.
        replacement: the text without the mechanism.
    """

    file: str
    text: str
    replacement: str


class Ablation(NamedTuple):
    """The removal of one mechanism.

    Attributes:
        name: the name of the mechanism.
        requirement: the requirement of the brief that the mechanism serves.
        edits: the text replacements that remove the mechanism; more than
            one where a second check would hide the removal of the first.
        tests: dotted names of tests; at least one must fail without the
            mechanism.
        seed: the seed of the randomised proof that must fail; 0 for none.
        invariant: the invariant that the proof must report as violated.
    """

    name: str
    requirement: str
    edits: tuple[Edit, ...]
    tests: tuple[str, ...] = ()
    seed: int = 0
    invariant: str = ""


def _edit(module: str, text: str, replacement: str) -> Edit:
    return Edit(f"samphirevale/{module}.py", text, replacement)


def ablate_module(
    name: str,
    requirement: str,
    module: str,
    text: str,
    replacement: str,
    *tests: str,
) -> Ablation:
    """Returns the ablation of a mechanism that is in one place."""
    return Ablation(
        name, requirement, (_edit(module, text, replacement),), tests
    )


# Ignores a claim that another attempt holds.
_IGNORE_CLAIM = _edit(
    "claims",
    'return value["token"] != claim["token"] and value["state"] != "released"',
    "return False",
)

# Lets entries choose recalled batches for new requests.
_CHOOSE_RECALLED = _edit(
    "batches",
    'if batch["state"] == "serving"\n        and batch',
    "if batch",
)

# Lets sidecars accept handovers for recalled batches.
_ACCEPT_RECALLED = _edit(
    "batches",
    'recalled = value["batches"][batch]["state"] == "recalled"',
    "recalled = False",
)

# Reports an attempt as not run although the sidecar sent it to the endpoint
# and lost the answer.
_REPORT_LOST_AS_NOT_RUN = _edit(
    "attempts",
    'outcome = "failed" if self.handover.repeatable else "unknown"',
    'outcome = "not_run"',
)

# Lets sidecars give up an endpoint after one probe without an answer.
_GIVE_UP_SILENT = _edit(
    "monitors", "UNANSWERED_PROBES_LIMIT = 2", "UNANSWERED_PROBES_LIMIT = 1"
)

_CHOOSE_DRAINED = _edit(
    "candidates", 'if peer.endpoint not in value["draining"]', "if True"
)

TEST_ABLATIONS = (
    Ablation(
        "claim created only if none exists",
        AT_MOST_ONCE,
        (_IGNORE_CLAIM,),
        ("tests.test_claims.ClaimRunTest",),
    ),
    Ablation(
        "claim token compared after a lost answer",
        AT_MOST_ONCE,
        (
            _edit(
                "claims",
                'return value["token"] != claim["token"] and value',
                "return value",
            ),
        ),
        ("tests.test_claims.ClaimRunTest",),
    ),
    Ablation(
        "claims released instead of deleted",
        AT_MOST_ONCE,
        (
            _edit(
                "claims",
                "await store.update(OBJECT_KIND, name, released, "
                "stored.version)",
                "await store.delete(OBJECT_KIND, name, stored.version)",
            ),
            _edit(
                "claims",
                "await store.create(OBJECT_KIND, name, released)\n",
                "pass\n",
            ),
        ),
        ("tests.test_claims.ClaimRunTest",),
    ),
    Ablation(
        "early replay of a used key",
        AT_MOST_ONCE,
        (
            _edit(
                "execution",
                "if previous_answer is not None:\n"
                "            return previous_answer",
                "pass",
            ),
        ),
        ("tests.test_execution",),
    ),
    Ablation(
        "key reused with another input",
        AT_MOST_ONCE,
        (
            _edit(
                "claims",
                'if claim["input_digest"] != input_digest:',
                "if False:",
            ),
        ),
        ("tests.test_claims.ClaimDecisionTest.test_answers_from_a_held_claim",),
    ),
    Ablation(
        "attempt accepted once",
        AT_MOST_ONCE,
        (
            _edit(
                "executors",
                "existing = self.table.find(handover.attempt)",
                "existing = None",
            ),
        ),
        ("tests.test_sidecar.OnceTest",),
    ),
    Ablation(
        "reattachment only to the same incarnation",
        AT_MOST_ONCE,
        (
            _edit(
                "stage_runs",
                "if exchange.peer.incarnation != exchange.incarnation:",
                "if False:",
            ),
        ),
        ("tests.test_stage_runs", "tests.test_execution"),
    ),
    Ablation(
        "connection of its own for each attempt",
        AT_MOST_ONCE,
        (
            _edit(
                "adapters/endpoints",
                "            connection = await self._open_connection()\n"
                "        except",
                '            connection = self.__dict__.pop("kept", None)\n'
                "            if connection is None:\n"
                "                connection = await self._open_connection()\n"
                "        except",
            ),
            _edit(
                "adapters/endpoints",
                '            yield endpoints.Failed("lost", str(error))\n'
                "        finally:\n"
                "            await connection.close()\n",
                '            yield endpoints.Failed("lost", str(error))\n'
                "        finally:\n"
                "            if connection.is_reusable():\n"
                "                self.kept = connection\n"
                "            else:\n"
                "                await connection.close()\n",
            ),
        ),
        ("tests.adapters.test_endpoints",),
    ),
    Ablation(
        "unknown distinguished from not_run by the sidecar",
        TRUE_REFUSALS,
        (_REPORT_LOST_AS_NOT_RUN,),
        ("tests.test_sidecar.RefusalTest",),
    ),
    Ablation(
        "unknown distinguished from not_run by the entry",
        TRUE_REFUSALS,
        (
            _edit(
                "handover_counts",
                "if self._handed_unrepeatable:\n            return",
                "if False:\n            return",
            ),
        ),
        ("tests.test_stage_runs.HandoverCountsTest",),
    ),
    Ablation(
        "retries only of repeatable stages",
        AT_MOST_ONCE,
        (
            _edit(
                "retries",
                'return failure.repeatable or failure.outcome == "not_run"',
                "return True",
            ),
        ),
        ("tests.test_retries.PolicyTest",),
    ),
    Ablation(
        "token order of a stream checked by the sidecar",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "token_streams",
                "while self.next_sequence in self._held:\n"
                "            token = self._held.pop(self.next_sequence)",
                "for number in list(self._held):\n"
                "            token = self._held.pop(number)",
            ),
        ),
        ("tests.test_sidecar.ChunkTest",),
    ),
    Ablation(
        "digest of a stream checked by the sidecar",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "token_streams",
                "if self._offset == 0 and digest != self._digest.hexdigest():",
                "if False:",
            ),
        ),
        ("tests.test_sidecar.ChunkTest",),
    ),
    Ablation(
        "token count of a stream checked by the sidecar",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "token_streams",
                "if self._held or self.next_sequence != count:",
                "if False:",
            ),
        ),
        ("tests.test_sidecar.ChunkTest",),
    ),
    Ablation(
        "gaps in a stream detected by the entry",
        OWN_COMPLETE_ANSWERS,
        (_edit("token_buffers", "if sequence > received_count:", "if False:"),),
        ("tests.test_token_buffers",),
    ),
    Ablation(
        "digest of a stream at the entry",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "token_buffers",
                "if digest != digest_tokens(self.tokens):",
                "if False:",
            ),
        ),
        ("tests.test_stage_runs.StageRunTest.test_wrong_digest_is_no_answer",),
    ),
    Ablation(
        "answers to other requests dropped",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "sidecars",
                "if (message.request, message.stage) != "
                "(wanted.request, wanted.stage):",
                "if False:",
            ),
        ),
        ("tests.test_sidecars.ExchangeTest",),
    ),
    Ablation(
        "results asserted to belong to the attempt",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "sidecars",
                "message[:3] == (wanted.request, wanted.stage, "
                "wanted.attempt),",
                "True,",
            ),
        ),
        ("tests.test_sidecars.ExchangeTest",),
    ),
    Ablation(
        "late answers dropped",
        OWN_COMPLETE_ANSWERS,
        (
            _edit(
                "sidecars",
                "exchange = peer.exchanges.get(message.attempt)",
                "exchange = next(iter(peer.exchanges.values()), None)",
            ),
        ),
        ("tests.test_sidecars.ExchangeTest",),
    ),
    Ablation(
        "resumed stream continues at its offset",
        OWN_COMPLETE_ANSWERS,
        (_edit("stage_runs", "offset=len(self._buffer.tokens),", "offset=0,"),),
        ("tests.test_stage_runs.StageRunTest",),
    ),
    Ablation(
        "sidecar announces that it is leaving",
        LEAVING,
        (
            _edit(
                "membership",
                "if not peer.connected or peer.leaving"
                " or peer.probation_heartbeats:",
                "if not peer.connected or peer.probation_heartbeats:",
            ),
        ),
        ("tests.test_membership.WorkTest",),
    ),
    Ablation(
        "leaving sidecar refuses handovers",
        LEAVING,
        (
            _edit(
                "handover_checks",
                "if context.leaving or holder",
                "if holder",
            ),
        ),
        ("tests.test_sidecar.LeavingTest",),
    ),
    Ablation(
        "drained endpoint refused by the sidecar",
        LEAVING,
        (
            _edit(
                "handover_checks",
                " or holder.is_draining(context.endpoint)",
                "",
            ),
        ),
        ("tests.test_sidecar.LeavingTest",),
    ),
    Ablation(
        "drained endpoint skipped by the entry",
        LEAVING,
        (_CHOOSE_DRAINED,),
        ("tests.test_stage_runs.StageRunTest", "tests.test_candidates"),
    ),
    Ablation(
        "peers suspected when heartbeats stop",
        LEAVING,
        (
            _edit(
                "membership",
                "return peer.connected and now - peer.heard_at "
                ">= suspect_seconds",
                "return False",
            ),
        ),
        ("tests.test_membership.WorkTest",),
    ),
    Ablation(
        "sidecar shutdown waits for attempts in flight",
        GRACEFUL_SHUTDOWN,
        (
            _edit(
                "sidecar",
                "await self._executor.wait_until_idle()",
                "pass",
            ),
        ),
        ("tests.test_sidecar.LeavingTest",),
    ),
    Ablation(
        "sidecar shutdown waits until entries have fetched outcomes",
        GRACEFUL_SHUTDOWN,
        (
            _edit(
                "executors",
                "while self.table.has_undelivered_outcome():",
                "while False:",
            ),
        ),
        ("tests.test_sidecar.LeavingTest",),
    ),
    Ablation(
        "sidecar shutdown lingers to refuse late handovers",
        GRACEFUL_SHUTDOWN,
        (
            _edit(
                "sidecar",
                "await curio.sleep(REFUSE_AFTER_DRAIN_SECONDS)",
                "pass",
            ),
        ),
        ("tests.test_sidecar.LeavingTest",),
    ),
    Ablation(
        "entry shutdown waits for its requests",
        GRACEFUL_SHUTDOWN,
        (_edit("entry", "while self._server.busy:", "while False:"),),
        ("tests.test_entry.DrainTest",),
    ),
    Ablation(
        "entry shutdown waits until outcomes are written",
        GRACEFUL_SHUTDOWN,
        (
            _edit(
                "entry",
                "await self.context.claim_manager"
                ".wait_for_background_tasks()\n",
                "pass\n",
            ),
        ),
        ("tests.test_entry.DrainTest",),
    ),
    Ablation(
        "revision never lower",
        CONFIGURATION,
        (
            _edit(
                "configuration",
                "if received.revision <= held.revision:",
                "if False:",
            ),
            _edit(
                "configuration_holder",
                "if newest.revision <= self.held.revision:",
                "if False:",
            ),
        ),
        (
            "tests.test_configuration.AdoptTest",
            "tests.test_sidecar.RecallTest",
        ),
    ),
    Ablation(
        "snapshot requested for a higher revision",
        CONFIGURATION,
        (
            _edit(
                "sidecar",
                "            frame.revision > self._holder.revision\n",
                "            False\n",
            ),
        ),
        ("tests.test_sidecar.RecallTest",),
    ),
    Ablation(
        "recall never undone",
        RECALL,
        (
            _edit(
                "configuration",
                "value = merge_recalled(held.value, received.value)",
                "value = received.value",
            ),
        ),
        ("tests.test_configuration.AdoptTest",),
    ),
    Ablation(
        "recalled batch skipped by the entry",
        RECALL,
        (_CHOOSE_RECALLED,),
        ("tests.test_batches.BatchTest",),
    ),
    Ablation(
        "answer of a recalled batch withheld by the entry",
        RECALL,
        (
            _edit(
                "stage_runs",
                "if self._is_recalled():\n            raise",
                "if False:\n            raise",
            ),
        ),
        ("tests.test_stage_runs.StageRunTest",),
    ),
    Ablation(
        "recalled batch refused by the sidecar",
        RECALL,
        (_ACCEPT_RECALLED,),
        ("tests.test_sidecar.RecallTest",),
    ),
    Ablation(
        "answer of a recalled batch withheld by the sidecar",
        RECALL,
        (
            _edit(
                "answer_reader",
                "if self._holder.is_recalled(self._attempt.handover.batch):",
                "if False:",
            ),
        ),
        ("tests.test_sidecar.RecallTest",),
    ),
    Ablation(
        "recalled batch unloaded",
        RECALL,
        (
            _edit(
                "batches",
                'if find_refusal(value, name) == "recalled":',
                "if False:",
            ),
            _edit(
                "batches",
                'if name not in wanted and name in value["batches"]:',
                "if False:",
            ),
        ),
        ("tests.test_batches.BatchTest",),
    ),
    Ablation(
        "fencing number increases with each holder",
        LEASES,
        (_edit("leases", "fencing + 1, renewal=0", "fencing, renewal=0"),),
        ("tests.test_leases.LeaseRunTest",),
    ),
    Ablation(
        "lease validity checked before each order",
        LEASES,
        (
            _edit(
                "leases",
                "if not is_valid(lease, now):\n        return False\n"
                "    if checks",
                "if checks",
            ),
            _edit(
                "leases",
                "return now < lease.valid_until",
                "return True",
            ),
        ),
        ("tests.test_reconciler", "tests.test_leases.LeaseDecisionTest"),
    ),
    Ablation(
        "challenger waits until the lease has expired",
        LEASES,
        (
            _edit(
                "leases",
                "return now - observation.since >= wait",
                "return True",
            ),
        ),
        ("tests.test_leases.LeaseRunTest",),
    ),
    Ablation(
        "new holder waits where fencing is not checked",
        LEASES,
        (
            _edit(
                "leases",
                "if checks_fencing or not lease.predecessor:",
                "if True:",
            ),
        ),
        ("tests.test_leases.LeaseDecisionTest",),
    ),
    Ablation(
        "state read back after each order",
        LEASES,
        (
            _edit(
                "reconciler",
                "await self._monitor.read_state()\n",
                "pass\n",
            ),
        ),
        ("tests.test_reconciler",),
    ),
    Ablation(
        "concurrent weight loads limited by tickets",
        RECALL,
        (
            _edit(
                "reconciler",
                'if order is None or order.order != "load" or '
                "self._ticket is not None:",
                "if True:",
            ),
        ),
        ("tests.test_reconciler",),
    ),
    Ablation(
        "conditional update decides between operators",
        OPERATORS,
        (
            _edit(
                "orders",
                "await store.update(kind, name, after, stored.version)",
                "latest = await store.get(kind, name)\n"
                "        await store.update(kind, name, after, "
                "latest.version)",
            ),
        ),
        ("tests.test_orders.SubmitTest",),
    ),
    Ablation(
        "order found by its id after a lost answer",
        OPERATORS,
        (
            _edit(
                "orders",
                "if record is not None:\n        return Accepted",
                "if False:\n        return Accepted",
            ),
        ),
        ("tests.test_orders.SubmitTest",),
    ),
    Ablation(
        "quarantine after two crashes",
        CRASHES,
        (_edit("quarantine", "if crashes >= CRASHES_LIMIT:", "if False:"),),
        ("tests.test_quarantine.QuarantineTest",),
    ),
    Ablation(
        "trial run reserved in the store",
        CRASHES,
        (
            _edit(
                "quarantine",
                "if len(attempts | trials | {attempt}) <= CRASHES_LIMIT:",
                "if True:",
            ),
        ),
        ("tests.test_quarantine.CrashRunTest",),
    ),
    Ablation(
        "suspected input runs only as a trial",
        CRASHES,
        (
            _edit(
                "stage_runs",
                "if verdict is quarantine.Verdict.ALLOWED:",
                "if verdict is not quarantine.Verdict.REFUSED:",
            ),
        ),
        ("tests.test_stage_runs.StageRunTest",),
    ),
    Ablation(
        "crash notices sent to all connected entries",
        CRASHES,
        (
            _edit(
                "executors",
                "await self._peers.post_to_all(notice)",
                "pass",
            ),
        ),
        ("tests.test_sidecar.CrashTest",),
    ),
    Ablation(
        "start of the endpoint learnt with each call",
        CRASHES,
        (
            _edit(
                "executors",
                "attempt.incarnation = await self._monitor.learn_incarnation()",
                "attempt.incarnation = self._monitor.incarnation",
            ),
        ),
        ("tests.test_sidecar.CrashTest",),
    ),
    Ablation(
        "nothing sent on a connection that has ended",
        CRASHES,
        (
            _edit(
                "adapters/endpoints",
                "if connection.is_stale():\n"
                '                    yield endpoints.Failed("nothing_sent"',
                "if False:\n"
                '                    yield endpoints.Failed("nothing_sent"',
            ),
        ),
        ("tests.adapters.test_endpoints.ConnectionTest",),
    ),
    Ablation(
        "crash notices repeated to entries that connect later",
        CRASHES,
        (_edit("sidecar", "await peer.post(notice)", "pass"),),
        ("tests.test_sidecar.CrashTest",),
    ),
    Ablation(
        "deadline passed on as time remaining",
        DEADLINES,
        (
            _edit(
                "stage_runs",
                "remaining_ms=deadlines.encode_remaining_ms(\n"
                "                self._attempt_deadline_at, now\n"
                "            ),",
                "remaining_ms=request.deadline_ms,",
            ),
        ),
        ("tests.test_execution.ExecutionTest",),
    ),
    Ablation(
        "expired work refused on arrival and in the queue",
        DEADLINES,
        (
            _edit("handover_checks", "if now >= deadline_at:", "if False:"),
            _edit(
                "attempt_queues",
                "if now + wait + self._estimate_needed_seconds() "
                "> deadline_at:",
                "if False:",
            ),
            _edit(
                "attempt_queues",
                'self._drop(attempt, "late")',
                "pass",
            ),
        ),
        ("tests.test_sidecar.RefusalTest",),
    ),
    Ablation(
        "request answered at its deadline",
        DEADLINES,
        (
            _edit(
                "execution",
                "curio.timeout_after(\n"
                "                max(self._compute_remaining_seconds(), 0)\n"
                "            )",
                "curio.timeout_after(600)",
            ),
        ),
        ("tests.test_execution.ExecutionTest",),
    ),
    Ablation(
        "size limit of request bodies",
        INPUT,
        (
            _edit(
                "adapters/web_connections",
                "if len(body) > limits.body_bytes:",
                "if False:",
            ),
        ),
        ("tests.test_bad_input.BadInputTest.test_callers_port",),
    ),
    Ablation(
        "size limit of request heads",
        INPUT,
        (
            _edit(
                "adapters/web_connections",
                "if size > self._limits.head_bytes:",
                "if False:",
            ),
        ),
        ("tests.test_bad_input.BadInputTest.test_callers_port",),
    ),
    Ablation(
        "peer secret checked between processes",
        INPUT,
        (
            _edit(
                "adapters/link",
                "if not hmac.compare_digest("
                "received.encode(), expected.encode()):",
                "if False:",
            ),
        ),
        ("tests.test_bad_input.BadInputTest.test_foreign_secret",),
    ),
    Ablation(
        "secrets removed from the dump",
        INPUT,
        (
            _edit(
                "dump",
                "return _clean(state, settings.list_secrets(process_settings))",
                "return _clean(state, ())",
            ),
        ),
        ("tests.test_dump",),
    ),
    Ablation(
        "briefly silent endpoint not given up",
        DEADLINES,
        (_GIVE_UP_SILENT,),
        ("tests.test_monitors.SilentEndpointTest",),
    ),
    ablate_module(
        "suspected sidecar kept without another endpoint",
        DEADLINES,
        "stage_runs",
        "return self._repeatable and bool(candidate_names)",
        "return self._repeatable",
        "tests.test_stage_runs",
    ),
    ablate_module(
        "suspected sidecar left for another endpoint",
        DEADLINES,
        "stage_runs",
        "return self._repeatable and bool(candidate_names)",
        "return False",
        "tests.test_stage_runs",
    ),
)

# Removes nothing; used for runs with all mechanisms in place.
NO_ABLATION = Ablation("all in place", "", ())

# The ablations that the randomised proof with real processes must detect.
PROOF_ABLATIONS = (
    Ablation(
        "claims",
        AT_MOST_ONCE,
        (_IGNORE_CLAIM,),
        seed=1,
        invariant="at_most_once",
    ),
    Ablation(
        "recall checks of entries and sidecars",
        RECALL,
        (
            _CHOOSE_RECALLED,
            _ACCEPT_RECALLED,
            _edit(
                "stage_runs",
                '        return batch is not None and batch["state"] == '
                '"recalled"',
                "        return False",
            ),
            _edit(
                "configuration_holder",
                '        return found is not None and found["state"] == '
                '"recalled"',
                "        return False",
            ),
        ),
        seed=1,
        invariant="recall_holds",
    ),
    Ablation(
        "unknown apart from not_run",
        TRUE_REFUSALS,
        (
            _edit(
                "handover_counts",
                'if self._handed_unrepeatable:\n            return "unknown"\n'
                '        return "not_completed" if self._handed_repeatable '
                'else "not_run"',
                'return "not_run"',
            ),
        ),
        seed=1,
        invariant="not_run_is_true",
    ),
    Ablation(
        "briefly silent endpoint not given up",
        DEADLINES,
        (_GIVE_UP_SILENT,),
        seed=1,
        invariant="silence_ends_nothing",
    ),
)
