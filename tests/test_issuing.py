"""The division of an endpoint's request rate among all routers."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from mustardfall.routing import issuing
from tests import test_limited_endpoints


def _routers(count: int, datacentres: int = 3) -> list[issuing.Candidate]:
  return [
      issuing.Candidate(f"front-{n}", f"dc{n % datacentres}")
      for n in range(count)
  ]


class IssuerTest(testtools.TestCase):

  def test_issuers_are_spread_over_the_routers_of_the_data_centre(self):
    for fleet in (1, 9, 80, 300, 760):
      routers = _routers(fleet)
      in_dc0 = [r.name for r in routers if r.datacentre == "dc0"]
      found = [issuing.issuer(f"e{n}", "dc0", routers) for n in range(2000)]
      self.assertEqual(set(found) - set(in_dc0), set())
      most = max(found.count(name) for name in set(found))
      self.assertTrue(most <= 10 + 3 * 2000 / len(in_dc0), (fleet, most))

  def test_endpoint_of_a_data_centre_without_routers_has_an_issuer(self):
    self.assertIsNotNone(issuing.issuer("e", "dc9", _routers(9)))
    self.assertIsNone(issuing.issuer("e", "dc9", []))

  @hypothesis.given(
      fleet=strategies.integers(2, 60),
      order=strategies.randoms(use_true_random=False),
  )
  def test_routers_that_know_each_other_agree(self, fleet, order):
    """Guards against two issuers that are both certain."""
    routers = _routers(fleet)
    one, other = order.sample(routers, 2)
    lists = [
        [r for r in routers if r in (one, other) or order.random() < 0.6]
        for _ in range(2)
    ]
    takes_itself = [
        issuing.issuer("e", "dc0", known) == router.name
        for known, router in zip(lists, (one, other), strict=True)
    ]
    self.assertNotEqual([True, True], takes_itself)


class ShareTest(testtools.TestCase):

  @hypothesis.given(
      parts=strategies.lists(strategies.integers(1, 200), max_size=30)
  )
  def test_uncertain_issuers_share_half_of_the_rate(self, parts):
    """Guards against several issuers, each with the whole rate."""
    fleet = sum(parts)
    shares = [issuing.share(False, followers, fleet) for followers in parts]
    self.assertTrue(sum(shares) <= 0.5 + 1e-9, shares)

  def test_certain_issuer_has_the_whole_rate(self):
    self.assertEqual(1.0, issuing.share(True, 1, 760))


class BucketTest(testtools.TestCase):

  def _use(self, rate, seconds, asked_per_s, max_wait_s=0.0, certain=True):
    bucket, used = issuing.Bucket(100.0), []
    for number in range(int(seconds * asked_per_s)):
      now = 100.0 + number / asked_per_s
      wait_s = bucket.take(rate, max_wait_s, now, certain)
      if wait_s is not None:
        used.append(now + wait_s)
    return used

  def test_rate_is_used_up(self):
    for rate in (0.25, 1.0, 8.0, 300.0):
      used = self._use(rate, 40.0, 4 * rate + 10)
      self.assertTrue(0.9 * 40 * rate <= len(used) <= 40 * rate + 1, rate)

  @hypothesis.settings(deadline=None)
  @hypothesis.given(
      rate=strategies.floats(0.05, 300.0),
      asked=strategies.floats(0.5, 400.0),
      max_wait_s=strategies.floats(0.0, 2.0),
  )
  def test_no_window_has_more_than_the_rate_and_a_small_burst(
      self, rate, asked, max_wait_s
  ):
    for certain, burst in ((True, 2.0), (False, 1.0)):
      used = self._use(rate, 12.0, asked, max_wait_s, certain)
      for window_s in (1.0, 4.0):
        most = test_limited_endpoints.most_in_a_window(used, window_s)
        bound = rate * window_s + max(burst, 0.125 * rate + 1) + 1e-6
        self.assertTrue(most <= bound, (certain, window_s, most))

  def test_new_issuer_begins_with_an_empty_bucket(self):
    """Guards against a burst at each change of the issuer."""
    bucket = issuing.Bucket(100.0)
    self.assertIsNone(bucket.take(1.0, 0.0, 100.0))
    self.assertEqual(0.0, bucket.take(1.0, 0.0, 101.1))

  def test_first_permit_does_not_wait_for_long_at_a_low_rate(self):
    bucket = issuing.Bucket(100.0)
    self.assertEqual(0.0, bucket.take(0.01, 0.0, 101.2))

  def test_low_limit_is_tried_each_minute(self):
    """Guards against an endpoint that is never sent a request again."""
    bucket = issuing.Bucket(100.0)
    self.assertIsNotNone(bucket.take(1e-6, 0.0, 102.0))
    self.assertIsNone(bucket.take(1e-6, 0.0, 150.0))
    self.assertIsNotNone(bucket.take(1e-6, 0.0, 163.0))

  def test_higher_rate_is_in_force_at_once(self):
    bucket = issuing.Bucket(100.0)
    self.assertIsNotNone(bucket.take(0.02, 0.0, 102.0))
    self.assertTrue(bucket.wait_s(0.02, 102.0) > 40)
    self.assertTrue(bucket.wait_s(10.0, 102.0) <= 1.2)

  def test_permits_are_promised_one_after_the_other(self):
    for certain, expected in (
        (False, [0.0, 0.125, 0.375, None]),
        (True, [0.0, 0.0, 0.25, 0.5, None]),
    ):
      bucket = issuing.Bucket(100.0)
      waits = [bucket.take(4.0, 0.6, 102.0, certain) for _ in expected]
      self.assertEqual(expected, waits)
      due = expected[-2] + 0.25
      self.assertEqual(due, bucket.wait_s(4.0, 102.0, certain))

  def test_half_of_random_requests_does_not_find_a_low_rate_used_up(self):
    """Guards against permits that must be evenly spaced at a low rate."""
    rng, bucket, now, taken = random.Random(1), issuing.Bucket(0.0), 2.0, 0
    for _ in range(2000):
      now += rng.expovariate(1.0)
      taken += bucket.take(1.0, 0.0, now) is not None
    self.assertTrue(taken >= 1250, taken)
