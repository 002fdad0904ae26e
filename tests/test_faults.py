"""Fault injection with real processes: kills, pauses, partitions, outages."""

import contextlib
import signal
import time
import uuid

import httpx
import openai

from mustardfall import settings
from mustardfall.bench import sample
from mustardfall.budget import ledger
from mustardfall.catalogue import model
from mustardfall.catalogue import store
from tests import fleetcase

_ENTRY = fleetcase.ENTRY
_SMALL = fleetcase.SMALL_ENTRY


def _words(chunk) -> list[str]:
  content = chunk.choices[0].delta.content if chunk.choices else None
  return (content or "").split()


class StopTest(fleetcase.FleetCase):

  def test_sigterm_lets_open_stream_finish_then_settles(self):
    # SIGTERM arrives twice while a stream is open, as from a supervisor
    # that repeats it. The router stops accepting connections, completes the
    # stream and returns its grants: the ledger has none afterwards.
    self.start(tokens_per_s=100.0)
    words = []
    for chunk in self.stream(self.routers[0], 150):
      for word in _words(chunk):
        words.append(word)
        if len(words) in (1, 30):
          self.fleet.signal("router-1", signal.SIGTERM)
    self.assertEqual(150, len(words))
    self.assertEqual(0, self.fleet.procs["router-1"].popen.wait(timeout=15))
    self.assertEqual({}, self.ledger()["grants"])

  def test_stopping_router_is_not_ready_but_still_serves(self):
    # The load balancer still sends requests for a moment after SIGTERM.
    # They are served; only the readiness check fails.
    self.start(lame_duck_s=2.0)
    self.fleet.signal("router-1", signal.SIGTERM)
    time.sleep(0.3)
    ready = httpx.get(self.routers[0] + "/healthz").status_code
    self.assertEqual(503, ready)
    self.assertEqual(3, self.ask(self.routers[0], 3).usage.completion_tokens)

  def test_sighup_does_not_stop_router(self):
    # Operators' tools send SIGHUP to make daemons reload their settings. Its
    # default action ends the process, which would close callers' open streams.
    self.start(tokens_per_s=100.0)
    words = []
    for chunk in self.stream(self.routers[0], 50):
      for word in _words(chunk):
        words.append(word)
        if len(words) == 5:
          self.fleet.signal("router-1", signal.SIGHUP)
    self.assertEqual(50, len(words))
    self.assertIsNone(self.fleet.procs["router-1"].popen.poll())

  def test_killed_router_fails_stream_and_tokens_stay_counted(self):
    # A router is killed during a stream. The stream must fail with an error
    # instead of ending as if complete. The tokens that the router held, as a
    # grant or a part of another router's grant, stay counted against the
    # budget, so that it is never overspent.
    self.start(routers=2, tokens_per_s=100.0, membership=fleetcase.SHORT_LEASE)
    stream = self.stream(self.routers[0], 150)
    got = 0

    def _read():
      nonlocal got
      for chunk in stream:
        got += len(_words(chunk))
        if got == 3:
          self.fleet.signal("router-1", signal.SIGKILL)

    self.assertRaises((openai.APIError, httpx.HTTPError), _read)
    self.assertLess(got, 150)
    time.sleep(4.0)  # the lease expires and the grace period ends
    self.ask(self.routers[1], 3)
    self.fleet.signal("router-2", signal.SIGTERM)
    self.fleet.procs["router-2"].popen.wait(timeout=15)
    after = self.ledger()
    counted = after["limit"] - ledger.headroom(after)
    self.assertGreaterEqual(counted, 150)
    self.assertGreaterEqual(ledger.headroom(after), 0)

  def test_reservation_of_disconnected_caller_is_settled(self):
    # A caller disconnects before the first token. Its reservation must be
    # settled: left open, its allotment could never be settled, and the
    # customer would lose the tokens.
    self.start()
    self.inject("engine-lier-a", stall_s=1.5)
    for stream in (True, False):
      try:
        self.client(self.routers[0]).with_options(
            timeout=0.5
        ).chat.completions.create(
            model=_ENTRY.model,
            messages=[{"role": "user", "content": "nx"}],
            max_tokens=5,
            stream=stream,
        )
      except openai.APITimeoutError:
        pass
    time.sleep(2.0)
    self.fleet.signal("router-1", signal.SIGTERM)
    self.fleet.procs["router-1"].popen.wait(timeout=15)
    self.assertEqual({}, self.ledger()["grants"])


