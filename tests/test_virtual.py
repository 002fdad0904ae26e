"""The simulation of budgets, and the deployed budget policy in it.

The simulated days follow the users' deployments with eight hosts: twice a day,
many or all hosts cannot reach the store for about eight seconds, while they
still reach each other, and on most days all of them die near the end. Traffic,
limits (1.3 times the usual demand of 34 s) and times are the defaults of
`bench.virtual.days`.
"""

import pathlib
import tempfile

import testtools

from mustardfall.bench import experiment
from mustardfall.bench.virtual import days
from mustardfall.bench.virtual import simulation

_ROOT = pathlib.Path(__file__).parents[1]
_DEPLOYED = experiment.read_policy(_ROOT / "deploy" / "router.yaml", None)


def _policy(**allotment):
  """Returns the deployed settings with changed allotment settings."""
  changed = _DEPLOYED.allotment.model_copy(update=allotment)
  return _DEPLOYED.model_copy(update={"allotment": changed})


def _partition(at_s):
  return days.Partition(at_s=at_s, for_s=8.0)


_KILL = days.Kill(at_s=34.0, for_s=1.0, power=True)


class ModelTest(testtools.TestCase):

  def test_same_seed_same_day(self):
    day = days.draw(3).model_copy(update={"traffic_s": 8.0})
    first = simulation.simulate(day, _DEPLOYED, 3)
    self.assertEqual(first, simulation.simulate(day, _DEPLOYED, 3))
    self.assertNotEqual(first, simulation.simulate(day, _DEPLOYED, 4))

  def test_no_budget_is_overspent_on_drawn_days(self):
    for seed in range(4):
      result = simulation.simulate(days.draw(seed), _DEPLOYED, seed)
      self.assertEqual(0, result.overspend, f"seed {seed}")

  def test_calm_day_refuses_nobody(self):
    day = days.Day(name="calm", traffic_s=15.0)
    self.assertEqual(0, simulation.simulate(day, _DEPLOYED, 1).falsely)


class TeamsTest(testtools.TestCase):
  """Teams beside each other on a day with faults of many kinds."""

  _LEAST_RATIO = 0.25
  """Least that a team is served, relative to all."""

  def _play(self, hosts, requests_per_s, seed):
    events = [
        days.StoreRefusal(at_s=2.5, for_s=9.0, share=0.33),
        days.Partition(at_s=5.2, for_s=8.4),
        days.Kill(at_s=12.0, for_s=3.0, share=0.16, power=True),
        days.LimitIncrease(at_s=16.0, rank=1),
        days.Partition(at_s=17.5, for_s=8.0, share=0.3, peers=True),
        days.LimitIncrease(at_s=21.0, rank=2),
        days.Partition(at_s=24.0, for_s=8.7),
        days.Kill(at_s=34.0, for_s=0.6, power=True),
    ]
    day = days.Day(
        name="all faults",
        hosts=tuple(f"host-{number}" for number in range(hosts)),
        requests_s=requests_per_s,
        events=events,
    )
    return simulation.simulate(day, _DEPLOYED, seed)

  def test_no_team_is_hardly_served_while_others_are(self):
    """Guards against a budget whose tokens are out of reach, beside others."""
    for hosts, requests_per_s, seeds in (
        (9, 29.0, (1, 2, 3)),
        (78, 60.0, (1,)),
    ):
      for seed in seeds:
        result = self._play(hosts, requests_per_s, seed)
        least = self._LEAST_RATIO * result.served_share
        self.assertTrue(
            result.worst_team_share >= least, (hosts, seed, result.teams)
        )
        self.assertEqual(0, result.overspend)

  def test_outcomes_of_teams_add_up(self):
    """Guards against figures of teams that count a request twice."""
    result = self._play(9, 29.0, 4)
    refused = sum(team.refused for team in result.teams.values())
    covered = sum(team.covered for team in result.teams.values())
    self.assertEqual(result.falsely, refused)
    self.assertTrue(refused <= covered <= result.requests - result.unserved)


