/* Model of two routers that may take themselves for an endpoint's issuer.
 *
 * The first router comes before the second in the order of the endpoint's
 * issuers. It registers under a lease, and it is certain if it has been
 * registered for longer than a certain router's list may be old, and its lease
 * is surely in force. The second router reads the list of routers. It takes
 * itself for the issuer if the first one is not in its list, and is certain of
 * it if the list is recent. They must never both be certain then. (Each router
 * has to meet the conditions of both, as it may be the first or the second.)
 * Calls take time, answers are lost, leases expire, and the first restarts.
 *
 * Each of these flags builds a faulty variant that violates one_certain_issuer:
 *
 * -DNAIVE_LEASE: the first stays certain when its lease may have expired.
 * -DNAIVE_NEW: the first is certain as soon as it is registered.
 * -DNAIVE_LIST: the second stays certain with an old list.
 */
#define LIST_AGE 2   /* greatest age of a certain router's list */
#define MARGIN 1     /* longest time from the store's reading to its arrival */
#define TTL 4        /* term of a lease */
#define NEVER 7      /* ages are counted up to this */

bool is_registered = false;      /* first: it had the registration's answer */
byte since_registered = NEVER;
byte lease_age = NEVER;          /* first: since it began the last renewal */
bool calling = false;            /* its registration or renewal is under way */
bool applied = false;            /* the store has applied it */
byte call_age = 0;

bool has_entry = false;          /* store: the first router is in the list */
byte entry_age = NEVER;          /* store: since the entry's lease was renewed */

bool lists_first = false;        /* second: the first router is in its list */
byte list_age = NEVER;           /* second: since its list arrived */
bool reading = false;            /* a list is on its way */
bool read_first = false;
byte read_age = 0;

#ifdef NAIVE_LEASE
#define LEASE_OK true
#else
#define LEASE_OK (lease_age < TTL)
#endif
#ifdef NAIVE_NEW
#define OLD_ENOUGH true
#else
#define OLD_ENOUGH (since_registered > LIST_AGE + MARGIN)
#endif
#ifdef NAIVE_LIST
#define LIST_OK (list_age < NEVER)
#else
#define LIST_OK (list_age <= LIST_AGE)
#endif
#define FIRST_IS_CERTAIN (is_registered && LEASE_OK && OLD_ENOUGH)
#define SECOND_IS_CERTAIN (LIST_OK && !lists_first)

inline grow(age) {
  if
  :: age < NEVER -> age++
  :: else -> skip
  fi
}

proctype First() {
  do
  :: atomic { !calling -> /* it registers or renews its lease */
      calling = true; applied = false; call_age = 0 }
  :: atomic { calling && !applied && (has_entry || !is_registered) ->
      has_entry = true; entry_age = 0; applied = true }
  :: atomic { calling && !applied && !has_entry && is_registered ->
      /* its lease has expired: it is told so, and registers anew */
      is_registered = false; calling = false }
  :: atomic { calling && applied -> /* the answer arrives */
      calling = false; applied = false; lease_age = call_age; call_age = 0;
      if
      :: !is_registered -> is_registered = true; since_registered = 0
      :: else -> skip
      fi }
  :: atomic { calling -> /* the answer is lost */
      calling = false; applied = false; call_age = 0 }
  :: atomic { is_registered -> /* it restarts */
      is_registered = false; calling = false; applied = false; call_age = 0;
      since_registered = NEVER; lease_age = NEVER }
  od
}

proctype Second() {
  do
  :: atomic { !reading -> /* the store reads the list */
      reading = true; read_first = has_entry; read_age = 0 }
  :: atomic { reading -> /* the list arrives */
      reading = false; lists_first = read_first; list_age = 0;
      read_first = false; read_age = 0 }
  od
}

proctype Time() {
  do
  :: atomic {
      grow(lease_age);
      grow(since_registered);
      grow(list_age);
      grow(entry_age);
      if
      :: calling -> grow(call_age)
      :: else -> skip
      fi;
      if
      :: reading && read_age >= MARGIN -> /* the read has timed out */
        reading = false; read_first = false; read_age = 0
      :: reading && read_age < MARGIN -> read_age++
      :: else -> skip
      fi
    }
  :: atomic { has_entry && entry_age >= TTL ->
      has_entry = false; entry_age = NEVER }
  od
}

init { atomic { run First(); run Second(); run Time() } }

ltl one_certain_issuer { [] !(FIRST_IS_CERTAIN && SECOND_IS_CERTAIN) }