class IdempotencyTest(fleetcase.FleetCase):

  def test_booking_retried_after_router_death_is_not_run_twice(self):
    # The caller retries a booking at another router after the first one was
    # killed. It gets the stored response; the service ran the call once.
    self.start(routers=2)
    key = uuid.uuid4().hex
    first = self.book(self.routers[0], key)
    self.fleet.signal("router-1", signal.SIGKILL)
    again = self.book(self.routers[1], key)
    self.assertEqual(first.json()["booking"], again.json()["booking"])
    stats = self.standin_stats("service")
    self.assertEqual((1, 0), (stats["executions"], stats["duplicates"]))

  def test_failed_booking_may_have_run_and_is_not_sent_again(self):
    # The service makes the booking and then returns 500. The verdict is
    # "may have run", not "not run", and a retry is not sent to the service.
    self.start()
    self.inject("service", fail_after_run=1)
    key = uuid.uuid4().hex
    replies = [self.book(self.routers[0], key) for _ in range(2)]
    verdicts = [r.json()["error"]["verdict"] for r in replies]
    self.assertEqual(["may_have_run"] * 2, verdicts)
    self.assertEqual([502, 409], [r.status_code for r in replies])
    self.assertEqual(1, self.standin_stats("service")["executions"])

  def test_engine_failure_after_run_is_reported_as_may_have_run(self):
    # The engine generates the response, then returns 500. The verdict is
    # "may have run"; the request is not retried at another engine.
    self.start(dcs=("lier-a", "lier-b"))
    for name in ("engine-lier-a", "engine-lier-b"):
      self.inject(name, fail_after_run=1)
    raised = self.assertRaises(
        openai.APIStatusError, self.ask, self.routers[0], 3
    )
    self.assertEqual("may_have_run", raised.body["verdict"])
    ran = [
        self.standin_stats(f"engine-{dc}")["requests"]
        for dc in ("lier-a", "lier-b")
    ]
    self.assertEqual(1, sum(ran))

  def test_chat_retried_with_its_key_is_told_that_it_ran(self):
    # A caller retries a completed request at another router with the same
    # Idempotency-Key. It is not generated and billed a second time.
    self.start(routers=2)
    header = {"Idempotency-Key": uuid.uuid4().hex}
    self.ask(self.routers[0], 3, extra_headers=header)
    raised = self.assertRaises(
        openai.APIStatusError,
        self.ask,
        self.routers[1],
        3,
        extra_headers=header,
    )
    self.assertEqual("ran", raised.body["verdict"])
    self.assertEqual(1, self.standin_stats("engine-lier-a")["requests"])

  def test_event_of_another_answer_is_not_passed_on(self):
    # The engine sends an event of another response in a stream. The caller
    # gets an error and no text of the other response.
    self.start()
    self.inject("engine-lier-a", cross_next=1)
    words = []

    def _read():
      for chunk in self.stream(self.routers[0], 30):
        words.extend(_words(chunk))

    self.assertRaises(openai.APIError, _read)
    self.assertNotIn("stray", words)


