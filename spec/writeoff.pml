/* Model of caps: a holder that others consider gone may still be running.
 *
 * A holder has GRANT_TOKENS tokens granted and reports its use from time to
 * time. Each report sets a cap on the tokens that it draws until the next one
 * is in the ledger, however long that takes. The store may apply a report at
 * once, late or never, and the holder may not receive the reply. Others may
 * write the grant off at any time, whether the holder has died, is paused or
 * is only cut off: the tokens above the cap in the ledger return to the budget
 * and the others are written off. No clock is involved.
 *
 * Each of these flags builds a faulty variant that violates the property:
 *
 * -DNAIVE_RAISE: a report raises the cap of a grant that was written off.
 * -DNAIVE_SENT: the holder observes only the cap that it sent last.
 */
#define GRANT_TOKENS 6
#define SLACK_TOKENS 2
#define MIN(a, b) ((a) < (b) -> (a) : (b))

byte drawn = 0;
byte written_off = GRANT_TOKENS;     /* tokens that are not returned */
bool is_written_off = false;

byte ledger_cap = SLACK_TOKENS;
byte confirmed_cap = SLACK_TOKENS;   /* the last one that the holder knows to
                                        be in the ledger */
bool report_pending = false;   /* the holder has no reply to its last report */
bool report_written = false;   /* the store has applied the pending report */
byte pending_cap = 0;

#ifdef NAIVE_SENT
#define CAP_NOW (report_pending -> pending_cap : confirmed_cap)
#else
#define CAP_NOW \
  (report_pending -> MIN(pending_cap, confirmed_cap) : confirmed_cap)
#endif

proctype Holder() {
  do
  :: atomic { drawn < GRANT_TOKENS && drawn < CAP_NOW -> drawn++ }
  :: atomic { !report_pending && drawn < GRANT_TOKENS ->
      pending_cap = MIN(GRANT_TOKENS, drawn + SLACK_TOKENS);
      report_written = false; report_pending = true }
  :: atomic { report_pending && report_written -> /* reply received */
      confirmed_cap = pending_cap; report_pending = false }
  :: break                                        /* it dies */
  od
}

proctype Store() {
  do
#ifdef NAIVE_RAISE
  :: atomic { report_pending && !report_written ->
      ledger_cap = pending_cap; report_written = true }
#else
  :: atomic { report_pending && !report_written && !is_written_off ->
      ledger_cap = pending_cap; report_written = true }
#endif
  :: break
  od
}

proctype Observer() {
  atomic { written_off = MIN(GRANT_TOKENS, ledger_cap); is_written_off = true }
}

init { atomic { run Holder(); run Store(); run Observer() } }

ltl returns_only_undrawn { [] (is_written_off -> drawn <= written_off) }
