/* Parts of a grant: the second half of mustardfall's budget protocol.
 *
 * An owner holds a grant of a budget and hands a part on to a peer. The
 * part is settled with the owner, whose replies may be lost; or, when
 * the peer takes the owner for gone (rightly or not, at any moment), in
 * the ledger itself. The owner settles its grant with the ledger, may be
 * paused for as long as it likes, may be written off meanwhile, and may
 * die.
 *
 * Checked: what engines generate stays within the limit, and the ledger
 * never bills more than was generated. Build with -DNAIVE_PART to let a
 * part be settled in the ledger without a mark that the owner's own
 * settlement respects: the part is then billed twice.
 */

#define LIMIT 4
#define GRANT 3
#define PART 2

/* the ledger */
byte spent = 0;
byte granted = GRANT;    /* what it still counts for the owner's grant */
bool open = true;        /* the grant is in `grants` or `lost` */
bool part_here = false;  /* the part is marked as settled here */

/* the owner */
byte own = 0;            /* tokens its own requests used */
byte mine = GRANT;       /* tokens it may use itself */
bool part_out = false;   /* handed on, not settled with the owner */
byte part_used_known = 0;
bool part_ended = false;
bool owner_up = true;

/* the peer */
byte peer_held = 0;
byte peer_used = 0;
bool peer_asked = false;
bool peer_done = false;  /* it has stopped drawing on the part */
bool peer_settled = false;

/* the world */
byte generated = 0;
byte other = 0;          /* another router's grant of what is free */

inline free_now(f) { f = LIMIT - spent - granted - other }

active proctype Owner() {
  do
  :: atomic { /* what is not out is its own to spend: a part that has
                 ended gives its rest back to the owner */
       owner_up && open && own < mine -> own++; generated++
     }
  :: /* settle all it knows, once nothing of it is out; one step, since
        a router's tables change only between two of its awaits */
     atomic {
       owner_up && open && !part_out ->
       if
       :: part_here -> spent = spent + own
       :: else -> spent = spent + own + part_used_known
       fi;
       granted = 0; open = false; part_here = false
     };
     break
  :: /* death: what it knew is gone, the grant stays counted */
     owner_up -> owner_up = false; break
  od
}

active proctype Peer() {
  bool lost;
  do
  :: !peer_asked ->
     peer_asked = true;
     d_step {
       if
       :: owner_up && open && !part_ended && own + PART <= mine ->
          part_out = true; peer_held = PART; mine = mine - PART
       :: else -> peer_done = true; peer_settled = true
       fi
     }
  :: peer_asked && !peer_done && peer_used < peer_held ->
     d_step { peer_used++; generated++ }
  :: peer_asked && !peer_done -> peer_done = true
  :: /* settle with the owner; the reply may be lost, then again */
     peer_done && !peer_settled && owner_up ->
     if :: lost = false :: lost = true fi;
     d_step {
       if
       :: part_out ->
          part_out = false; part_ended = true; part_used_known = peer_used;
          mine = mine + PART - peer_used
       :: else -> skip
       fi;
       peer_settled = !lost
     }
  :: /* take the owner for gone, and settle in the ledger */
     peer_done && !peer_settled ->
     d_step {
       if
       :: open && !part_here ->
#ifdef NAIVE_REST
          granted = granted - PART;
#else
          granted = granted - peer_used;
#endif
          spent = spent + peer_used;
#ifndef NAIVE_PART
          part_here = true
#endif
       :: else -> skip
       fi;
       peer_settled = true
     }
  :: peer_settled -> break
  od
}

/* Another router takes whatever the ledger shows as free, at any time. */
active proctype Other() {
  byte f;
  do
  :: other < LIMIT ->
     d_step {
       free_now(f);
       if
       :: f > 0 && f <= LIMIT -> other = other + f; generated = generated + f
       :: else -> skip
       fi;
       f = 0
     }
  :: break
  od
}

ltl part_no_overspend { [] (generated <= LIMIT) }
ltl part_billed_once { [] (spent + other <= generated) }