class PartitionTest(fleetcase.FleetCase):

  def test_partition_with_top_up_never_overspends(self):
    # A router partitioned from the KV and the other router serves only from
    # the tokens it holds, then rejects requests with "not run". A top-up made
    # meanwhile is used by the router that reaches the KV.
    self.start(routers=2)
    used = 0

    def _ask(router) -> str:
      nonlocal used
      try:
        answer = self.ask(router, 30, _SMALL)
      except openai.APIStatusError as exc:
        self.assertEqual("not_run", exc.body["verdict"])
        return "refused"
      used += answer.usage.total_tokens
      return "ok"

    partitioned, connected = self.routers
    _ask(partitioned)
    self.inject("kv", blocked=["router-1"])
    self.fleet.signal(
        "router-2", signal.SIGSTOP
    )  # partitioned from the other router too
    # The requests need more than the whole budget, all of which the
    # partitioned router may hold.
    partitioned_results = [_ask(partitioned) for _ in range(22)]
    self.assertLessEqual(used, _SMALL.tokens)
    self.fleet.signal("router-2", signal.SIGCONT)
    change = ledger.TopUp(2000, "t1")
    self.call_kv(lambda kv: ledger.write(kv, _SMALL.name, change))
    connected_results = [_ask(connected) for _ in range(12)]
    self.inject("kv", blocked=[])
    self.assertIn("refused", partitioned_results)
    self.assertEqual(["ok"] * 12, connected_results)
    self.assertLessEqual(used, self.ledger(_SMALL.name)["limit"])

  def test_router_cut_off_from_kv_draws_on_the_owner(self):
    # One of two routers is partitioned from the KV for long. It still serves
    # all budgets: it gets tokens from the other router, as the owner of some
    # budgets, and as the deputy for those that the partitioned router owns.
    self.start(routers=2)
    self.inject("kv", blocked=["router-1"])
    entries = sample.catalogue().entries  # each router owns some of them
    refused = [e.name for e in entries if not self._is_served_soon(e)]
    self.assertEqual([], refused, self.fleet.log("router-1")[-4000:])

  def _is_served_soon(self, entry) -> bool:
    """Sends a request, and retries it once after the Retry-After time.

    On a busy machine, a call to the other router may exceed
    `peer_timeout_s`, and the request is then rejected.
    """
    for _ in range(2):
      try:
        self.ask(self.routers[0], 3, entry)
        return True
      except openai.APIStatusError as exc:
        self.assertEqual("not_run", exc.body["verdict"])
        time.sleep(float(exc.response.headers["retry-after"]))
    return False

  def test_frozen_router_is_written_off_then_bills_what_it_used(self):
    # A router is paused beyond its lease while a stream is open. The other
    # router writes off its tokens, so that they stay counted. When resumed,
    # the router completes the stream, and the ledger is corrected: the
    # tokens are billed once and none are lost.
    self.start(routers=2, tokens_per_s=100.0, membership=fleetcase.SHORT_LEASE)
    words = []
    for chunk in self.stream(self.routers[0], 60):
      words.extend(_words(chunk))
      if len(words) == 5:
        self.fleet.signal("router-1", signal.SIGSTOP)
        time.sleep(4.5)
        self.ask(self.routers[1], 3)
        self.fleet.signal("router-1", signal.SIGCONT)
        # Keeps a chunk without words from pausing the router again.
        words.append("-")
    self.assertEqual(61, len(words))  # 60 words and the marker
    for name in ("router-1", "router-2"):
      self.fleet.signal(name, signal.SIGTERM)
    for name in ("router-1", "router-2"):
      self.fleet.procs[name].popen.wait(timeout=15)
    after = self.ledger()
    self.assertEqual({}, after["grants"])
    used = 60 + 2 + 3 + 2  # two prompts of two words each
    self.assertGreaterEqual(after["spent"] + ledger.lost(after), used)
    self.assertLessEqual(after["spent"], used)

  def test_owner_death_leaves_parts_to_be_settled_in_the_ledger(self):
    # Both routers use a budget and its owner is killed. The other settles
    # its part directly in the ledger, so that its requests are billed.
    allotment = settings.Allotment(
        part_term_s=30.0
    )  # parts are still held at the kill
    self.start(routers=2, membership=fleetcase.SHORT_LEASE, allotment=allotment)
    for entry in sample.catalogue().entries[:6]:
      for router in self.routers:
        self.ask(router, 3, entry)
    self.fleet.signal("router-1", signal.SIGKILL)
    time.sleep(4.0)
    self.fleet.signal("router-2", signal.SIGTERM)
    self.fleet.procs["router-2"].popen.wait(timeout=15)
    for entry in sample.catalogue().entries[:6]:
      after = self.ledger(entry.name)
      self.assertGreaterEqual(after["spent"], 5, entry.name)
      self.assertFalse(
          [g for g in after["grants"] if g.startswith("router-2:")]
      )

  def test_catalogue_change_arrives_after_a_silent_partition(self):
    # The KV becomes unreachable for a router without a connection reset. The
    # router must detect its dead watch: a catalogue change made during the
    # partition applies within seconds after it ends.
    self.start(routers=1, membership=fleetcase.SHORT_LEASE)
    self.inject("kv", blocked=["router-1"], silent=True)
    spec = model.CatalogueSpec(entries=sample.catalogue().entries[:5])
    revision = self.call_kv(lambda kv: store.apply(kv, spec))
    time.sleep(4.0)
    self.inject("kv", blocked=[], silent=False)
    self.wait_until(
        lambda: httpx.get(self.fleet.admin[self.routers[0]] + "/stats").json()[
            "catalogue_revision"
        ]
        >= revision,
        5.0,
    )