class StoreCallsTest(testtools.TestCase):
  """Calls to the store in a fleet that is too large for all to read alike."""

  _HOSTS = tuple(f"host-{number}" for number in range(16))

  def _play(self, *fleet_events):
    day = days.Day(
        name="large",
        hosts=self._HOSTS,
        traffic_s=12.0,
        events=list(fleet_events),
    )
    return simulation.simulate(day, _DEPLOYED, 1)

  def test_transactions_are_among_the_writes(self):
    """Guards against a breakdown that counts a transaction twice."""
    result = self._play()
    transactions = sum(result.transactions.values())
    self.assertTrue(0 < transactions <= result.calls["write"])
    self.assertEqual({}, result.failed_calls)

  def test_two_routers_read_for_all(self):
    """Guards against a model in which all routers read shared documents."""
    calls = self._play().calls
    # Each router reads at its start; two then read each half second, 18 s.
    reads = len(self._HOSTS) + 2 * 2 * 18
    self.assertTrue(calls["range endpoints/"] <= reads, calls)

  def test_renewals_of_leases_probe_a_store_that_is_cut_off(self):
    """Guards against probes that cost ten times a renewal of a lease."""
    result = self._play(days.Partition(at_s=2.0, for_s=8.0))
    failed = result.failed_calls
    probes = failed.get("no answer read", 0) + failed.get("no answer write", 0)
    self.assertTrue(failed["no answer keep"] > probes, failed)
    self.assertEqual(0, result.overspend)

  def test_restarts_in_turn_overlap(self):
    """Guards against a fleet that takes minutes to restart."""
    roll = days.RollingRestart(at_s=0.5, for_s=0.6, gap_s=0.4, overlap=True)
    result = self._play(roll)
    # One lease at the start of each router and one at its restart.
    self.assertEqual(2 * len(self._HOSTS), result.calls["lease"])

  def test_renewal_of_a_lease_counts_as_a_tenth(self):
    """Guards against figures that differ from the platform's price."""
    self.assertEqual(3.0, experiment.priced_calls({"keep": 10, "write": 2}))

  def test_days_of_hard_load_are_valid(self):
    """Guards against a file of days that the experiment cannot read."""
    found = days.load(_ROOT / "bench" / "virtual" / "hard-load.yaml")
    self.assertEqual([58, 86], [len(day.hosts) for day in found])
    self.assertEqual({24}, {len(day.shares) for day in found})


class PromiseSizeTest(testtools.TestCase):
  """Size of a promise: the tokens a router may use before it reports again.

  A promise of two seconds of usage loses as many tokens when the router dies,
  and is too small for the first seconds of a network partition. One that is a
  fixed share of the budget's remaining tokens is large early, when tokens are
  plentiful, and small near the end.
  """

  _BEFORE = {
      "slack_s": 2.0,
      "slack_left": 0.25,
      "ceiling_rate": 1.2,
      "report_s": 1.0,
  }

  def test_deaths_near_the_end_lose_less(self):
    day = days.Day(name="death", events=[_KILL])
    lost = [
        sum(simulation.simulate(day, config, seed).lost for seed in (1, 2))
        for config in (_policy(**self._BEFORE), _DEPLOYED)
    ]
    self.assertTrue(lost[1] < 0.7 * lost[0], lost)

  def test_early_cuts_refuse_fewer(self):
    day = days.Day(name="cut", traffic_s=18.0, events=[_partition(6.0)])
    refused = [
        sum(simulation.simulate(day, config, seed).falsely for seed in (1, 2))
        for config in (_policy(**self._BEFORE), _DEPLOYED)
    ]
    self.assertTrue(refused[1] < 0.7 * refused[0], refused)


class ReportTest(testtools.TestCase):

  def test_report_names_each_policy_and_measure(self):
    day = days.Day(name="calm", traffic_s=4.0)
    jobs = [
        experiment.Job(name, _DEPLOYED, day, seed)
        for name in ("one", "two")
        for seed in (1, 2)
    ]
    played = experiment.run(jobs, 1, lambda _: None)
    table = experiment.to_table(played)
    for word in ("| one |", "| two |", "falsely %", "overspend", "writes"):
      self.assertIn(word, table)
    self.assertEqual(4, len(played))
    with tempfile.TemporaryDirectory() as folder:
      paths = experiment.write(played, pathlib.Path(folder))
      names = {path.name for path in paths}
    self.assertTrue({"figures.json", "table.md"} <= names, names)
