/* Model of the budget protocol: grants, settlement and write-off. It is small
 * enough for an exhaustive search.
 *
 * Two routers draw on one budget through grants that they take by
 * compare-and-swap (CAS) on the ledger. An operator tops the budget up.
 * Any reply of the store may be lost after its write took effect. A router
 * may crash and lose its local state.
 *
 * Properties: the tokens that engines generate never exceed the limit
 * (no_overspend), and the ledger never bills more than was generated
 * (billed_once).
 *
 * Each of these flags builds a faulty variant that violates one property,
 * which shows that the check can fail:
 *
 * -DNAIVE_RECLAIM: a grant whose lease expired returns to the budget while
 *   its holder is only paused and can still spend it (no_overspend).
 * -DNAIVE_RETRY: a settlement whose reply was lost is sent again without
 *   checking whether the first one was applied (billed_once).
 */

#define ROUTERS 2
#define GRANT_TOKENS 2
#define TOPUP_TOKENS 1
#define MAX_GRANTS 2     /* grants per router; keeps runs finite */

byte limit = 2;
byte spent = 0;          /* ledger: tokens billed */
byte grants[ROUTERS];    /* ledger: tokens granted to each router */
byte lost[ROUTERS];      /* ledger: grants written off, still counted */
short revision = 0;      /* the ledger key's mod revision; it never wraps */
byte generated = 0;      /* tokens generated for all routers */
bool topup_applied = false;

/* Local state of each router */
byte held[ROUTERS];
byte used[ROUTERS];

inline headroom(available) {
  available = limit - spent - grants[0] - grants[1] - lost[0] - lost[1]
}

proctype Router(byte router) {
  short read_revision;
  byte available, tokens;
  byte grants_taken = 0;
  bool grant_reply_lost, retry, settle_reply_lost;
  bool crashed = false;
  do
  :: /* take a grant by CAS; the reply may be lost */
     held[router] == 0 && grants[router] == 0 && lost[router] == 0 &&
     grants_taken < MAX_GRANTS ->
     grants_taken++;
     d_step { read_revision = revision; headroom(available) };
     tokens = (available < GRANT_TOKENS -> available : GRANT_TOKENS);
     if
     :: tokens > 0 ->
        if :: grant_reply_lost = false :: grant_reply_lost = true fi;
        d_step {
          if
          :: revision == read_revision -> grants[router] = tokens; revision++
          :: else -> grant_reply_lost = false; tokens = 0
          fi
        };
        /* After a lost reply the router looks for its grant in the
         * ledger. It does not draw on a grant that has been written off
         * in the meantime. */
        if
        :: grant_reply_lost -> tokens = grants[router]
        :: else -> skip
        fi;
        held[router] = tokens
     :: else -> skip
     fi;
     skip;
     /* reset locals, so that equal states are stored once */
     d_step {
       read_revision = 0; available = 0; tokens = 0; grant_reply_lost = false
     }
  :: /* spend one token of the grant */
     used[router] < held[router] -> d_step { used[router]++; generated++ }
  :: /* settle: bill the used tokens and return the rest */
     held[router] > 0 ->
     retry = true;
     do
     :: retry ->
        read_revision = revision;
        if :: settle_reply_lost = false :: settle_reply_lost = true fi;
        d_step {
          if
          :: revision == read_revision && grants[router] + lost[router] > 0 ->
             spent = spent + used[router];
             grants[router] = 0; lost[router] = 0; revision++;
             retry = settle_reply_lost
          :: revision == read_revision && grants[router] + lost[router] == 0 ->
#ifdef NAIVE_RETRY
             spent = spent + used[router]; revision++;
#endif
             retry = false  /* the earlier settlement was applied */
          :: else -> skip
          fi
        }
     :: !retry -> break
     od;
     skip;  /* `break` must not jump into a d_step */
     d_step {
       held[router] = 0; used[router] = 0;
       read_revision = 0; settle_reply_lost = false
     }
  :: /* crash: local state is lost, the grant stays in the ledger */
     !crashed -> d_step { crashed = true; held[router] = 0; used[router] = 0 }
  :: /* Other routers consider this one gone and write its grant off. If
        it was only paused, it resumes spending the tokens that it held. */
     grants[router] > 0 ->
     d_step {
       lost[router] = lost[router] + grants[router];
       grants[router] = 0; revision++
     }
#ifdef NAIVE_RECLAIM
  :: /* The lease expires and the grant returns to the budget, although
        the paused holder resumes spending it. */
     grants[router] > 0 -> d_step { grants[router] = 0; revision++ }
#endif
  od
}

proctype Operator() {
  /* a top-up whose reply is lost, then a retry with the same operation id */
  d_step { limit = limit + TOPUP_TOKENS; topup_applied = true; revision++ };
  d_step {
    if
    :: !topup_applied -> limit = limit + TOPUP_TOKENS; revision++
    :: else -> skip
    fi
  }
}

init {
  atomic {
    run Router(0);
    run Router(1);
    run Operator()
  }
}

ltl no_overspend { [] (generated <= limit) }
ltl billed_once { [] (spent <= generated) }
ltl both { [] (generated <= limit && spent <= generated) }