class EndpointTest(fleetcase.FleetCase):

  def _new_work_at_leaving_engine(self) -> int:
    leaving = "engine-lier-a"
    self.set_host(leaving, "leaving")
    time.sleep(0.5 + 0.2 + 0.5)  # host-list lag + one tick + margin
    before = self.standin_stats(leaving)["requests"]
    for _ in range(8):
      self.ask(self.routers[0], 3)
    return self.standin_stats(leaving)["requests"] - before

  def test_leaving_engine_gets_no_new_work_after_lag(self):
    # The router polls the host list each tick, so that an engine marked as
    # leaving gets no new requests shortly afterwards.
    self.start(dcs=("lier-a", "lier-b"))
    self.assertEqual(0, self._new_work_at_leaving_engine())

  def test_leaving_engine_gets_no_new_work_while_the_kv_is_slow(self):
    # The KV takes seconds to respond while many allotments wait to be
    # settled. The host list must still be polled each tick: if the poll
    # waited for those writes, a leaving engine would get new requests.
    self.start(
        dcs=("lier-a", "lier-b"),
        kv_timeout_s=5.0,
        allotment=settings.Allotment(term_s=4.0),
    )
    for entry in sample.catalogue().entries[1:9]:
      self.ask(self.routers[0], 3, entry)
    time.sleep(3.0)
    self.ask(self.routers[0], 3)  # its allotment expires after the others
    self.inject("kv", delay_s=3.0)
    time.sleep(1.2)
    self.assertEqual(0, self._new_work_at_leaving_engine())

  def test_engine_that_asks_for_rest_gets_no_calls_until_it_ends(self):
    """Guards against calls to an engine that turned one away for a while."""
    self.start(dcs=("lier-a", "lier-b"))
    router, names = self.routers[0], ("engine-lier-a", "engine-lier-b")
    for name in names:
      self.inject(name, fail_next=1, retry_after="30")
    for _ in range(8):
      with contextlib.suppress(openai.InternalServerError):
        self.ask(router, 3)
    failures = []
    for _ in range(3):
      began_at = time.monotonic()
      failures.append(
          self.assertRaises(openai.InternalServerError, self.ask, router, 3)
      )
      self.assertTrue(time.monotonic() - began_at < 1.0)
    for failure in failures:
      retry_after_s = float(failure.response.headers["retry-after"])
      self.assertTrue(20 <= retry_after_s <= 60, retry_after_s)
    self.assertEqual([0, 0], [self.standin_stats(n)["requests"] for n in names])
