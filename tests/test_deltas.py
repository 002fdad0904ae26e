"""Deltas and digests of documents."""

import json

from hypothesis import given
from hypothesis import strategies as st
import testtools

from mustardfall.membership import deltas

_ROWS = st.dictionaries(
    st.text("xyz", max_size=3), st.integers(0, 3), max_size=6
).map(
    lambda rows: [
        {"name": name, "value": value} for name, value in rows.items()
    ]
)
_VALUES = st.one_of(_ROWS, st.integers(), st.lists(st.integers(), max_size=3))
_DOCUMENTS = st.dictionaries(st.sampled_from("abcd"), _VALUES)


class DeltaTest(testtools.TestCase):

  @given(_DOCUMENTS, _DOCUMENTS)
  def test_delta_applied_gives_the_later_version(self, before, after):
    change = json.loads(json.dumps(deltas.diff(before, after)))
    result = deltas.apply(before, change)
    self.assertEqual(deltas.digest(after), deltas.digest(result))

  @given(_DOCUMENTS, _DOCUMENTS)
  def test_different_documents_have_different_digests(self, one, other):
    def normalized(document):
      return {
          field: sorted(map(str, value)) if isinstance(value, list) else value
          for field, value in document.items()
      }

    if normalized(one) != normalized(other):
      self.assertNotEqual(deltas.digest(one), deltas.digest(other))

  @given(_DOCUMENTS, _DOCUMENTS, _DOCUMENTS)
  def test_delta_of_another_version_is_detected(self, one, two, three):
    """Guards against an outdated copy that is taken for the current version."""
    try:
      result = deltas.apply(three, deltas.diff(one, two))
    except (KeyError, TypeError):
      return
    if deltas.digest(result) == deltas.digest(two):
      self.assertEqual(set(two), set(result))
