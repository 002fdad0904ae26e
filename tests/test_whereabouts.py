"""Where a budget's tokens were, from logs, and what a refusal's line says."""

import json
import logging
import tempfile

import anyio
from click import testing
import testtools

from mustardfall import cli
from mustardfall.budget import whereabouts
from tests import platformcase

LEDGER = {
    "limit": 1000,
    "spent": 300,
    "free": 50,
    "elsewhere": 0,
    "lost": 40,
    "seen_s": 0.5,
    "idle": 0,
    "drawable": 0,
    "reserved": 0,
    "handed_on": 0,
}


def held(second, gid="a:1:1", budget="acme", **more):
  fields = {
      "asctime": f"2026-01-01 00:00:{second:02},000",
      "message": "budget held",
      "budget": budget,
      "gid": gid,
      "granted": 400,
      "used": 100,
      "reserved": 60,
      "parts": 20,
      "lost_parts": 0,
      "undrawn": 220,
      "free": 10,
      "ledger": LEDGER,
  }
  return f"12.3 front-1 {json.dumps(fields | more)}\n"


def refused(second, **facts):
  fields = {
      "asctime": f"2026-01-01 00:00:{second:02},000",
      "message": "request refused",
      "team": "acme",
      "facts": facts,
  }
  return json.dumps(fields)


def find(*texts, at=None):
  return whereabouts.find(whereabouts.read_lines(texts, "acme"), at)


class FindTest(testtools.TestCase):

  def test_holdings_and_ledger_add_up_to_the_limit(self):
    found = find(held(1), held(2, gid="b:1:1", granted=310, used=0))
    self.assertEqual((300, 50, 40), (found.spent, found.free, found.lost))
    self.assertEqual(["b:1:1", "a:1:1"], [one.gid for one in found.holdings])
    # 300 spent, 50 free, 40 lost, 300 and 310 held
    self.assertEqual(0, found.unknown)

  def test_cut_off_holder_is_shown_with_the_age_of_its_last_line(self):
    found = find(held(1), held(9, gid="b:1:1"))
    ages = {one.gid: one.age_s for one in found.holdings}
    self.assertEqual({"a:1:1": 8.0, "b:1:1": 0.0}, ages)

  def test_newer_ledger_of_a_refusal_replaces_older_figures(self):
    newer = {**LEDGER, "spent": 900, "seen_s": 0.0}
    asked = {"facts": newer, "outcome": "refused"}
    found = find(held(1), refused(2, ledger=None, asked=[asked]))
    self.assertEqual(900, found.spent)
    older = {**LEDGER, "spent": 100, "seen_s": 30.0}
    found = find(held(1), refused(2, ledger=older, asked=[]))
    self.assertEqual(300, found.spent)

  def test_reviewed_grant_is_held_no_more(self):
    review = held(3).replace("budget held", "grant of an earlier life reviewed")
    self.assertEqual([], find(held(1), review).holdings)

  def test_other_text_and_other_budgets_are_skipped(self):
    texts = ["acme {", "{}", '{"team": "acme"}', "", held(1, budget="other")]
    self.assertIsNone(find(*texts))

  def test_command_prints_a_table(self):
    runner = testing.CliRunner()
    with tempfile.NamedTemporaryFile("w", encoding="utf-8") as f:
      f.write(held(1) + held(5, granted=500))
      f.flush()
      command = ["budget", "where", "acme", f.name]
      early = runner.invoke(cli.main, [*command, "--at", "2026-01-01 00:00:02"])
      late = runner.invoke(cli.main, command)
      unknown = runner.invoke(cli.main, ["budget", "where", "nobody", f.name])
    self.assertIn("limit 1000", early.output)
    self.assertIn(" 400 ", early.output)
    self.assertIn(" 500 ", late.output)
    self.assertNotEqual(0, unknown.exit_code)


class FactsTest(testtools.TestCase):

  def test_refusal_by_a_router_that_never_read_the_ledger_has_facts(self):
    # Only the owner of a budget reads its ledger. The line of a refusal at
    # another router had no facts, so that nobody could say where the tokens
    # were.
    async def _test():
      async with platformcase.running(prepaid=1000) as env:
        other = await env.add_gateway("front-2")
        gateways = [env.gateway, other]
        for gateway in gateways:
          members = gateway.accounts.members
          await env.wait_until(lambda m=members: len(m.lives) == 2)
        owner = env.gateway.accounts.members.owner("acme")
        asker = next(
            g for g in gateways if g.accounts.members.me.life != owner.life
        )
        budgets = next(g for g in gateways if g is not asker).accounts.pool
        await env.wait_until(lambda: "acme" in budgets.budget_view.ledgers)
        env.port = asker.config.listen.port
        logger = "mustardfall.proxy.request_log"
        with self.assertLogs(logger, logging.INFO) as logs:
          response = await env.call("/text/a", "r1", token_usage="900,500")
        self.assertIn(response.status, (402, 429))
        return owner, logs.records[-1].facts

    owner, facts = anyio.run(_test)
    self.assertEqual(1000, facts["limit"])
    answers = {answer["router"]: answer for answer in facts["asked"]}
    self.assertEqual(1400, answers[owner.life]["least"])
    self.assertEqual(1000, answers[owner.life]["facts"]["limit"])
    self.assertTrue(facts["store_reachable"])
