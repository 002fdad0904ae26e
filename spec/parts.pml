/* Model of parts: the portions of a grant that its owner delegates to peers.
 *
 * An owner holds a grant of a budget and delegates a part of it to a peer. The
 * peer settles the part with the owner, whose replies may be lost. If it
 * considers the owner gone, which may be wrong and may happen at any time, it
 * settles the part in the ledger instead. The owner settles its grant in the
 * ledger. It may be paused for any time, be written off in the meantime, and
 * die.
 *
 * Properties: the tokens that engines generate stay within the limit, and the
 * ledger never bills more than was generated.
 *
 * Each of these flags builds a faulty variant that violates one property:
 *
 * -DNAIVE_PART: a part settled in the ledger is not recorded there, so the
 *   owner's settlement bills it a second time (part_billed_once).
 * -DNAIVE_REST: settling a part in the ledger returns its unused tokens to the
 *   budget, although the owner may have received the end of the part (its reply
 *   was lost) and be spending them itself (part_no_overspend).
 */

#define LIMIT 4
#define GRANT_TOKENS 3
#define PART_TOKENS 2

/* ledger */
byte spent = 0;
byte owner_grant = GRANT_TOKENS;      /* tokens counted for the owner's grant */
bool grant_open = true;               /* listed in `grants` or `lost` */
bool part_settled_in_ledger = false;  /* recorded in `parts` */

/* owner */
byte owner_used = 0;               /* tokens used by its own requests */
byte owner_tokens = GRANT_TOKENS;  /* tokens that its own requests may use */
bool part_outstanding = false;     /* delegated, not settled with the owner */
byte part_used_reported = 0;       /* use of the part that the peer reported */
bool part_ended = false;
bool owner_alive = true;

/* peer */
byte peer_held = 0;
byte peer_used = 0;
bool part_requested = false;
bool peer_stopped = false;         /* no longer draws on the part */
bool peer_settled = false;

byte generated = 0;                /* tokens generated for all routers */
byte other_grant = 0;              /* grant of a third router */

inline headroom(available) {
  available = LIMIT - spent - owner_grant - other_grant
}

active proctype Owner() {
  do
  :: atomic { /* spend one token of the grant; the unused tokens of an ended
                 part are available to the owner again */
       owner_alive && grant_open && owner_used < owner_tokens ->
       owner_used++; generated++
     }
  :: /* settle the grant when no part is outstanding; one step, since a
        router's state changes only between two of its awaits */
     atomic {
       owner_alive && grant_open && !part_outstanding ->
       if
       :: part_settled_in_ledger -> spent = spent + owner_used
       :: else -> spent = spent + owner_used + part_used_reported
       fi;
       owner_grant = 0; grant_open = false; part_settled_in_ledger = false
     };
     break
  :: /* death: local state is lost, the grant stays counted */
     owner_alive -> owner_alive = false; break
  od
}

active proctype Peer() {
  bool reply_lost;
  do
  :: !part_requested ->
     part_requested = true;
     d_step {
       if
       :: owner_alive && grant_open && !part_ended &&
          owner_used + PART_TOKENS <= owner_tokens ->
          part_outstanding = true; peer_held = PART_TOKENS;
          owner_tokens = owner_tokens - PART_TOKENS
       :: else -> peer_stopped = true; peer_settled = true
       fi
     }
  :: part_requested && !peer_stopped && peer_used < peer_held ->
     d_step { peer_used++; generated++ }
  :: part_requested && !peer_stopped -> peer_stopped = true
  :: /* settle with the owner; repeated if the reply is lost */
     peer_stopped && !peer_settled && owner_alive ->
     if :: reply_lost = false :: reply_lost = true fi;
     d_step {
       if
       :: part_outstanding ->
          part_outstanding = false; part_ended = true;
          part_used_reported = peer_used;
          owner_tokens = owner_tokens + PART_TOKENS - peer_used
       :: else -> skip
       fi;
       peer_settled = !reply_lost
     }
  :: /* consider the owner gone and settle in the ledger */
     peer_stopped && !peer_settled ->
     d_step {
       if
       :: grant_open && !part_settled_in_ledger ->
#ifdef NAIVE_REST
          owner_grant = owner_grant - PART_TOKENS;
#else
          owner_grant = owner_grant - peer_used;
#endif
          spent = spent + peer_used;
#ifndef NAIVE_PART
          part_settled_in_ledger = true
#endif
       :: else -> skip
       fi;
       peer_settled = true
     }
  :: peer_settled -> break
  od
}

/* A third router takes and uses all free tokens at any time. */
active proctype Other() {
  byte available;
  do
  :: other_grant < LIMIT ->
     d_step {
       headroom(available);
       if
       :: available > 0 && available <= LIMIT ->
          other_grant = other_grant + available;
          generated = generated + available
       :: else -> skip
       fi;
       available = 0
     }
  :: break
  od
}

ltl part_no_overspend { [] (generated <= LIMIT) }
ltl part_billed_once { [] (spent + other_grant <= generated) }
