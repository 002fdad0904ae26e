"""A fleet keeps the owners of its budgets during an upgrade.

The points of the ring must therefore stay those of ketama. With other owners,
all routers at once would take grants of budgets that others hold.
"""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall.membership import ring

_NAMES = st.sets(st.integers(0, 99).map('router-{}'.format), max_size=12)

_KETAMA = [
    ['front-6', 'front-7', 'front-2'],
    ['front-7', 'front-6', 'front-3'],
    ['front-1', 'front-7', 'front-2'],
    ['front-3', 'front-7', 'front-4'],
    ['front-6', 'front-1', 'front-3'],
    ['front-3', 'front-6', 'front-0'],
]
"""The owner and two deputies of six budgets on a ring of nine routers."""


class RingTest(testtools.TestCase):

  def test_points_are_ketamas(self):
    # The expected values come from another implementation of ketama.
    routers = ring.Ring()
    routers.set(f'front-{i}' for i in range(9))
    self.assertEqual(_KETAMA, [routers.find(f'b{k}', 3) for k in range(6)])

  @given(_NAMES, _NAMES)
  def test_changed_ring_equals_a_new_one(self, before, after):
    changed = ring.Ring()
    changed.set(before)
    changed.set(after)
    rebuilt = ring.Ring()
    rebuilt.set(after)
    for key in ('acme', 'b1', 'b2'):
      self.assertEqual(rebuilt.find(key, 3), changed.find(key, 3))
      self.assertEqual(min(3, len(after)), len(changed.find(key, 3)))
