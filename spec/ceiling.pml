/* Model of ceilings: a dead holder's undrawn tokens return to the budget.
 *
 * A holder has GRANT_TOKENS tokens granted and reports its use from time to
 * time. Each report sets a ceiling: at most `tokens` are drawn within
 * GRACE_STEPS steps of its issue, and one more in each step after that. The
 * store may apply a report at once, late (even after the holder's death) or
 * never, and the holder may not receive the reply. The holder therefore
 * observes every ceiling that may be in force. A later life of the router
 * (the successor) evaluates the ceiling in the ledger for the time from its
 * issue to the successor's own start. It returns the tokens above that value
 * to the budget and writes the others off.
 *
 * Each of these flags builds a faulty variant that violates the property:
 *
 * -DNAIVE_LAST: the holder observes only the ceiling that it sent last.
 * -DNAIVE_CLOCK: the successor underestimates the elapsed time.
 */
#define GRANT_TOKENS 5
#define SLACK_TOKENS 1
#define GRACE_STEPS 1
#define LAST_STEP 6
#define ALLOWED_AFTER(tokens, elapsed) \
  (tokens + ((elapsed) > GRACE_STEPS -> (elapsed) - GRACE_STEPS : 0))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

byte now = 0;
byte drawn = 0;
byte written_off = GRANT_TOKENS;  /* tokens that are not returned */
bool holder_dead = false;
bool reclaimed = false;           /* the successor has returned tokens */

byte ledger_ceiling = SLACK_TOKENS;     /* ledger: ceiling, step of its issue */
byte ledger_issued = 0;
byte confirmed_ceiling = SLACK_TOKENS;  /* the last one that the holder knows */
byte confirmed_issued = 0;              /* to be in the ledger */
bool report_pending = false;   /* the holder has no reply to its last report */
bool report_written = false;   /* the store has applied the pending report */
byte pending_ceiling = 0;      /* ceiling of that report, step of its issue */
byte pending_issued = 0;

#define ALLOWED_BY_CONFIRMED \
  ALLOWED_AFTER(confirmed_ceiling, now - confirmed_issued)
#define ALLOWED_BY_PENDING ALLOWED_AFTER(pending_ceiling, now - pending_issued)

#ifdef NAIVE_LAST
#define ALLOWED_NOW \
  (report_pending -> ALLOWED_BY_PENDING : ALLOWED_BY_CONFIRMED)
#else
#define ALLOWED_NOW \
  (report_pending -> MIN(ALLOWED_BY_PENDING, ALLOWED_BY_CONFIRMED) \
                   : ALLOWED_BY_CONFIRMED)
#endif

proctype Holder() {
  do
  :: !holder_dead && drawn < GRANT_TOKENS && drawn < ALLOWED_NOW ->
    atomic { drawn < ALLOWED_NOW -> drawn++ }
  :: !holder_dead && !report_pending ->
    atomic {
      pending_ceiling = drawn + SLACK_TOKENS; pending_issued = now;
      report_written = false; report_pending = true
    }
  :: !holder_dead && report_pending && report_written -> /* reply received */
    atomic {
      confirmed_ceiling = pending_ceiling; confirmed_issued = pending_issued;
      report_pending = false
    }
  :: !holder_dead -> holder_dead = true
  :: holder_dead -> break
  od
}

proctype Store() {
  do
  :: atomic { report_pending && !report_written && !reclaimed ->
      ledger_ceiling = pending_ceiling; ledger_issued = pending_issued;
      report_written = true }
  :: reclaimed -> break
  od
}

proctype Clock() {
  do
  :: now < LAST_STEP -> now++
  :: now == LAST_STEP -> break
  od
}

proctype Successor() {
  holder_dead;
  atomic {
#ifdef NAIVE_CLOCK
    written_off = MIN(
        GRANT_TOKENS,
        ALLOWED_AFTER(ledger_ceiling, now - ledger_issued > 1 -> 1 : 0));
#else
    written_off = MIN(
        GRANT_TOKENS, ALLOWED_AFTER(ledger_ceiling, now - ledger_issued));
#endif
    reclaimed = true
  }
}

init { atomic { run Holder(); run Store(); run Clock(); run Successor() } }

ltl frees_only_undrawn { [] (reclaimed -> drawn <= written_off) }
