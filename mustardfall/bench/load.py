"""An open-loop load of chat requests, and what its callers saw.

Requests start at random moments (a Poisson process), whether or not
earlier ones have been answered, as on a real morning. Each is noted with
its tenant and class, so that overspend and false refusals can be told
apart for both customers.
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

_TIMEOUT_S = 40.0


class Seen(NamedTuple):
  """What one caller saw of one request."""

  customer: str
  klass: str
  outcome: str
  """completed, refused, shed, may_have_run or unreachable."""
  at_s: float
  """When it was sent, seconds after the load began."""
  ttft_s: float | None
  took_s: float
  tokens: int
  false_refusal: bool
  crossed: bool


@dataclasses.dataclass
class Account:
  """A budget as its callers know it, exact at every moment.

  A refusal is a false one when the limit, less all that was used and
  the most that requests in flight may use, still covers the request.
  """

  limit: int
  used: int = 0
  """Tokens of whole answers, and those seen of broken ones."""
  unsure: int = 0
  """Tokens more that broken answers may have used."""
  in_flight: int = 0

  def covers(self, tokens: int) -> bool:
    """Whether the budget can pay for `tokens` more."""
    counted = self.used + self.unsure + self.in_flight
    return self.limit - counted >= tokens


class Mix(NamedTuple):
  """What the load is made of.

  Args:
    rate: requests a second, all routers together.
    seconds: how long requests are sent.
    words: shortest and longest answer, tokens.
    weight: relative share of the load per entry.
  """

  rate: float
  seconds: float
  words: tuple[int, int]
  weight: Callable[[model.EntrySpec], float]


class Load:
  """Sends a mix of requests and keeps what came of them.

  Args:
    entries: the catalogue's entries.
    routers: returns the routers that the balancer would use now.
    mix: what to send.
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
    self.accounts = {e.name: Account(e.tokens) for e in entries}
    self.seen: list[Seen] = []
    self.started = time.monotonic()

  async def run(self) -> None:
    """Sends the whole mix and waits for every answer."""
    limits = httpx.Limits(max_connections=2000, max_keepalive_connections=200)
    self.started = time.monotonic()
    async with (
        httpx.AsyncClient(timeout=_TIMEOUT_S, limits=limits) as http,
        anyio.create_task_group() as tg,
    ):
      due = self.started
      end = self.started + self._mix.seconds
      while True:
        due += self._rng.expovariate(self._mix.rate)
        if due >= end:
          return
        await anyio.sleep(max(0.0, due - time.monotonic()))
        entry = self._rng.choices(self._entries, self._weights)[0]
        tg.start_soon(
            self._one, http, entry, self._rng.randint(*self._mix.words)
        )

  async def _one(
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
    need = chat.max_prompt_tokens(body) + words
    account = self.accounts[entry.name]
    covered = account.covers(need)
    account.in_flight += need
    sent = time.monotonic()
    try:
      answer = await self._ask(http, entry, body)
    finally:
      account.in_flight -= need
    used = answer.tokens
    if answer.outcome == "may_have_run":
      used = len(answer.words)
      account.unsure += need - used
    account.used += used
    # Covered before and after: the answer of others in flight meanwhile
    # must not make a true refusal look false.
    covered = covered and account.covers(need)
    self.seen.append(
        Seen(
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

  async def _ask(
      self, http: httpx.AsyncClient, entry: model.EntrySpec, body: dict
  ) -> "_Answer":
    """Sends one request to a router, to another if none answers there."""
    routers = self._routers()
    self._rng.shuffle(routers)
    for router in routers:
      answer = _Answer()
      try:
        await self._stream(http, router, entry, body, answer)
        return answer
      except (httpx.ConnectError, httpx.ConnectTimeout):
        continue  # the balancer tries the next one
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
        answer.take(line)
    if not answer.done:
      answer.outcome = "may_have_run"


@dataclasses.dataclass
class _Answer:
  """One answer as it arrives."""

  outcome: str = "completed"
  first: float | None = None
  tokens: int = 0
  words: list[str] = dataclasses.field(default_factory=list)
  done: bool = False

  def take(self, line: str) -> None:
    """Takes one line of the event stream."""
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


def summarise(seen: list[Seen], accounts: dict[str, Account]) -> dict:
  """Returns counts and times, overall and per tenant and class."""
  groups = collections.defaultdict(list)
  for s in seen:
    groups[f"{s.customer}/{s.klass}"].append(s)
  overspend = {n: max(0, a.used - a.limit) for n, a in accounts.items()}
  return {
      "all": _describe(seen),
      "groups": {name: _describe(g) for name, g in sorted(groups.items())},
      "overspend_tokens": {
          customer: sum(
              n for name, n in overspend.items() if name.startswith(customer)
          )
          for customer in sorted({s.customer for s in seen})
      },
  }


def _describe(seen: list[Seen]) -> dict:
  outcomes = collections.Counter(s.outcome for s in seen)
  ttft = sorted(s.ttft_s for s in seen if s.outcome == "completed" and s.ttft_s)
  return {
      "requests": len(seen),
      **dict(sorted(outcomes.items())),
      "tokens": sum(s.tokens for s in seen),
      "false_refusals": sum(s.false_refusal for s in seen),
      "crossed": sum(s.crossed for s in seen),
      "ttft_ms": {f"p{q}": quantile_ms(ttft, q / 100) for q in (50, 95, 99)},
  }


def quantile_ms(ordered: list[float], q: float) -> float | None:
  """Returns the `q` quantile of ordered seconds, in milliseconds."""
  if not ordered:
    return None
  return round(ordered[int(q * (len(ordered) - 1))] * 1e3, 1)
