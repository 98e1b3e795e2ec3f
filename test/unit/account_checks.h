/** @file
 * Plays the burst of one account in a pool with and without shares of
 * accounts, and checks what callers get.
 */
#ifndef LAURELLIFT_TEST_UNIT_ACCOUNT_CHECKS_H
#define LAURELLIFT_TEST_UNIT_ACCOUNT_CHECKS_H

/** @param load  usual demand / capacity.
 * @param account  asks for 6 times its usual. */
void AccountChecks_PlayBurst(double load, unsigned account);

#endif
