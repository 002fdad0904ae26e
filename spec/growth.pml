/* Grants that grow, and reports of what was used, under lost and late
 * answers of the store. Two holders draw on one budget of CAP tokens; each
 * has one grant. A growth is asked with the size that its holder knows
 * (base); the store adds a token only if its own count is the same. The
 * answer may be lost after the change, or the change may be done only
 * later. A death leaves what the ledger still shows as granted written off.
 *
 * -DNAIVE_GROWTH: the store does not compare the base, and a holder whose
 *   answer was lost takes its growth for done.
 * -DNAIVE_REPORT: a report frees the whole grant instead of what was used.
 */
#define CAP 3
#define N 2
#define GRANTED(h) (grants[h] + billed[h])

byte spent = 0;      /* ledger: reported as used */
byte grants[N];      /* ledger: granted and not reported */
byte billed[N];      /* ledger: reported by this holder */
byte known[N];       /* holder: granted in all, as it knows */
byte used[N];        /* holder: used in all */
bool dead[N];
bool late[N];        /* a growth on its way, done when the store likes */
byte late_base[N];
byte generated = 0;

#define HEADROOM (spent + grants[0] + grants[1] < CAP)

inline grow(h, base) {
  if
#ifdef NAIVE_GROWTH
  :: HEADROOM -> grants[h]++
#else
  :: HEADROOM && GRANTED(h) == base -> grants[h]++
#endif
  :: else -> skip
  fi
}

proctype Holder(byte h) {
  do
  :: !dead[h] -> /* the growth is answered */
    atomic { grow(h, known[h]); known[h] = GRANTED(h) }
  :: !dead[h] -> /* done, and the answer lost */
    atomic {
      grow(h, known[h]);
#ifdef NAIVE_GROWTH
      if :: known[h] < CAP -> known[h]++ :: else -> skip fi
#endif
    }
  :: !dead[h] && !late[h] -> /* not done yet */
    atomic { late[h] = true; late_base[h] = known[h] }
  :: !dead[h] -> /* the ledger is seen */
    atomic { known[h] = GRANTED(h) }
  :: !dead[h] && used[h] < known[h] ->
    atomic { used[h]++; generated++ }
  :: !dead[h] && used[h] > billed[h] -> /* a report */
    atomic {
      spent = spent + used[h] - billed[h];
#ifdef NAIVE_REPORT
      grants[h] = 0;
#else
      grants[h] = grants[h] - (used[h] - billed[h]);
#endif
      billed[h] = used[h]
    }
  :: !dead[h] -> dead[h] = true; break
  :: dead[h] -> break
  od
}

proctype Store() {
  do
  :: late[0] -> atomic { grow(0, late_base[0]); late[0] = false }
  :: late[1] -> atomic { grow(1, late_base[1]); late[1] = false }
  od
}

init { atomic { run Holder(0); run Holder(1); run Store() } }

ltl no_overspend { [] (generated <= CAP) }
ltl never_more_than_granted {
  [] (used[0] <= GRANTED(0) && used[1] <= GRANTED(1))
}
