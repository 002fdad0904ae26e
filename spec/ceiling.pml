/* What a dead holder did not draw comes back, judged by its promises. A
 * holder has G tokens granted and reports now and then; each report promises
 * that no more than TOKENS are in use for GRACE steps, and one a step more
 * after that. A report may land at once, late (even after its holder died) or
 * never, and the holder may not hear of it; it keeps to all promises that may
 * stand. A later life of the router frees what lies above the promise that
 * it finds, by the time from its issue to the later life's start.
 *
 * -DNAIVE_LAST: the holder keeps to its last promise only.
 * -DNAIVE_CLOCK: the later life counts too little time.
 */
#define G 5
#define SLACK 1
#define GRACE 1
#define LAST 6
#define AFTER(tokens, elapsed) \
  (tokens + ((elapsed) > GRACE -> (elapsed) - GRACE : 0))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

byte now = 0;
byte drawn = 0;
byte kept = G;
bool dead = false;
bool reviewed = false;

byte stands = SLACK;    /* the ledger's promise, and when it was issued */
byte stands_at = 0;
byte known = SLACK;     /* the last that the holder heard to stand */
byte known_at = 0;
bool sent = false;      /* a report whose fate the holder does not know */
bool landed = false;
byte sent_tokens = 0;
byte sent_at = 0;

#ifdef NAIVE_LAST
#define ALLOWED (sent -> AFTER(sent_tokens, now - sent_at) \
                      : AFTER(known, now - known_at))
#else
#define ALLOWED (sent -> MIN(AFTER(sent_tokens, now - sent_at), \
                             AFTER(known, now - known_at)) \
                      : AFTER(known, now - known_at))
#endif

proctype Holder() {
  do
  :: !dead && drawn < G && drawn < ALLOWED ->
    atomic { drawn < ALLOWED -> drawn++ }
  :: !dead && !sent ->
    atomic {
      sent_tokens = drawn + SLACK; sent_at = now;
      landed = false; sent = true
    }
  :: !dead && sent && landed -> /* hears of it */
    atomic { known = sent_tokens; known_at = sent_at; sent = false }
  :: !dead -> dead = true
  :: dead -> break
  od
}

proctype Store() {
  do
  :: atomic { sent && !landed && !reviewed ->
      stands = sent_tokens; stands_at = sent_at; landed = true }
  :: reviewed -> break
  od
}

proctype Clock() {
  do
  :: now < LAST -> now++
  :: now == LAST -> break
  od
}

proctype Successor() {
  dead;
  atomic {
#ifdef NAIVE_CLOCK
    kept = MIN(G, AFTER(stands, now - stands_at > 1 -> 1 : 0));
#else
    kept = MIN(G, AFTER(stands, now - stands_at));
#endif
    reviewed = true
  }
}

init { atomic { run Holder(); run Store(); run Clock(); run Successor() } }

ltl frees_only_undrawn { [] (reviewed -> drawn <= kept) }
