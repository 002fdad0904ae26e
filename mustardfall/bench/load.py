"""An open-loop load generator for chat requests.

Requests arrive as a Poisson process, independently of the answers to earlier
ones. Each is recorded with its customer and class, so that overspend and
false refusals are reported per customer.
"""

import collections
from collections.abc import Callable
import dataclasses
import json
import random
import time
from typing import NamedTuple
import uuid

import anyio
import httpx

from mustardfall.api import chat
from mustardfall.catalogue import model

_REQUEST_TIMEOUT_S = 40.0


class RequestRecord(NamedTuple):
  """The outcome of one request from the caller's view."""

  customer: str
  klass: str
  outcome: str
  """completed, refused, shed, may_have_run or unreachable."""
  at_s: float
  """Time at which it was sent, in seconds after the start of the load."""
  ttft_s: float | None
  took_s: float
  tokens: int
  false_refusal: bool
  crossed: bool


@dataclasses.dataclass
class BudgetUsage:
  """The usage of a budget as counted by its callers, always up to date.

  A refusal is false if the limit covers the request in addition to the tokens
  used, possibly used and in flight, both when the request is sent and when it
  is answered.
  """

  limit: int
  used: int = 0
  """Tokens of complete answers, and those received of incomplete ones."""
  unsure: int = 0
  """Maximum of further tokens that incomplete answers may have used."""
  in_flight: int = 0

  def covers(self, tokens: int) -> bool:
    """Whether the budget covers `tokens` more."""
    counted = self.used + self.unsure + self.in_flight
    return self.limit - counted >= tokens


class Mix(NamedTuple):
  """Parameters of a load.

  Args:
    rate: requests per second over all routers.
    seconds: duration for which requests are sent.
    words: minimum and maximum length of an answer, in tokens.
    weight: returns the relative share of the load for an entry.
  """

  rate: float
  seconds: float
  words: tuple[int, int]
  weight: Callable[[model.EntrySpec], float]


