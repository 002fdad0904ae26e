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
