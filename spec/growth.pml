/* Model of grants that grow and of usage reports, with lost and late replies
 * of the store.
 *
 * Two holders draw on one budget of LIMIT tokens with one grant each. A request
 * for growth carries the number of tokens that its holder knows to be granted
 * (`base`), and the store adds a token only if the ledger shows the same
 * number. The reply may be lost after the change was applied, and the change
 * may be applied late. When a holder dies, the tokens that the ledger still
 * shows as granted are written off: they stay counted.
 *
 * Each of these flags builds a faulty variant that violates no_overspend:
 *
 * -DNAIVE_GROWTH: the store does not compare `base`, and a holder whose reply
 *   was lost assumes that its growth was applied.
 * -DNAIVE_REPORT: a report returns the whole grant instead of deducting only
 *   the used tokens.
 */
#define LIMIT 3
#define HOLDERS 2
#define GRANTED(holder) (grants[holder] + billed[holder])

byte spent = 0;                /* ledger: tokens reported by all holders */
byte grants[HOLDERS];          /* ledger: granted and not reported as used */
byte billed[HOLDERS];          /* ledger: reported as used by this holder */
byte known_granted[HOLDERS];   /* holder: total that it knows to be granted */
byte used[HOLDERS];            /* holder: total used */
bool holder_dead[HOLDERS];
bool growth_pending[HOLDERS];  /* the store may apply this growth at any time */
byte pending_base[HOLDERS];    /* `base` of the pending growth */
byte generated = 0;

#define HAS_HEADROOM (spent + grants[0] + grants[1] < LIMIT)

inline apply_growth(holder, base) {
  if
#ifdef NAIVE_GROWTH
  :: HAS_HEADROOM -> grants[holder]++
#else
  :: HAS_HEADROOM && GRANTED(holder) == base -> grants[holder]++
#endif
  :: else -> skip
  fi
}

proctype Holder(byte holder) {
  do
  :: !holder_dead[holder] -> /* growth applied, reply received */
    atomic {
      apply_growth(holder, known_granted[holder]);
      known_granted[holder] = GRANTED(holder)
    }
  :: !holder_dead[holder] -> /* growth applied, reply lost */
    atomic {
      apply_growth(holder, known_granted[holder]);
#ifdef NAIVE_GROWTH
      if
      :: known_granted[holder] < LIMIT -> known_granted[holder]++
      :: else -> skip
      fi
#endif
    }
  :: !holder_dead[holder] && !growth_pending[holder] -> /* growth delayed */
    atomic {
      growth_pending[holder] = true;
      pending_base[holder] = known_granted[holder]
    }
  :: !holder_dead[holder] -> /* it reads the ledger */
    atomic { known_granted[holder] = GRANTED(holder) }
  :: !holder_dead[holder] && used[holder] < known_granted[holder] ->
    atomic { used[holder]++; generated++ }
  :: !holder_dead[holder] && used[holder] > billed[holder] -> /* it reports */
    atomic {
      spent = spent + used[holder] - billed[holder];
#ifdef NAIVE_REPORT
      grants[holder] = 0;
#else
      grants[holder] = grants[holder] - (used[holder] - billed[holder]);
#endif
      billed[holder] = used[holder]
    }
  :: !holder_dead[holder] -> holder_dead[holder] = true; break
  :: holder_dead[holder] -> break
  od
}

proctype Store() {
  do
  :: growth_pending[0] ->
    atomic { apply_growth(0, pending_base[0]); growth_pending[0] = false }
  :: growth_pending[1] ->
    atomic { apply_growth(1, pending_base[1]); growth_pending[1] = false }
  od
}

init { atomic { run Holder(0); run Holder(1); run Store() } }

ltl no_overspend { [] (generated <= LIMIT) }
ltl never_more_than_granted {
  [] (used[0] <= GRANTED(0) && used[1] <= GRANTED(1))
}