class Load:
  """Sends a mix of requests and records their outcomes.

  Args:
    entries: the catalogue's entries.
    routers: returns the URLs of the routers that a load balancer would use.
    mix: the parameters of the load.
    seed: of the random choices.
  """

  def __init__(
      self,
      entries: list[model.EntrySpec],
      routers: Callable[[], list[str]],
      mix: Mix,
      seed: int,
  ) -> None:
    self._entries = entries
    self._weights = [mix.weight(e) for e in entries]
    self._routers = routers
    self._mix = mix
    self._rng = random.Random(seed)
    self.accounts = {e.name: BudgetUsage(e.tokens) for e in entries}
    self.records: list[RequestRecord] = []
    self.started = time.monotonic()

  async def run(self) -> None:
    """Sends all requests and waits for the answers."""
    limits = httpx.Limits(max_connections=2000, max_keepalive_connections=200)
    self.started = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=_REQUEST_TIMEOUT_S, limits=limits) as http,
        anyio.create_task_group() as tg,
    ):
      next_at = self.started
      end = self.started + self._mix.seconds
      while True:
        next_at += self._rng.expovariate(self._mix.rate)
        if next_at >= end:
          return
        await anyio.sleep(max(0.0, next_at - time.monotonic()))
        entry = self._rng.choices(self._entries, self._weights)[0]
        tg.start_soon(
            self._send_and_record,
            http,
            entry,
            self._rng.randint(*self._mix.words),
        )

  async def _send_and_record(
      self, http: httpx.AsyncClient, entry: model.EntrySpec, words: int
  ) -> None:
    nonce = f"n{uuid.uuid4().hex[:10]}"
    body = {
        "model": entry.model,
        "messages": [{"role": "user", "content": f"{nonce} words={words}"}],
        "max_tokens": words,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    max_total_tokens = chat.max_prompt_tokens(body) + words
    account = self.accounts[entry.name]
    covered = account.covers(max_total_tokens)
    account.in_flight += max_total_tokens
    sent = time.monotonic()
    try:
      answer = await self._send_with_failover(http, entry, body)
    finally:
      account.in_flight -= max_total_tokens
    used = answer.tokens
    if answer.outcome == "may_have_run":
      used = len(answer.words)
      account.unsure += max_total_tokens - used
    account.used += used
    # The budget must cover the request both when it is sent and when it is
    # answered. Otherwise a correct refusal would count as false if other
    # requests ended meanwhile.
    covered = covered and account.covers(max_total_tokens)
    self.records.append(
        RequestRecord(
            customer=entry.customer,
            klass=entry.klass.value,
            outcome=answer.outcome,
            at_s=sent - self.started,
            ttft_s=answer.first - sent if answer.first else None,
            took_s=time.monotonic() - sent,
            tokens=used,
            false_refusal=answer.outcome == "refused" and covered,
            crossed=answer.outcome == "completed"
            and answer.words[:1] != [nonce],
        )
    )

  async def _send_with_failover(
      self, http: httpx.AsyncClient, entry: model.EntrySpec, body: dict
  ) -> "_Answer":
    """Sends a request, trying other routers if a connection fails."""
    routers = self._routers()
    self._rng.shuffle(routers)
    for router in routers:
      answer = _Answer()
      try:
        await self._stream(http, router, entry, body, answer)
        return answer
      except (httpx.ConnectError, httpx.ConnectTimeout):
        continue  # Try the next router, as a load balancer does.
      except httpx.HTTPError:
        answer.outcome = "may_have_run"
        return answer
    return _Answer(outcome="unreachable")

  async def _stream(
      self,
      http: httpx.AsyncClient,
      router: str,
      entry: model.EntrySpec,
      body: dict,
      answer: "_Answer",
  ) -> None:
    headers = {"authorization": f"Bearer {entry.api_key}"}
    async with http.stream(
        "POST", router + "/v1/chat/completions", json=body, headers=headers
    ) as reply:
      if reply.status_code != 200:
        answer.outcome = _outcome(reply)
        return
      async for line in reply.aiter_lines():
        answer.parse_line(line)
    if not answer.done:
      answer.outcome = "may_have_run"


@dataclasses.dataclass
class _Answer:
  """An answer that is received as an event stream."""

  outcome: str = "completed"
  first: float | None = None
  tokens: int = 0
  words: list[str] = dataclasses.field(default_factory=list)
  done: bool = False

  def parse_line(self, line: str) -> None:
    """Parses one line of the event stream."""
    if not line.startswith("data: "):
      return
    if line == "data: [DONE]":
      self.done = True
      return
    chunk = json.loads(line[len("data: ") :])
    if chunk.get("usage"):
      self.tokens = chunk["usage"]["total_tokens"]
    for choice in chunk.get("choices") or []:
      content = choice["delta"].get("content")
      if content:
        self.first = self.first or time.monotonic()
        self.words.extend(content.split())


def _outcome(reply: httpx.Response) -> str:
  if reply.headers.get("x-mustardfall-verdict") != "not_run":
    return "may_have_run"
  return "refused" if reply.status_code == 429 else "shed"


def summarise(
    records: list[RequestRecord], accounts: dict[str, BudgetUsage]
) -> dict:
  """Returns counts and latencies, overall and per customer and class."""
  groups = collections.defaultdict(list)
  for record in records:
    groups[f"{record.customer}/{record.klass}"].append(record)
  overspend = {n: max(0, a.used - a.limit) for n, a in accounts.items()}
  return {
      "all": _describe(records),
      "groups": {name: _describe(g) for name, g in sorted(groups.items())},
      "overspend_tokens": {
          customer: sum(
              n for name, n in overspend.items() if name.startswith(customer)
          )
          for customer in sorted({record.customer for record in records})
      },
  }


def _describe(records: list[RequestRecord]) -> dict:
  outcomes = collections.Counter(record.outcome for record in records)
  ttft = sorted(
      record.ttft_s
      for record in records
      if record.outcome == "completed" and record.ttft_s
  )
  return {
      "requests": len(records),
      **dict(sorted(outcomes.items())),
      "tokens": sum(record.tokens for record in records),
      "false_refusals": sum(record.false_refusal for record in records),
      "crossed": sum(record.crossed for record in records),
      "ttft_ms": {f"p{q}": quantile_ms(ttft, q / 100) for q in (50, 95, 99)},
  }


def quantile_ms(ordered: list[float], q: float) -> float | None:
  """Returns the `q` quantile of sorted times in seconds, in milliseconds."""
  if not ordered:
    return None
  return round(ordered[int(q * (len(ordered) - 1))] * 1e3, 1)
